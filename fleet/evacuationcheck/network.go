package evacuationcheck

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// sendHeartbeats sends a heartbeat with the free capacity to all other entries. It
// is received only over a link that is not cut.
func (e *entry) sendHeartbeats() {
	var free []leased.FreeCapacity
	for _, domain := range domains {
		for _, cell := range cells.All(domain, cellsPerDomain) {
			if e.view.Holds(cell) {
				free = append(free, leased.FreeCapacity{
					Holder: uint64(e.self.Incarnation), Cell: cell.String(), FailureDomain: domain, Free: e.core.FreeCapacity(cell.String(), minAnnounced),
				})
			}
		}
	}
	var revision int64
	if known := e.requests.Latest(); known != nil {
		revision = known.Revision
	}
	token := e.maxToken
	for index := range e.entries {
		if index != e.index && e.linked(e.index, index) {
			e.after(networkDelay, func() {
				if to := e.entries[index]; to.alive {
					to.receiveHeartbeat(e, revision, token, free)
				}
			})
		}
	}
}

// receiveHeartbeat is the handling of fleet.peerHeartbeat.
func (e *entry) receiveHeartbeat(from *entry, revision, token int64, free []leased.FreeCapacity) {
	e.maxToken = max(e.maxToken, token)
	if e.roster.ReceiveHeartbeat(e.time(), from.self) {
		e.refresh()
	}
	list := make([]leased.FreeCapacity, 0, len(free))
	for _, f := range free {
		f.Free = slices.Clone(f.Free)
		list = append(list, f)
	}
	if len(list) > 0 {
		e.step(&leased.AnnounceFreeCapacity{Announced: list})
	}
	if e.requests.OlderThan(revision) {
		e.fetchSnapshot(from)
	}
}

// fetchSnapshot asks an entry for its requests, once at a time.
func (e *entry) fetchSnapshot(from *entry) {
	if e.fetching {
		return
	}
	e.fetching = true
	done := false
	e.later(snapshotTimeout, func() {
		if !done {
			done, e.fetching = true, false
		}
	})
	e.after(networkDelay, func() {
		if !from.alive || from.requests.Latest() == nil {
			return
		}
		list := *from.requests.Latest()
		e.later(e.between(networkDelay, 300*time.Millisecond), func() {
			if done || !e.linked(e.index, from.index) {
				return
			}
			done, e.fetching = true, false
			e.apply(e.requests.ApplyPeer(list))
		})
	})
}

// delegation is a task that one entry runs for another.
type delegation struct {
	from, to *entry
	request  leased.Delegate
	ticket   leased.Ticket // at to; 0: it has not arrived
	over     bool
}

// Limits of delegations.
const (
	breakTime     = 300 * time.Millisecond // until a broken call is noticed
	lateRate      = 0.05                   // share of delegations that arrive late
	maxDelegation = 9 * time.Second        // that a delegation may take to arrive
)

// delegate sends a task to another holder. The request may arrive seconds late.
func (e *entry) delegate(request leased.Delegate) {
	d := &delegation{from: e, to: e.find(cells.Incarnation(request.Holder)), request: request}
	e.delegations[request.Task.ID] = d
	if d.to == nil || !e.linked(e.index, d.to.index) {
		e.later(breakTime, func() { d.end(leased.EndNoCapacity) })
		return
	}
	delay := 2 * networkDelay
	if e.chance(lateRate) && e.now < faultsEnd {
		delay = e.between(0, maxDelegation)
	}
	e.after(delay, d.arrive)
}

func (d *delegation) arrive() {
	to := d.to
	if !to.alive {
		d.from.later(breakTime, func() { d.end(leased.EndUnknown) })
		return
	}
	to.result.Delegated++
	to.lastTicket++
	d.ticket = to.lastTicket
	to.received[d.ticket] = d
	evacuated := to.evacuated(d.request.Cell)
	to.step(&leased.SubmitDelegated{Ticket: d.ticket, Task: d.request.Task})
	if to.Mutant == StartsDelegated && evacuated != nil && to.requests.Known() {
		to.sendStart(leased.Start{Endpoint: evacuated.spec.ID, Task: d.request.Task.ID, Run: d.request.Task.Run, Attempt: 1, Token: to.maxToken})
	}
}

// evacuated returns a held endpoint of a cell in an evacuated domain, or nil.
func (e *entry) evacuated(cell string) *endpoint {
	shares := e.core.DomainShares(e.time())
	for _, id := range e.held {
		x := e.byID[id]
		if share, listed := shares[x.spec.FailureDomain]; listed && share == 0 && x.spec.Cell == cell {
			return x
		}
	}
	return nil
}

// end gives the result of a delegation to the delegator.
func (d *delegation) end(end leased.End) {
	if d.over || !d.from.alive {
		return
	}
	d.over = true
	delete(d.from.delegations, d.request.Task.ID)
	d.from.step(&leased.DelegateReply{Task: d.request.Task.ID, Run: d.request.Task.Run, End: end})
}

// abandon cancels a delegation at the delegate.
func (d *delegation) abandon() {
	d.over = true
	delete(d.from.delegations, d.request.Task.ID)
	d.from.after(2*networkDelay, func() {
		if d.ticket != 0 && d.to.alive {
			d.to.step(&leased.Cancel{Ticket: d.ticket})
		}
	})
}

func (e *entry) answerDelegated(a leased.DelegatedAnswer) {
	d := e.received[a.Ticket]
	delete(e.received, a.Ticket)
	if d == nil || d.over {
		return
	}
	if !e.linked(e.index, d.from.index) {
		d.from.later(breakTime, func() { d.end(leased.EndUnknown) })
		return
	}
	d.from.later(2*networkDelay, func() { d.end(a.End) })
}

func sortedTasks(m map[leased.TaskID]*delegation) []leased.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b leased.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}
