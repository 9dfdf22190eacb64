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
	// freezeThreshold is by how much the clocks may differ before it counts as a
	// freeze: far more than the time between reading one and the other.
	freezeThreshold = 250 * time.Millisecond
	// resumePause is how long withdrawals that came during a freeze may take to
	// be read.
	resumePause = 250 * time.Millisecond
)

// freezeDetector finds out whether the process stood still. Where the whole VM did,
// the steady clock does not count that time and the boot clock does; where only
// the process did, no look comes for long, though the loop looks at each tick.
// It is safe for concurrent use.
type freezeDetector struct {
	readClocks func() (monotonic time.Time, boot time.Duration)
	log        *zap.Logger

	mu        sync.Mutex
	steady    time.Time
	boot      time.Duration
	resumedAt time.Time
	maxGap    time.Duration // longest time between two looks; 0: any
}

// setMaxGap tells after how long without a look others take this process for gone.
func (w *freezeDetector) setMaxGap(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxGap = limit
}

func newFreezeDetector(read func() (time.Time, time.Duration), log *zap.Logger) *freezeDetector {
	w := &freezeDetector{readClocks: read, log: log}
	w.steady, w.boot = read()
	return w
}

// check returns when the process last woke up from a freeze; zero: never.
func (w *freezeDetector) check() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	monotonic, boot := w.readClocks()
	elapsed := monotonic.Sub(w.steady)
	uncounted := boot - w.boot - elapsed
	w.steady, w.boot = monotonic, boot
	if uncounted > freezeThreshold || w.maxGap > 0 && elapsed > w.maxGap {
		w.resumedAt = monotonic
		w.log.Warn("process_stood_still", zap.Duration("unseen_ms", uncounted), zap.Duration("since_last_look_ms", elapsed))
	}
	return w.resumedAt
}

// remainingPause returns for how long from now what was read before a freeze may still
// come in ahead of its withdrawal.
func (w *freezeDetector) remainingPause() time.Duration {
	resumedAt := w.check()
	if resumedAt.IsZero() {
		return 0
	}
	return resumePause - w.elapsedSince(resumedAt)
}

func (w *freezeDetector) elapsedSince(t time.Time) time.Duration {
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

// handleFreeze finds out whether the process stood still. If so, what it knows
// of others is old: it holds nothing until it has heard them again, and starts
// nothing for a while.
func (l *Loop) handleFreeze() {
	if !l.unhandledFreeze() {
		return
	}
	l.resumedAt = l.freezeDetector.check()
	l.roster.Resumed(time.Now())
	l.step(&leased.Pause{For: resumePause})
	l.dirty = true
	l.refresh(time.Now())
	l.publish()
}

// updateMaxCheckGap sets how long the process may go without a look at its clocks.
func (l *Loop) updateMaxCheckGap() { l.freezeDetector.setMaxGap(cells.SilenceTimeout(l.interval())) }

// unhandledFreeze reports a freeze that was not dealt with yet.
func (l *Loop) unhandledFreeze() bool { return !l.freezeDetector.check().Equal(l.resumedAt) }

// sendStarts sends orders to start, unless the process has just stood still:
// then they were decided on what may no longer hold.
func (l *Loop) sendStarts(starts []leased.Start) {
	if len(starts) == 0 {
		return
	}
	if l.unhandledFreeze() {
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
