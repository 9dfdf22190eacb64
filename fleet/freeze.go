package fleet

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Times of freezes.
const (
	// freezeLimit is by how much the clocks may differ before it counts as a
	// freeze: far more than the time between reading one and the other.
	freezeLimit = 250 * time.Millisecond
	// wakePause is how long withdrawals that came during a freeze may take to
	// be read.
	wakePause = 250 * time.Millisecond
)

// freezeWatch finds out whether the process stood still. Where the whole VM did,
// the steady clock does not count that time and the boot clock does; where only
// the process did, no look comes for long, though the loop looks at each tick.
// It is safe for concurrent use.
type freezeWatch struct {
	read func() (steady time.Time, boot time.Duration)
	log  *zap.Logger

	mu     sync.Mutex
	steady time.Time
	boot   time.Duration
	woke   time.Time
	limit  time.Duration // longest time between two looks; 0: any
}

// expect tells after how long without a look others take this process for gone.
func (w *freezeWatch) expect(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

func newFreezeWatch(read func() (time.Time, time.Duration), log *zap.Logger) *freezeWatch {
	w := &freezeWatch{read: read, log: log}
	w.steady, w.boot = read()
	return w
}

// look returns when the process last woke up from a freeze; zero: never.
func (w *freezeWatch) look() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	steady, boot := w.read()
	passed := steady.Sub(w.steady)
	gap := boot - w.boot - passed
	w.steady, w.boot = steady, boot
	if gap > freezeLimit || w.limit > 0 && passed > w.limit {
		w.woke = steady
		w.log.Warn("process_stood_still", zap.Duration("unseen_ms", gap), zap.Duration("since_last_look_ms", passed))
	}
	return w.woke
}

// rest returns for how long from now what was read before a freeze may still
// come in ahead of its withdrawal.
func (w *freezeWatch) rest() time.Duration {
	woke := w.look()
	if woke.IsZero() {
		return 0
	}
	return wakePause - w.steadySince(woke)
}

func (w *freezeWatch) steadySince(t time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steady.Sub(t)
}

// readClocks returns the steady clock and the boot clock. Reading the latter
// cannot fail for a clock that the kernel knows; a kernel without it reports
// no freezes.
func readClocks() (time.Time, time.Duration) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now(), 0
	}
	return time.Now(), time.Duration(ts.Nano())
}

// noticeFreeze finds out whether the process stood still. If so, what it knows
// of others is old: it holds nothing until it has heard them again, and starts
// nothing for a while.
func (l *Loop) noticeFreeze() {
	if !l.justWoke() {
		return
	}
	l.woke = l.freezes.look()
	l.roster.Resumed(time.Now())
	l.step(&leased.Pause{For: wakePause})
	l.dirty = true
	l.refresh(time.Now())
	l.publish()
}

// expectLooks sets how long the process may go without a look at its clocks.
func (l *Loop) expectLooks() { l.freezes.expect(cells.SilenceTimeout(l.interval())) }

// justWoke reports a freeze that was not dealt with yet.
func (l *Loop) justWoke() bool { return !l.freezes.look().Equal(l.woke) }

// startAll sends orders to start, unless the process has just stood still:
// then they were decided on what may no longer hold.
func (l *Loop) startAll(starts []leased.Start) {
	if len(starts) == 0 {
		return
	}
	if l.justWoke() {
		for i := range starts {
			s := &starts[i]
			l.send(coreInput{&leased.StartReply{Endpoint: s.Endpoint, Task: s.Task, Run: s.Run, Result: leased.StartNotSent}})
		}
		return
	}
	for i := range starts {
		l.start(starts[i])
	}
}
