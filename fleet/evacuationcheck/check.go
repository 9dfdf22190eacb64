package evacuationcheck

import (
	"fmt"
	"slices"
	"time"
)

// Times within which an entry that is in contact must have acted.
const (
	// lateAllowance is the time from the first reply with a request until no task
	// is started, if replies before it were older than the acknowledgement: no
	// entry can tell such a reply from a current one, so it drains in steps.
	lateAllowance = 1800 * time.Millisecond
	// peerAllowance is the time within which an entry learns a newer list from a
	// connected peer: a heartbeat, and a snapshot after one that timed out.
	peerAllowance = heartbeatInterval + 2*snapshotTimeout + 300*time.Millisecond
)

// violated records a violation of an invariant.
func (w *world) violated(format string, args ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf(format, args...))
}

// checkStarts checks the bound for all starts of a run.
func (w *world) checkStarts() {
	w.result.Starts = len(w.starts)
	for _, s := range w.starts {
		offset, requested := w.store.request(s.domain, s.at)
		if !requested {
			continue
		}
		acked := w.store.log[offset].acked
		if s.at <= acked+Bound {
			continue
		}
		w.result.Late++
		if reason, in := w.contact(s.by, offset, s.at); in {
			w.violated("%v: %s (%d) starts a task in %s, %v after the acknowledgement of record %d, in contact: %s",
				s.at, s.by.self.Name, s.by.self.Incarnation, s.domain, s.at-acked, offset, reason)
		}
	}
}

// contact reports whether the bound holds for an entry at a time that is later than
// Bound after the acknowledgement of a request. An entry is in contact with the
// platform if
//
//   - the store has answered a read of it with a state that includes the request.
//     If the store answered an earlier read, sent after the acknowledgement, with
//     an older state, the entry counts as in contact lateAllowance later; or
//   - it has ended no read since its start, and its first read will be answered
//     with a state that includes the request: a restarted entry has to wait for it.
//
// An entry whose reads fail, or which gets only older states, is not in contact: it
// cannot know of the request. It is connected if a peer has known the request, and
// the link to it has existed, for peerAllowance.
func (w *world) contact(e *entry, offset int64, at time.Duration) (string, bool) {
	acked := w.store.log[offset].acked
	first, older := e.firstAnswer(offset, acked)
	switch {
	case first != nil && !older && at > first.ended:
		return fmt.Sprintf("its read was answered at %v", first.ended), true
	case first != nil && older && at > first.ended+lateAllowance:
		return fmt.Sprintf("its read was answered at %v, after older states", first.ended), true
	}
	if r := e.reads[0]; r.ended > at && r.answered && r.end > offset {
		return fmt.Sprintf("its first read will be answered at %v", r.ended), true
	}
	for _, peer := range slices.Concat(w.entries, w.past) {
		since := at - peerAllowance
		if peer.index == e.index || e.born > since || !peer.aliveDuring(since, at) || !w.connected(e.index, peer.index, since, at) {
			continue
		}
		if known, _ := peer.firstAnswer(offset, acked); known != nil && known.ended <= since {
			return fmt.Sprintf("%s knows the request since %v", peer.self.Name, known.ended), true
		}
	}
	return "", false
}

// firstAnswer returns the first read that was answered with a state that includes a
// record, and whether a read sent after its acknowledgement was answered with an
// older state.
func (e *entry) firstAnswer(offset int64, acked time.Duration) (first *read, older bool) {
	for _, r := range e.reads {
		switch {
		case !r.answered:
		case r.end > offset:
			return r, older
		case r.sent >= acked:
			older = true
		}
	}
	return nil, older
}

// aliveDuring reports whether an incarnation was alive for a whole time.
func (e *entry) aliveDuring(from, to time.Duration) bool {
	return e.born <= from && (e.alive || e.diedAt > to)
}

// checkEnd checks that the requests are known everywhere and that all other domains
// get tasks, once the faults have ended for a while.
func (w *world) checkEnd() {
	recent := make(map[string]int)
	for _, s := range w.starts {
		if s.at > runLength-2*time.Second {
			recent[s.domain]++
		}
	}
	for _, domain := range domains {
		_, requested := w.store.request(domain, w.now)
		if !requested && recent[domain] == 0 {
			w.violated("domain %s gets no tasks, although no evacuation of it is requested", domain)
		}
		for _, e := range w.entries {
			share, listed := e.core.DomainShares(w.time())[domain]
			if requested != listed || listed && share > 0 {
				w.violated("%s gives domain %s the share %v (listed %v) in the end; requested: %v", e.self.Name, domain, share, listed, requested)
			}
		}
	}
}
