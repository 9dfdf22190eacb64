package leased_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// faultKind is the kind of a fault that is no loss of a message.
type faultKind uint8

const (
	resetEntry      faultKind = iota // the connection between the entry and the holder of the job
	resetDelegation                  // the connection between a delegator and its delegate
	crashHolder
	handOver // a cell, while both holders live
	restartEndpointFault
	cutEndpoint   // off from its holder
	stallEndpoint // requests of its holder arrive late, and are not answered
	freezeHolder  // which then goes on
	moveCaller    // to another entry, which knows nothing of the first one
	unregisterEndpoint
	fillPage // of the list of ended runs, so that it omits those that follow
	// moveUnheardCaller moves the caller while its entry is cut off from the holder only.
	moveUnheardCaller
)

var faultNames = [...]string{"reset entry-holder", "reset holder-delegate", "crash of a holder", "hand-over", "restart of an endpoint", "endpoint cut off", "requests delayed", "freeze of a holder", "caller moves", "endpoint not registered", "page of ended runs full", "caller of an entry that its holder does not hear moves"}

// fault is one that may be chosen at a moment.
type fault struct {
	kind       faultKind
	at         int // holder or endpoint
	cell       int
	to         int // holder that gets the job or the cell
	delay      time.Duration
	slow       bool // the crash is noticed late; the new holder is told first
	stale      bool // the new holder learns late of the endpoints that run the job
	delegation *restartDelegation
}

func (f *fault) String() string {
	switch f.kind {
	case resetEntry:
		return fmt.Sprintf("h%d gets the Cancel after %v, resubmission to h%d", f.at, f.delay, f.to)
	case resetDelegation:
		return fmt.Sprintf("%v, Cancel after %v", f.delegation, f.delay)
	case crashHolder:
		return fmt.Sprintf("h%d, its cells go to h%d, noticed late %t", f.at, f.to, f.slow)
	case handOver:
		return fmt.Sprintf("c%d from h%d to h%d, which is told first %t, of some endpoints late %t", f.cell, f.at, f.to, f.slow, f.stale)
	case freezeHolder:
		return fmt.Sprintf("h%d for %v, its cells go to h%d", f.at, f.delay, f.to)
	case moveCaller, moveUnheardCaller:
		return fmt.Sprintf("h%d gets the Cancel after %v, submission to h%d", f.at, f.delay, f.to)
	case restartEndpointFault, fillPage:
		return fmt.Sprintf("e%d", f.at)
	case unregisterEndpoint:
		return fmt.Sprintf("e%d for %v", f.at, f.delay)
	}
	return fmt.Sprintf("e%d from h%d for %v", f.at, f.to, f.delay)
}

// variant describes a fault without the names of holders and endpoints.
func (f *fault) variant() string {
	switch f.kind {
	case resetEntry:
		to := "elsewhere"
		if f.at == f.to {
			to = "same holder"
		}
		return fmt.Sprintf("Cancel after %v, %s", f.delay, to)
	case resetDelegation, cutEndpoint, stallEndpoint, freezeHolder, moveCaller, moveUnheardCaller, unregisterEndpoint:
		return f.delay.String()
	case crashHolder, handOver:
		return fmt.Sprintf("slow %t, stale %t", f.slow, f.stale)
	case fillPage:
		return "ends that follow are omitted"
	}
	return "another incarnation"
}

// moment is a choice point at which one of the faults that concern the job may occur.
func (w *restartWorld) moment() {
	if w.now > restartSubmitAt+restartChoiceTime || w.answeredAt > 0 {
		return
	}
	faults := w.faults()
	if len(faults) == 0 {
		return
	}
	option := w.script.decide(choicePoint{kind: atMoment, at: w.now}, len(faults))
	if option == 0 {
		return
	}
	f := faults[option-1]
	w.deviate(faultNames[f.kind]+": "+f.String(), faultNames[f.kind], f.variant())
	w.apply(&f)
	w.addMoments()
}

// faults lists the faults that concern the job at present.
func (w *restartWorld) faults() []fault {
	var list []fault
	involved := make([]bool, len(w.holders))
	if c := w.calls[0]; c.ticket != 0 {
		involved[c.holder] = true
		list = append(list, w.entryResets(c)...)
	}
	for _, d := range w.sortedDelegations() {
		involved[d.to] = true
		for _, delay := range []time.Duration{networkDelay, shortDelay, longDelay} {
			list = append(list, fault{kind: resetDelegation, delegation: d, delay: delay})
		}
	}
	for _, e := range w.endpoints {
		if e.down || !w.runsJob(e) {
			continue
		}
		list = append(list, fault{kind: restartEndpointFault, at: e.index})
		for h, holder := range w.holders {
			if !holder.cells[e.cell] || holder.crashed {
				continue
			}
			involved[h] = true
			for _, d := range []time.Duration{400 * time.Millisecond, 1300 * time.Millisecond} {
				list = append(list, fault{kind: cutEndpoint, at: e.index, to: h, delay: d})
			}
			list = append(list, fault{kind: stallEndpoint, at: e.index, to: h, delay: shortStall})
		}
	}
	for h := range w.holders {
		if involved[h] && w.responds(w.holders[h]) {
			list = append(list, w.holderFaults(h)...)
		}
	}
	for _, e := range w.endpoints {
		if !e.down && w.runsJob(e) && w.now >= e.unregisteredUntil {
			list = append(list, fault{kind: unregisterEndpoint, at: e.index, delay: unregisteredTime}, fault{kind: fillPage, at: e.index})
		}
	}
	return append(list, w.unheardMoves()...)
}

// unheardMoves lists the moves of the caller while its entry is cut off from the holder
// that has delegated tasks of its job.
func (w *restartWorld) unheardMoves() []fault {
	var list []fault
	c := w.calls[0]
	if c.ticket == 0 || len(w.delegations) == 0 {
		return nil
	}
	for _, to := range w.others(c.holder) {
		list = append(list, fault{kind: moveUnheardCaller, at: c.holder, to: to, delay: leased.CallerSilence(callerPause, maxLease)})
	}
	return list
}

func (w *restartWorld) sortedDelegations() []*restartDelegation {
	return slices.SortedFunc(maps.Values(w.delegations), func(a, b *restartDelegation) int {
		return cmp.Or(cmp.Compare(a.key.from, b.key.from), cmp.Compare(a.key.task.Job, b.key.task.Job), cmp.Compare(a.key.task.Index, b.key.task.Index))
	})
}

// others lists the live holders other than h.
func (w *restartWorld) others(h int) []int {
	var list []int
	for other := range w.holders {
		if other != h && w.responds(w.holders[other]) {
			list = append(list, other)
		}
	}
	return list
}

func (w *restartWorld) entryResets(c *restartCall) []fault {
	var list []fault
	for _, to := range append([]int{c.holder}, w.others(c.holder)...) {
		for _, delay := range []time.Duration{networkDelay, shortDelay, longDelay} {
			list = append(list, fault{kind: resetEntry, at: c.holder, to: to, delay: delay})
		}
		list = append(list, fault{kind: moveCaller, at: c.holder, to: to, delay: shortDelay})
	}
	return list
}

func (w *restartWorld) holderFaults(h int) []fault {
	var list []fault
	for _, to := range w.others(h) {
		for _, slow := range []bool{false, true} {
			list = append(list, fault{kind: crashHolder, at: h, to: to, slow: slow})
			for cell, held := range w.holders[h].cells {
				if held {
					list = append(list, fault{kind: handOver, at: h, cell: cell, to: to, slow: slow})
				}
			}
		}
		for cell, held := range w.holders[h].cells {
			if held && w.someIdle(cell) {
				list = append(list, fault{kind: handOver, at: h, cell: cell, to: to, slow: true, stale: true})
			}
		}
		list = append(list, fault{kind: freezeHolder, at: h, to: to, delay: freezeTime})
	}
	return list
}

// someIdle reports whether a cell has an endpoint without a run of the job, and one with.
func (w *restartWorld) someIdle(cell int) bool {
	idle, busy := false, false
	for _, e := range w.endpoints {
		if e.cell == cell {
			runs := w.runsJob(e)
			idle, busy = idle || !runs, busy || runs
		}
	}
	return idle && busy
}

func (w *restartWorld) apply(f *fault) {
	switch f.kind {
	case resetEntry:
		c := w.calls[0]
		w.silenceFor(entryID, f.at, f.delay)
		w.cancel(c.ticket, f.delay)
		c.resubmitTo(f.to)
	case resetDelegation:
		w.silenceFor(holderID(f.delegation.key.from), f.delegation.to, f.delay)
		w.cancel(f.delegation.ticket, f.delay)
		w.after(networkDelay, func() { w.endDelegation(f.delegation, leased.EndUnknown) })
	case crashHolder:
		w.crash(f)
	case handOver:
		w.handOver(f)
	case restartEndpointFault:
		w.restart(w.endpoints[f.at])
	case cutEndpoint:
		w.endpoints[f.at].cutUntil[f.to] = w.now + f.delay
	case stallEndpoint:
		w.endpoints[f.at].stalledUntil[f.to] = w.now + f.delay
	case freezeHolder:
		w.freeze(f)
	case moveCaller:
		w.moveCaller(f)
	case moveUnheardCaller:
		w.silence(entryID, f.at, callerPause)
		w.moveCaller(f)
	case unregisterEndpoint:
		w.unregister(w.endpoints[f.at])
	case fillPage:
		w.fillPage(w.endpoints[f.at])
	}
}

// unregisteredTime is longer than it takes a holder that gets the cell meanwhile to
// search for a run.
const unregisteredTime = 2500 * time.Millisecond

// unregister removes the registration of an endpoint for a time. No holder learns of it
// meanwhile, and its own holder takes it for gone.
func (w *restartWorld) unregister(e *restartEndpoint) {
	e.unregisteredUntil = w.now + unregisteredTime
	for h := range w.holders {
		w.after(networkDelay, func() { w.assign(h) })
		w.at(e.unregisteredUntil, func() { w.assign(h) })
	}
}

// endedPageSize bounds the ended runs in a list. The job under test has few runs, so that
// a small page shows what happens when the next one has their ends.
const endedPageSize = 1

// fillPage lets a run of another job end, which fills a page.
func (w *restartWorld) fillPage(e *restartEndpoint) {
	e.AddEnded(leased.TaskID{Job: "earlier"}, 1, leased.EndStopped)
	w.advance(e)
}

// callerPause is how long a caller waits whose connection broke before it sends its
// request to another entry.
const callerPause = 1300 * time.Millisecond

// moveCaller lets the caller's entry give the job up, and another entry submit it as a
// new one.
func (w *restartWorld) moveCaller(f *fault) {
	c := w.calls[0]
	w.callerMoved = true
	w.cancel(c.ticket, f.delay)
	c.giveUp()
	c.lost, c.job.Resubmitted = nil, false
	w.after(callerPause, func() { c.submit(f.to) })
}

// freezeTime is longer than a lease, and than it takes others to notice.
const freezeTime = 1500 * time.Millisecond

// Times after a freeze: until tasks are started again, and until the holder has listened
// to heartbeats, which tell what it holds.
const (
	thawPause = 250 * time.Millisecond
	thawTime  = 150 * time.Millisecond
)

// freeze stops a holder, which others take for lost. Then it goes on with what it knew.
func (w *restartWorld) freeze(f *fault) {
	holder := w.holders[f.at]
	w.someUnheard = true
	holder.frozenUntil = w.now + f.delay
	before := slices.Clone(holder.cells)
	w.at(holder.frozenUntil, func() {
		w.step(f.at, &leased.Pause{For: thawPause})
		w.step(f.at, &leased.SetEndpoints{})
		w.after(thawTime, func() { w.assign(f.at) })
	})
	for _, d := range w.sortedDelegations() {
		if d.to == f.at {
			w.cancel(d.ticket, slowNotice)
			w.afterwards(slowNotice, func() { w.endDelegation(d, leased.EndUnknown) })
		}
		if d.key.from == f.at {
			w.cancelFrom(d, longDelay)
		}
	}
	for _, c := range w.calls {
		if c.ticket != 0 && c.holder == f.at && !c.answered {
			ticket := c.ticket
			w.afterwards(slowNotice, func() {
				if c.ticket == ticket {
					w.cancel(ticket, networkDelay)
					c.lose(true)
				}
			})
		}
	}
	w.after(slowTakeover, func() { w.moveCells(f.at, f.to, before) })
}

// cancelFrom ends a delegation whose delegator is frozen: the delegate gives it up, and
// the delegator learns of it when it goes on.
func (w *restartWorld) cancelFrom(d *restartDelegation, delay time.Duration) {
	w.cancel(d.ticket, delay)
	w.afterwards(delay, func() { w.endDelegation(d, leased.EndUnknown) })
}

// moveCells gives cells to another holder.
func (w *restartWorld) moveCells(from, to int, cells []bool) {
	for cell, held := range cells {
		if held && w.holders[from].cells[cell] {
			w.holders[from].cells[cell] = false
			w.holders[to].cells[cell] = true
		}
	}
	w.assign(to)
}

// Times until others notice the crash of a holder. A process that dies closes its
// connections; a VM that is gone is only silent.
const (
	promptTakeover = 150 * time.Millisecond
	slowNotice     = 600 * time.Millisecond
	slowTakeover   = 700 * time.Millisecond
)

func (w *restartWorld) crash(f *fault) {
	w.holders[f.at].crashed = true
	notice, cancel, takeover := time.Millisecond, time.Millisecond, promptTakeover
	if f.slow {
		w.someUnheard = true
		notice, cancel, takeover = slowNotice, longDelay, slowTakeover
	}
	for _, d := range w.sortedDelegations() {
		if d.to == f.at {
			w.afterwards(notice, func() { w.endDelegation(d, leased.EndUnknown) })
		}
		if d.key.from == f.at {
			delete(w.delegations, d.key)
			w.cancel(d.ticket, cancel)
		}
	}
	maps.DeleteFunc(w.tickets, func(_ leased.Ticket, t *restartTicket) bool { return t.holder == f.at })
	for _, c := range w.calls {
		if c.ticket != 0 && c.holder == f.at && !c.answered {
			ticket := c.ticket
			w.afterwards(notice, func() {
				if c.ticket == ticket {
					c.lose(true)
				}
			})
		}
	}
	w.after(takeover, func() {
		w.moveCells(f.at, f.to, slices.Clone(w.holders[f.at].cells))
	})
}

// handOverSkew is how much later the second one of two holders learns that a cell has
// changed hands.
const handOverSkew = 100 * time.Millisecond

// staleTime is how much later a new holder learns of endpoints whose announcements it
// has not received.
const staleTime = 500 * time.Millisecond

func (w *restartWorld) handOver(f *fault) {
	release := func() { w.holders[f.at].cells[f.cell] = false; w.assign(f.at) }
	take := func() { w.holders[f.to].cells[f.cell] = true; w.assign(f.to) }
	if f.slow {
		release, take = take, release
	}
	if f.stale {
		w.announceLate(f)
	}
	w.after(networkDelay, release)
	w.after(handOverSkew, take)
}

// announceLate lets the new holder of a cell learn late of the endpoints that run the job.
func (w *restartWorld) announceLate(f *fault) {
	for _, e := range w.endpoints {
		if e.cell == f.cell && w.runsJob(e) {
			e.announcedAt[f.to] = w.now + staleTime
		}
	}
	w.after(staleTime, func() { w.assign(f.to) })
}

// restartDownTime is how long an endpoint takes to restart.
const restartDownTime = 100 * time.Millisecond

// restart replaces an endpoint by another incarnation, which has none of its runs.
func (w *restartWorld) restart(e *restartEndpoint) {
	e.down = true
	e.incarnation++
	e.Restart(e.incarnation)
	for _, p := range e.polls {
		w.at(p.call.timeoutAt, func() { w.step(p.call.holder, p.call.noReply) })
	}
	e.polls = nil
	w.after(restartDownTime, func() { e.down = false })
}
