package leased

import "time"

// What an endpoint is (its service, labels, capacity and failure domain, and whether it
// leaves) is known from its record only, and another incarnation may be of another kind,
// even under the same ID and at the same address. Its answers to Holds tell which
// incarnation it is; requests can't be limited to one. Three rules follow:
//
//   - An endpoint gets tasks only while its newest record is that of the incarnation that
//     answers.
//   - A task that requires a label is started only while the endpoint can't have started
//     again unnoticed.
//   - Ended runs are acknowledged only then, or if no Start of a stored job can have reached
//     another incarnation.

// incarnationCheckAge is the age of an answer up to which the endpoint is certainly the
// same: an endpoint that has crashed is back later.
const incarnationCheckAge = 50 * time.Millisecond

// delegatedCheckTimeout is how long a delegated task waits for an endpoint that is asked
// for its incarnation; then it is returned.
const delegatedCheckTimeout = 100 * time.Millisecond

// described reports whether the newest record is that of the incarnation that answers.
func (e *endpoint) described() bool {
	return e.announcedBorn == 0 || e.Born == 0 || e.announcedBorn == e.Born
}

// certainlySame reports whether the endpoint can't have started again unnoticed: it has
// just answered, or a Hold that was sent right after its last answer is open, which
// would fail.
func (e *endpoint) certainlySame(now time.Time) bool {
	return now.Sub(e.lastAnswer) <= incarnationCheckAge || e.inFlight && e.holdSent.Sub(e.lastAnswer) <= incarnationCheckAge
}

// mayAcknowledge reports whether a Hold may acknowledge ended runs. Another incarnation
// numbers its ends anew, and would forget ends that no entry has seen: if one may answer, the
// Hold only asks. That is only so if a Start of a stored job may have reached it: a forgotten
// end costs a best-effort job one more run at most, after the first one is over.
func (e *endpoint) mayAcknowledge(now time.Time) bool {
	if e.certainlySame(now) {
		return true
	}
	return !e.storedStart.After(e.lastAnswer) && now.Sub(e.storedUnanswered) > maxRequestDelay
}

// mustCheck reports whether an endpoint has to be asked for its incarnation before a task
// is started on it, and asks it then.
func (c *Core) mustCheck(t *task, e *endpoint) bool {
	if t.step.Label == "" || e.certainlySame(c.now) {
		return false
	}
	e.pollWanted = true
	c.pollSoon(e)
	c.markDirty(e)
	return true
}

// noteUndescribed reports that an endpoint gets no tasks until its record is read.
func (c *Core) noteUndescribed(e *endpoint) {
	if !e.described() {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note(EventUndescribed, "its newest record is that of another incarnation"))
	}
}

// EventUndescribed is the event of an endpoint that answers as another incarnation than
// its newest record describes. The records should be read at once.
const EventUndescribed = "endpoint_undescribed"

// returnUnchecked returns delegated tasks that have waited for too long for an endpoint
// that was asked for its incarnation.
func (c *Core) returnUnchecked() {
	var due []*job
	for _, j := range c.delegated {
		if !j.checkUntil.IsZero() && c.now.After(j.checkUntil) && j.tasks[0][0].state == waitingTask {
			due = append(due, j)
		}
	}
	sortByArrivalAndTask(due)
	for _, j := range due {
		c.waiting.remove(j)
		c.answerDelegatedNow(j, j.tasks[0][0].runs+1, EndNoCapacity)
	}
}
