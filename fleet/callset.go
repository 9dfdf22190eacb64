package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/membership/cells"
)

// callSet contains the open calls to other entries, or from them, so that they
// can be cancelled when an entry is lost or has given them up. It is safe for
// concurrent use.
type callSet struct {
	mu         sync.Mutex
	byEntry    map[cells.Incarnation]map[*call]struct{}
	epochs     epochs
	lastNumber uint64         // of a call to another entry
	withdrawn  withdrawnCalls // to other entries
	refused    refusedCalls   // from other entries
	heard      heardWithdrawals
}

// call is an open call to another entry, or from it.
type call struct {
	ctx    context.Context // done when the call has ended or was cancelled
	entry  cells.Incarnation
	epoch  uint64
	number uint64 // 0: the calling entry numbers no calls
	cause  callerCall
	began  time.Time
	cancel context.CancelCauseFunc
}

// Causes of the cancellation of calls, other than the end of their own contexts.
var (
	errEntryGone      = errors.New("the other entry counts as gone")
	errCallsGivenUp   = errors.New("the connection of another call to the same entry broke")
	errCallWithdrawn  = errors.New("the calling entry has given the call up")
	errCauseWithdrawn = errors.New("the entry that waits for the job has given up its call to the delegator")
)

func newCallSet() *callSet {
	return &callSet{
		byEntry: make(map[cells.Incarnation]map[*call]struct{}), epochs: newEpochs(),
		withdrawn: newWithdrawnCalls(), refused: newRefusedCalls(), heard: make(heardWithdrawals),
	}
}

// track returns a context that is cancelled with the calls of an entry. The
// returned function must be called when the call has ended.
func (s *callSet) track(ctx context.Context, id cells.Incarnation) (context.Context, func()) {
	c := s.open(ctx, id)
	return c.ctx, func() { s.end(c) }
}

// open adds a call of the current epoch, with the next number. The caller must call
// end when it has ended.
func (s *callSet) open(ctx context.Context, id cells.Incarnation) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return s.add(ctx, id, s.epochs.current(id), s.lastNumber)
}

// admit adds a call from another entry with the epoch and number that the call names,
// and cancels that entry's calls of lower epochs. It returns errCallWithdrawn if the
// entry has given up all calls of the epoch, or this one.
func (s *callSet) admit(ctx context.Context, id cells.Incarnation, epoch, number uint64) (*call, error) {
	return s.admitCausedBy(ctx, id, epoch, number, callerCall{})
}

// admitCausedBy does the same for the call of a delegator. It returns errCauseWithdrawn if
// the entry that waits for the job has withdrawn its call to the delegator.
func (s *callSet) admitCausedBy(ctx context.Context, id cells.Incarnation, epoch, number uint64, cause callerCall) (*call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epochs.current(id) || s.refused.contains(id, number) {
		return nil, errCallWithdrawn
	}
	if s.heard.withdrawn(cause, id) {
		return nil, errCauseWithdrawn
	}
	s.withdrawLocked(id, epoch)
	c := s.add(ctx, id, epoch, number)
	c.cause = cause
	return c, nil
}

func (s *callSet) add(ctx context.Context, id cells.Incarnation, epoch, number uint64) *call {
	c := &call{entry: id, epoch: epoch, number: number, began: time.Now()}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	if s.byEntry[id] == nil {
		s.byEntry[id] = make(map[*call]struct{})
	}
	s.byEntry[id][c] = struct{}{}
	return c
}

// end removes a call that has ended.
func (s *callSet) end(c *call) {
	defer c.cancel(nil) // an open call whose context has ended counts as withdrawn
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

func (s *callSet) remove(c *call) {
	delete(s.byEntry[c.entry], c)
	if len(s.byEntry[c.entry]) == 0 {
		delete(s.byEntry, c.entry)
	}
}

// giveUp cancels the open calls to an entry and begins the next epoch. It returns
// the epoch and the number of calls. Without open calls it does nothing.
func (s *callSet) giveUp(id cells.Incarnation, cause error) (epoch uint64, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.giveUpLocked(id, cause)
}

// giveUpBroken does the same after a call broke, unless that call was given up
// before: calls that break together begin one epoch only.
func (s *callSet) giveUpBroken(broken *call) (epoch uint64, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.byEntry[broken.entry][broken]; !open {
		return 0, 0
	}
	return s.giveUpLocked(broken.entry, errCallsGivenUp)
}

func (s *callSet) giveUpLocked(id cells.Incarnation, cause error) (epoch uint64, calls int) {
	given := s.byEntry[id]
	if len(given) == 0 {
		return 0, 0
	}
	return s.raiseLocked(id, cause), len(given)
}

// raiseLocked cancels the open calls to an entry, if any, and begins the next epoch,
// which it returns. The epoch withdraws the entry's withdrawn calls, too.
func (s *callSet) raiseLocked(id cells.Incarnation, cause error) uint64 {
	for c := range s.byEntry[id] {
		c.cancel(cause)
	}
	delete(s.byEntry, id)
	s.withdrawn.removeAll(id)
	return s.epochs.next(time.Now(), id)
}

// withdraw cancels the calls from an entry of epochs before the given one, which
// that entry has given up, and lets no further ones in. It returns the number of
// calls that it has cancelled.
func (s *callSet) withdraw(id cells.Incarnation, epoch uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawLocked(id, epoch)
}

func (s *callSet) withdrawLocked(id cells.Incarnation, epoch uint64) int {
	s.epochs.raise(time.Now(), id, epoch)
	n := 0
	for c := range s.byEntry[id] {
		if c.epoch < epoch && c.ctx.Err() == nil {
			c.cancel(errCallWithdrawn)
			n++
		}
	}
	return n
}

// cancelAll cancels the calls of an entry.
func (s *callSet) cancelAll(id cells.Incarnation) { s.cancelBefore(id, time.Now()) }

// cancelBefore cancels the calls of an entry that began before a time. It returns
// their number.
func (s *callSet) cancelBefore(id cells.Incarnation, before time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.byEntry[id] {
		if !c.began.After(before) {
			c.cancel(errEntryGone)
			n++
		}
	}
	return n
}

// entries returns the entries that have open calls.
func (s *callSet) entries() []cells.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]cells.Incarnation, 0, len(s.byEntry))
	for id := range s.byEntry {
		list = append(list, id)
	}
	return list
}
