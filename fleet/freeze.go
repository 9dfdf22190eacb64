package fleet

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Limits of freezes.
const (
	// freezeThreshold is the difference between the clocks above which a freeze
	// is assumed. It is far longer than the time between reading the two clocks.
	freezeThreshold = 250 * time.Millisecond
	// resumePause is the time allowed after a freeze for reading cancellations
	// that arrived during the freeze.
	resumePause = 250 * time.Millisecond
)

// freezeDetector detects that the process was frozen. If the whole VM was
// frozen, the boot clock counts that time and the monotonic clock does not. If
// only the process was stopped, the time between two checks is too long, as the
// loop checks in each tick. It is safe for concurrent use.
type freezeDetector struct {
	readClocks func() (monotonic time.Time, boot time.Duration)
	log        *zap.Logger

	mu        sync.Mutex
	monotonic time.Time
	boot      time.Duration
	resumedAt time.Time
	stalled   time.Duration // sum of the times above stallThreshold without a check
	maxGap    time.Duration // longest time between two checks; 0: no limit
}

// setMaxGap sets the time without a check after which other entries consider
// this process gone.
func (d *freezeDetector) setMaxGap(maxGap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxGap = maxGap
}

func newFreezeDetector(readClocks func() (time.Time, time.Duration), log *zap.Logger) *freezeDetector {
	d := &freezeDetector{readClocks: readClocks, log: log}
	d.monotonic, d.boot = readClocks()
	return d
}

// check reads the clocks and returns when the process last resumed after a
// freeze, or zero if there was no freeze.
func (d *freezeDetector) check() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	monotonic, boot := d.readClocks()
	elapsed := monotonic.Sub(d.monotonic)
	uncounted := boot - d.boot - elapsed
	d.monotonic, d.boot = monotonic, boot
	if elapsed > stallThreshold {
		d.stalled += elapsed
	}
	if uncounted > freezeThreshold || d.maxGap > 0 && elapsed > d.maxGap {
		d.resumedAt = monotonic
		d.log.Warn("process_stood_still", zap.Duration("unseen_ms", uncounted), zap.Duration("since_last_look_ms", elapsed))
	}
	return d.resumedAt
}

// remainingPause returns for how long from now requests that arrived before or
// during a freeze may still be read ahead of their cancellations. It is not
// positive if there is no such time.
func (d *freezeDetector) remainingPause() time.Duration {
	resumedAt := d.check()
	if resumedAt.IsZero() {
		return 0
	}
	return resumePause - d.elapsedSince(resumedAt)
}

// stalls returns what check returns, and for how long the process was not scheduled in
// all.
func (d *freezeDetector) stalls() (resumedAt time.Time, stalled time.Duration) {
	resumedAt = d.check()
	d.mu.Lock()
	defer d.mu.Unlock()
	return resumedAt, d.stalled
}

func (d *freezeDetector) elapsedSince(since time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monotonic.Sub(since)
}

// readClocks returns the monotonic clock and the boot clock. Reading the boot
// clock fails only if the kernel does not support it; freezes of the VM are not
// detected then.
func readClocks() (time.Time, time.Duration) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now(), 0
	}
	return time.Now(), time.Duration(ts.Nano())
}

// handleFreeze checks whether the process was frozen. If so, its knowledge of
// other entries is out of date: it holds no endpoints until it has listened for
// heartbeats again, and starts nothing for resumePause.
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

// updateMaxCheckGap sets the allowed time between two checks of the clocks: after it,
// other entries consider this one gone, or cancel its calls. The first grows with the
// heartbeat interval, and would be longer than callers take to come back elsewhere.
func (l *Loop) updateMaxCheckGap() {
	l.freezeDetector.setMaxGap(min(cells.SilenceTimeout(l.interval(true)), l.settings.callerSilence()))
}

// unhandledFreeze reports whether there was a freeze that is not handled yet.
func (l *Loop) unhandledFreeze() bool { return !l.freezeDetector.check().Equal(l.resumedAt) }

// sendStarts sends starts to endpoints. After a freeze that is not handled yet
// it answers them as not sent instead, because they were decided on outdated
// information.
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
