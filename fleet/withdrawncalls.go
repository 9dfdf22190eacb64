package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Limits of withdrawn calls.
const (
	// withdrawnNamedFor is how long heartbeats name a withdrawn call. By then the called
	// entry has noticed that a silent connection is dead, by peerPingAfter and
	// peerPingTimeout (3.5 s), if it has heard no heartbeat before.
	withdrawnNamedFor = 5 * time.Second
	// minWithdrawnNamedFor is how long they name it at least, even if there are too many.
	// An entry that has heard no heartbeat for callerSilence cancels all calls.
	minWithdrawnNamedFor = 1500 * time.Millisecond
	// maxWithdrawnBytes is the space for withdrawn calls in a heartbeat: 1,500 to 3,000
	// of them. The rest of maxDatagram is enough for the other fields.
	maxWithdrawnBytes = 3 << 10
	// maxCallNumber is the highest number that is accepted, and is never reached.
	maxCallNumber = 1 << 48
	// refusedFor is how long a withdrawn call is refused if it arrives. It is longer than
	// withdrawnNamedFor and the pings of a connection, after which nothing arrives on it.
	refusedFor = 10 * time.Second
	// maxRefusedCalls bounds the memory for them. One heartbeat names fewer.
	maxRefusedCalls = 2 * maxDatagram
)

// withdrawnCall is a call to another entry that has ended without its answer.
type withdrawnCall struct {
	to     cells.Incarnation
	number uint64
	at     time.Time
}

// withdrawnCalls are the calls that heartbeats name as withdrawn. It is not safe for
// concurrent use.
type withdrawnCalls struct {
	list        []withdrawnCall // the oldest first
	unannounced map[cells.Incarnation]struct{}
}

func newWithdrawnCalls() withdrawnCalls {
	return withdrawnCalls{unannounced: make(map[cells.Incarnation]struct{})}
}

func (w *withdrawnCalls) add(now time.Time, c *call) {
	w.list = append(w.list, withdrawnCall{c.entry, c.number, now})
	w.unannounced[c.entry] = struct{}{}
}

// removeAll removes the calls to an entry.
func (w *withdrawnCalls) removeAll(id cells.Incarnation) {
	w.list = slices.DeleteFunc(w.list, func(c withdrawnCall) bool { return c.to == id })
}

// expire removes the calls that were withdrawn longer than withdrawnNamedFor ago.
func (w *withdrawnCalls) expire(now time.Time) {
	w.list = slices.DeleteFunc(w.list, func(c withdrawnCall) bool { return now.Sub(c.at) > withdrawnNamedFor })
}

// encode returns the calls as heartbeats name them, and their size in a heartbeat.
func (w *withdrawnCalls) encode() (list []*fleetpb.WithdrawnCalls, size int) {
	numbers := make(map[cells.Incarnation][]uint64)
	for _, c := range w.list {
		numbers[c.to] = append(numbers[c.to], c.number)
	}
	for _, id := range slices.Sorted(maps.Keys(numbers)) {
		list = append(list, &fleetpb.WithdrawnCalls{Incarnation: uint64(id), Calls: encodeNumbers(numbers[id])})
	}
	return list, proto.Size(&fleetpb.Beat{WithdrawnCalls: list})
}

// encodeNumbers sorts distinct numbers and returns the lowest one and the differences.
func encodeNumbers(numbers []uint64) []uint64 {
	slices.Sort(numbers)
	list := make([]uint64, len(numbers))
	last := uint64(0)
	for i, n := range numbers {
		list[i] = n - last
		last = n
	}
	return list
}

// decodeNumbers returns the numbers that encodeNumbers has encoded.
func decodeNumbers(list []uint64) []uint64 {
	numbers := make([]uint64, len(list))
	last := uint64(0)
	for i, difference := range list {
		last += difference
		numbers[i] = last
	}
	return numbers
}

// validateWithdrawn returns an error for withdrawn calls that no correct entry names.
func validateWithdrawn(w *fleetpb.WithdrawnCalls) error {
	if w.Incarnation == 0 {
		return fmt.Errorf("withdrawn calls to incarnation 0")
	}
	last := uint64(0)
	for _, difference := range w.Calls {
		if difference == 0 || difference > maxCallNumber-last {
			return fmt.Errorf("withdrawn call %d after %d", difference, last)
		}
		last += difference
	}
	return nil
}

// withdrawals is what a heartbeat says about the calls of its sender.
type withdrawals struct {
	epochs   []*fleetpb.CallEpoch
	calls    []*fleetpb.WithdrawnCalls
	overflow []overflow
}

// overflow is an entry whose calls were given up because there was no space to name its
// withdrawn ones.
type overflow struct {
	to    cells.Incarnation
	epoch uint64
	calls int // open ones
}

// withdrawals returns the withdrawals that heartbeats announce. They include every call
// to another entry whose context has ended by now.
//
// If the calls do not fit into a heartbeat, the oldest are named no longer after
// minWithdrawnNamedFor. If that is not enough, the calls to the entry of the oldest one
// are given up, open ones as well: their jobs are submitted again, which is safe.
func (s *callSet) withdrawals(now time.Time) withdrawals {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectEnded(now)
	s.withdrawn.expire(now)
	var w withdrawals
	calls, size := s.withdrawn.encode()
	for size > maxWithdrawnBytes {
		if given, raised := s.shorten(now); raised {
			w.overflow = append(w.overflow, given)
		}
		calls, size = s.withdrawn.encode()
	}
	w.calls, w.epochs = calls, s.epochs.recent(now)
	return w
}

// shortenBy is the number of withdrawn calls that shorten removes at a time.
const shortenBy = 64

// shorten removes the oldest withdrawn calls, or gives up the calls to the entry of the
// oldest one, if it has not been named for long enough. It reports whether it did so.
func (s *callSet) shorten(now time.Time) (overflow, bool) {
	old := 0
	for old < min(shortenBy, len(s.withdrawn.list)) && now.Sub(s.withdrawn.list[old].at) >= minWithdrawnNamedFor {
		old++
	}
	if old > 0 {
		s.withdrawn.list = slices.Delete(s.withdrawn.list, 0, old)
		return overflow{}, false
	}
	to := s.withdrawn.list[0].to
	open := len(s.byEntry[to])
	return overflow{to, s.raiseLocked(to, errCallsGivenUp), open}, true
}

// collectEnded withdraws the open calls whose contexts have ended. Their goroutines may
// notice it only after the next heartbeat.
func (s *callSet) collectEnded(now time.Time) {
	var ended []*call
	for _, calls := range s.byEntry {
		for c := range calls {
			if c.ctx.Err() != nil {
				ended = append(ended, c)
			}
		}
	}
	slices.SortFunc(ended, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, c := range ended {
		s.remove(c)
		s.withdrawn.add(now, c)
	}
}

// withdrawEnded withdraws a call to another entry that has ended without an answer,
// unless it was withdrawn or given up before.
func (s *callSet) withdrawEnded(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.byEntry[c.entry][c]; !open {
		return
	}
	s.remove(c)
	s.withdrawn.add(time.Now(), c)
}

// takeUnannounced returns the entries of which calls were withdrawn since the last time.
func (s *callSet) takeUnannounced(now time.Time) []cells.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectEnded(now)
	list := slices.Sorted(maps.Keys(s.withdrawn.unannounced))
	clear(s.withdrawn.unannounced)
	return list
}

// heartbeatReceivers returns the entries that have open calls, or calls that were
// withdrawn recently.
func (s *callSet) heartbeatReceivers() []cells.Incarnation {
	list := s.entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.withdrawn.list {
		list = append(list, c.to)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// withdrawNumbers cancels the calls from an entry that it has withdrawn, and lets them
// in no more if they arrive later. It returns the number of calls that it has cancelled.
func (s *callSet) withdrawNumbers(now time.Time, id cells.Incarnation, numbers []uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, number := range numbers {
		s.refused.add(now, id, number)
	}
	n := 0
	for c := range s.byEntry[id] {
		if s.refused.contains(id, c.number) && c.ctx.Err() == nil {
			c.cancel(errCallWithdrawn)
			n++
		}
	}
	return n
}

// refusedCall identifies a withdrawn call from another entry.
type refusedCall struct {
	from   cells.Incarnation
	number uint64
}

// refusedCalls are the calls that other entries have withdrawn recently. It is not safe
// for concurrent use.
type refusedCalls struct {
	heardAt map[refusedCall]time.Time
	order   []refusedCall // the oldest first
}

func newRefusedCalls() refusedCalls {
	return refusedCalls{heardAt: make(map[refusedCall]time.Time)}
}

// add records that a call was withdrawn, and forgets those that are older than
// refusedFor. If there are too many, it forgets the oldest one.
func (r *refusedCalls) add(now time.Time, from cells.Incarnation, number uint64) {
	for len(r.order) > 0 && now.Sub(r.heardAt[r.order[0]]) > refusedFor {
		r.forgetOldest()
	}
	c := refusedCall{from, number}
	if _, known := r.heardAt[c]; known {
		return
	}
	r.heardAt[c] = now
	r.order = append(r.order, c)
	if len(r.order) > maxRefusedCalls {
		r.forgetOldest()
	}
}

func (r *refusedCalls) forgetOldest() {
	delete(r.heardAt, r.order[0])
	r.order = r.order[1:]
}

// contains reports whether a call was withdrawn. Calls without a number never are.
func (r *refusedCalls) contains(from cells.Incarnation, number uint64) bool {
	_, known := r.heardAt[refusedCall{from, number}]
	return known
}
