package leased

import (
	"maps"
	"slices"
	"time"
)

// A Hold or a Start extends the lease of everything on an endpoint. So the lease of an
// endpoint is extended no further than each of its runs allows. A run without a task
// ends within one lease, even if every request to stop it is lost; and so does a run
// whose caller's entry is not heard any more, a contactGrace later. A holder that starts
// such a task elsewhere relies on that (restart.go).

// minUsefulLease is the shortest lease with which tasks are started on an endpoint.
func (c *Core) minUsefulLease() time.Duration { return c.opts.MaxLease / 2 }

// allowedLease returns how far the lease of an endpoint may be extended from now on. It
// is not negative.
func (c *Core) allowedLease(e *endpoint) time.Duration {
	lease := c.opts.MaxLease
	for _, r := range e.runs {
		limit := r.leaseLimit
		if r.task != nil {
			limit = c.claimLimit(r.task.job)
		}
		if !limit.IsZero() {
			lease = min(lease, limit.Sub(c.now))
		}
	}
	return max(0, lease)
}

// contact records when an entry was last heard. What was heard before this process was
// frozen tells nothing, because the clock does not count the freeze.
func (c *Core) contact(in *CallerContact) {
	if in.HeardAt.Before(c.resumedAt) {
		return
	}
	c.contacts[in.Caller] = later(c.contacts[in.Caller], in.HeardAt)
}

// forgetContacts makes all entries unheard until they are heard again.
func (c *Core) forgetContacts() {
	c.resumedAt = c.now
	clear(c.contacts)
	for ticket, caller := range c.callers {
		c.callers[ticket] = ticketCaller{id: caller.id}
	}
}

// addCaller records which entry waits for a ticket; 0: this one. The call counts as
// contact with an entry of which no heartbeat is known, or a recent one. The call of an
// entry that has been silent may have been held up since, and withdrawn meanwhile: its
// next heartbeat shows that.
func (c *Core) addCaller(ticket Ticket, caller uint64, heardAt time.Time) {
	if caller == 0 {
		return
	}
	if !heardAt.IsZero() {
		c.contact(&CallerContact{Caller: caller, HeardAt: heardAt})
	}
	waiting := ticketCaller{id: caller}
	if heard, known := c.contacts[caller]; !known || c.now.Sub(heard) <= contactGrace {
		waiting.arrivedAt = c.now
	}
	c.callers[ticket] = waiting
}

// ticketCaller is the entry that waits for a ticket.
type ticketCaller struct {
	id        uint64
	arrivedAt time.Time // of its call; zero: the call does not count as contact
}

// heardFor returns when the entry that waits for a ticket was last heard.
func (c *Core) heardFor(caller ticketCaller) time.Time {
	return later(c.contacts[caller.id], caller.arrivedAt)
}

// claimLimit returns until when the runs of a job may hold leases, by when the entries
// that wait for it were last heard. Zero: without limit.
func (c *Core) claimLimit(j *job) time.Time {
	var heard time.Time
	for _, ticket := range j.tickets {
		caller, remote := c.callers[ticket]
		if !remote {
			return time.Time{}
		}
		heard = later(heard, c.heardFor(caller))
	}
	return heard.Add(j.grace() + c.opts.MaxLease)
}

// grace returns for how long the runs of a job are fully renewed after the entry that
// waits for it was last heard.
func (j *job) grace() time.Duration {
	if j.delegated {
		return delegatorGrace
	}
	return contactGrace
}

// unheard reports whether no entry that waits for a job was heard within its grace. No
// task is started for such a job: the endpoint may hold a lease that lasts longer than
// the job allows.
func (c *Core) unheard(j *job) bool {
	limit := c.claimLimit(j)
	return !limit.IsZero() && limit.Sub(c.now) < c.opts.MaxLease
}

// withdrawUnheard cancels the delegated tasks of jobs whose entries are not heard. The
// delegates hear this holder and would go on renewing the runs.
func (c *Core) withdrawUnheard() {
	if !c.someContactIsOld() {
		return
	}
	var unheard []*job
	for _, j := range c.jobs {
		if c.unheard(j) {
			unheard = append(unheard, j)
		}
	}
	slices.SortFunc(unheard, byArrival)
	for _, j := range unheard {
		c.withdrawDelegated(j)
	}
}

// withdrawDelegated cancels the delegated tasks of a job, which then wait again.
func (c *Core) withdrawDelegated(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if t.state != delegatedTask {
				continue
			}
			c.withdraw(t)
			t.state = waitingTask
			c.enqueue(j)
		}
	}
}

// contactRetention is how long it is remembered when an entry was last heard.
const contactRetention = 30 * time.Second

// someContactIsOld reports whether an entry that waits for a ticket was not heard for
// contactGrace.
func (c *Core) someContactIsOld() bool {
	for _, caller := range c.callers {
		if c.now.Sub(c.heardFor(caller)) > contactGrace {
			return true
		}
	}
	return false
}

// expireContacts removes entries that were not heard for contactRetention.
func (c *Core) expireContacts() {
	maps.DeleteFunc(c.contacts, func(_ uint64, heard time.Time) bool { return c.now.Sub(heard) > contactRetention })
}
