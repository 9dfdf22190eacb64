package fleet

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// A delegate extends the lease of a task as long as it hears both the delegator and the
// entry that waits for the task's job. That entry's heartbeats name its withdrawn calls
// to the delegator, not to the delegate, and the delegator may not hear them. So a
// delegated task carries the call by which its job was submitted to the delegator, and
// the delegate withdraws the task when it hears that this call was withdrawn.

// callerCall is the call by which the entry that waits for the job of a delegated task
// has submitted it to the delegator. Its number is 0 if it is not known: the delegator or
// that entry is of an earlier version, or the caller waits at the delegator.
type callerCall struct {
	from   cells.Incarnation
	epoch  uint64
	number uint64
}

// heardWithdrawals are the withdrawals that the newest heartbeat of each entry has named.
// Each one names all of at least minWithdrawnNamedFor, and a delegator delegates no task
// contactGrace after it last heard the entry that waits for the job, so older heartbeats
// add nothing. It is not safe for concurrent use.
type heardWithdrawals map[cells.Incarnation]heardWithdrawal

type heardWithdrawal struct {
	at     time.Time
	sentUs uint64
	epochs []*fleetpb.CallEpoch
	calls  []*fleetpb.WithdrawnCalls
}

// add records what a heartbeat names, unless it is older than the newest one, and forgets
// the heartbeats of entries that were not heard for refusedFor.
func (w heardWithdrawals) add(now time.Time, b *fleetpb.Beat) {
	from := cells.Incarnation(b.Incarnation)
	if b.SentUs < w[from].sentUs {
		return
	}
	if len(b.CallEpochs) == 0 && len(b.WithdrawnCalls) == 0 {
		delete(w, from)
		return
	}
	for id, heard := range w {
		if now.Sub(heard.at) > refusedFor {
			delete(w, id)
		}
	}
	w[from] = heardWithdrawal{now, b.SentUs, b.CallEpochs, b.WithdrawnCalls}
}

// withdrawn reports whether a call to an entry is withdrawn.
func (w heardWithdrawals) withdrawn(c callerCall, to cells.Incarnation) bool {
	heard, named := w[c.from]
	if !named || c.number == 0 {
		return false
	}
	return slices.ContainsFunc(heard.epochs, func(e *fleetpb.CallEpoch) bool {
		return e.Incarnation == uint64(to) && c.epoch < e.Epoch
	}) || slices.ContainsFunc(heard.calls, func(n *fleetpb.WithdrawnCalls) bool {
		return n.Incarnation == uint64(to) && containsNumber(n.Calls, c.number)
	})
}

// containsNumber reports whether numbers as encodeNumbers encodes them contain one.
func containsNumber(list []uint64, number uint64) bool {
	last := uint64(0)
	for _, difference := range list {
		last += difference
		if last >= number {
			return last == number
		}
	}
	return false
}

// callerWithdrew is the answer to a delegated task whose cause is withdrawn. Its run may
// not have ended yet.
func callerWithdrew() *fleetpb.LendResponse {
	return &fleetpb.LendResponse{End: uint32(leased.EndUnknown), CallerWithdrew: true}
}

// causeWithdrawn withdraws the call of another entry that has submitted the job of a
// delegated task: the delegate has heard that it is withdrawn.
func (p *peers) causeWithdrawn(t *leased.DelegatedTask) {
	p.inbound.withdrawNumbers(time.Now(), cells.Incarnation(t.Origin), []uint64{t.OriginCall.Number})
}

// withdrawCaused records the withdrawals that a heartbeat names, and cancels the calls of
// delegators that follow from withdrawn ones. It returns their number.
func (s *callSet) withdrawCaused(now time.Time, b *fleetpb.Beat) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard.add(now, b)
	var delegators []uint64
	for _, e := range b.CallEpochs {
		delegators = append(delegators, e.Incarnation)
	}
	for _, w := range b.WithdrawnCalls {
		delegators = append(delegators, w.Incarnation)
	}
	slices.Sort(delegators)
	n := 0
	for _, delegator := range slices.Compact(delegators) {
		id := cells.Incarnation(delegator)
		for c := range s.byEntry[id] {
			if uint64(c.cause.from) == b.Incarnation && s.heard.withdrawn(c.cause, id) && c.ctx.Err() == nil {
				c.cancel(errCauseWithdrawn)
				n++
			}
		}
	}
	return n
}
