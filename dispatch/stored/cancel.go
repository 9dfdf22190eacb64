package stored

import (
	"time"

	"lovagespread.example/dispatch/leased"
)

// Limits of cancellations of jobs that are not known. Anybody can send some for made-up IDs.
const (
	// maxCancelledIDs bounds the IDs that a shard remembers, of some 100 bytes each. None is
	// forgotten for another one: above the limit, further cancellations are refused.
	maxCancelledIDs = 8192
	// maxUnstoredCancellations bounds those that wait for the log: while it is slow, they must
	// not take the room of jobs that are to be accepted.
	maxUnstoredCancellations = maxWaitingEvents / 4
)

// cancelledIDs holds the IDs of jobs that were cancelled while the shard did not know them. A
// submission may still be on its way then, held up in a message or sent twice. It is refused
// when it arrives, so that "no such job" stays true for all submissions. An ID that is also
// that of a known job was accepted by an owner that had forgotten the cancellation: the job
// counts.
type cancelledIDs struct {
	storedAt map[leased.JobID]time.Time
	order    []cancelledID // by time
}

// cancelledID is the record of one ID on the log.
type cancelledID struct {
	id     leased.JobID
	offset int64
	at     time.Time
}

func newCancelledIDs() cancelledIDs {
	return cancelledIDs{storedAt: make(map[leased.JobID]time.Time)}
}

func (c *cancelledIDs) has(id leased.JobID) bool {
	_, ok := c.storedAt[id]
	return ok
}

func (c *cancelledIDs) add(id leased.JobID, offset int64, now time.Time) {
	c.storedAt[id] = now
	c.order = append(c.order, cancelledID{id, offset, now})
}

// expire forgets the IDs that are older than retain.
func (c *cancelledIDs) expire(now time.Time, retain time.Duration) {
	n := 0
	for n < len(c.order) && now.Sub(c.order[n].at) > retain {
		old := c.order[n]
		if c.storedAt[old.id].Equal(old.at) { // not cancelled again since
			delete(c.storedAt, old.id)
		}
		n++
	}
	if n > 0 {
		c.order = append([]cancelledID(nil), c.order[n:]...)
	}
}

// oldestOffset returns the offset of the first record that is needed to restore the IDs, or
// -1 if none is.
func (c *cancelledIDs) oldestOffset() int64 {
	if len(c.order) == 0 {
		return -1
	}
	return c.order[0].offset
}

// handleCancel handles the cancellation of a job. It is answered once it is on the log, behind
// any acceptance of the job that is queued or in an append: the order of the log decides, for
// this owner and for the next ones. A job that is not known is recorded as cancelled, too,
// because a submission of it may arrive later, here or at the next owner.
func (s *Shard) handleCancel(in *Cancel) {
	j := s.jobs[in.Job]
	switch {
	case j != nil && j.state.Ended():
		s.reply(in.Ticket, Stored)
	case j == nil && s.cancelled.has(in.Job):
		s.reply(in.Ticket, NoSuchJob)
	case j == nil && !s.cancelling[in.Job] && !s.mayCancelUnknown():
		s.reply(in.Ticket, Refused)
	default:
		s.cancelling[in.Job] = true
		event := Event{Kind: JobCancelled, Job: in.Job}
		if !s.joinPending(&event, in.Ticket) {
			s.enqueue(event, in.Ticket, 0)
		}
	}
}

// mayCancelUnknown reports whether one more cancellation of a job that is not known can be
// recorded. Unstored ones count towards both limits; those of known jobs count as well, which
// are few.
func (s *Shard) mayCancelUnknown() bool {
	return len(s.cancelling) < maxUnstoredCancellations && len(s.cancelled.order)+len(s.cancelling) < maxCancelledIDs
}

// isCancelled reports whether a job that is not known was cancelled, stored or not. An owner
// that is replaced before it has stored the cancellation has not answered it either.
func (s *Shard) isCancelled(id leased.JobID) bool { return s.cancelled.has(id) || s.cancelling[id] }

// applyCancelled applies a stored cancellation.
func (s *Shard) applyCancelled(e *Event, offset int64) {
	delete(s.cancelling, e.Job)
	j := s.jobs[e.Job]
	switch {
	case j == nil:
		s.cancelled.add(e.Job, offset, s.now)
	case !j.state.Ended():
		j.markEnded(Cancelled, s.now)
	}
}

// resultOf returns the result for the requests that have waited for an event, which is stored.
func (s *Shard) resultOf(e *Event) Result {
	if e.Kind == JobCancelled && s.jobs[e.Job] == nil {
		return NoSuchJob
	}
	return Stored
}
