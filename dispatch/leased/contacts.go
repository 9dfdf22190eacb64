package leased

import (
	"maps"
	"slices"
	"time"
)

// This file records when the entries that wait for jobs were last heard, and by which
// calls they have submitted them. That bounds the leases of their runs (renewal.go).

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
		c.callers[ticket] = ticketCaller{id: caller.id, call: caller.call}
	}
}

// addCaller records which entry waits for a ticket; 0: this one. The call counts as
// contact at heardAt, for this ticket only: it does not tell which other calls its entry
// has withdrawn. Its arrival counts only if nothing is known of the entry. The call may
// have been held up, and withdrawn meanwhile: the next heartbeat shows that.
func (c *Core) addCaller(ticket Ticket, caller uint64, heardAt time.Time) {
	if caller == 0 {
		return
	}
	waiting := ticketCaller{id: caller}
	_, known := c.contacts[caller]
	switch {
	case heardAt.IsZero() && !known:
		waiting.heardAt = c.now
	case !heardAt.Before(c.resumedAt): // see contact
		waiting.heardAt = heardAt
	}
	c.callers[ticket] = waiting
}

// isLate reports whether a call was on its way for longer than tasks are started for an
// entry that is not heard. Its sender may have given it up and have started its tasks
// elsewhere, and heartbeats name withdrawn calls for a few seconds only. So a late call
// starts nothing, even if its entry was heard since.
func (c *Core) isLate(sentAt time.Time) bool {
	return !sentAt.IsZero() && c.now.Sub(sentAt) > contactGrace
}

// ticketCaller is the entry that waits for a ticket.
type ticketCaller struct {
	id      uint64
	heardAt time.Time // by its call; zero: the call does not count as contact
	call    CallID    // that has submitted the job; zero: not known
}

// recordCall records which call has submitted the job of a ticket, if another entry waits
// for it.
func (c *Core) recordCall(ticket Ticket, call CallID) {
	if caller, remote := c.callers[ticket]; remote {
		caller.call = call
		c.callers[ticket] = caller
	}
}

// heardFor returns when the entry that waits for a ticket was last heard.
func (c *Core) heardFor(caller ticketCaller) time.Time {
	return later(c.contacts[caller.id], caller.heardAt)
}

// lastHeard returns when an entry that waits for a job was last heard, or false if a
// caller waits at this entry.
func (c *Core) lastHeard(j *job) (heard time.Time, remote bool) {
	for _, ticket := range j.tickets {
		caller, remote := c.callers[ticket]
		if !remote {
			return time.Time{}, false
		}
		heard = later(heard, c.heardFor(caller))
	}
	return heard, true
}

// originOf returns the entry that waits for a job and was heard last, how long ago that
// was, and its newest call for the job. It returns 0 if a caller waits at this entry.
func (c *Core) originOf(j *job) (origin uint64, age time.Duration, call CallID) {
	var heard time.Time
	for _, ticket := range j.tickets {
		caller, remote := c.callers[ticket]
		if !remote {
			return 0, 0, CallID{}
		}
		at := c.heardFor(caller)
		if origin == 0 || at.After(heard) || at.Equal(heard) && caller.call.Number > call.Number {
			origin, heard, call = caller.id, at, caller.call
		}
	}
	return origin, min(max(0, c.now.Sub(heard)), contactRetention), call
}

// submissionOf returns the call that a run of a job serves.
func (c *Core) submissionOf(j *job) Submission {
	if j.delegated {
		s := Submission{Delegated: true, Origin: j.origin}
		for _, ticket := range j.tickets {
			s.Entry = c.callers[ticket].id
		}
		return s
	}
	entry, _, call := c.originOf(j)
	return Submission{Entry: entry, Call: call}
}

// originHeardAt returns when the entry that waits for the job of a delegated task was
// last heard, by the delegator's word. That counts for this task only: it does not tell
// which calls to this entry were withdrawn.
func (c *Core) originHeardAt(in *SubmitDelegated) time.Time {
	sent := in.CallerHeardAt
	if sent.IsZero() {
		sent = c.now
	}
	return sent.Add(-in.Task.OriginAge)
}

// originHeard returns when the origin of a delegated task was last heard.
func (c *Core) originHeard(j *job) time.Time { return later(c.contacts[j.origin], j.originHeardAt) }

// Origins returns the entries that wait for the jobs of the tasks that others have
// delegated to this core, in no order. Their contacts bound the leases of these tasks.
func (c *Core) Origins() []uint64 {
	var list []uint64
	for _, j := range c.delegated {
		if j.origin != 0 && !slices.Contains(list, j.origin) {
			list = append(list, j.origin)
		}
	}
	return list
}

// grace returns for how long tasks of a job are started, or left to delegates, after the
// entry that waits for it was last heard.
func (j *job) grace() time.Duration {
	if j.delegated {
		return delegatorGrace
	}
	return contactGrace
}

// unheard reports whether no entry that waits for a job was heard within its grace, or
// whether that which waits for the job of a delegated task was not. No task is started
// for such a job.
func (c *Core) unheard(j *job) bool {
	heard, remote := c.lastHeard(j)
	if !remote {
		return false
	}
	return c.now.Sub(heard) > j.grace() || j.origin != 0 && c.now.Sub(c.originHeard(j)) > contactGrace
}

// ContactGrace is how long tasks are started for an entry after it was last heard.
const ContactGrace = contactGrace

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
