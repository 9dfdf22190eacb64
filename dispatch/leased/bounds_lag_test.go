package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/boundstest"
)

// lateRead is an entry that reads late that its caller's connection broke. All Stops of the
// run are lost.
type lateRead struct {
	lag      time.Duration
	atHolder bool // the entry holds the endpoint; otherwise core 0 does, for the entry
	silent   bool // nothing that the entry sends after it has read the break arrives
}

// play lets the caller submit its job to core 1 after CallerRetry. A run of another job
// keeps the lease of the endpoint going.
func (l lateRead) play(t *testing.T, offset time.Duration) *simulation {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.runUntil(200*time.Millisecond + offset)
	sim.stopsLost = true
	sim.submitJob(0, sizedJob("other", 1000), longRun)
	brokenAt := 700 * time.Millisecond
	readAt := brokenAt + l.lag
	caller := uint64(remoteCaller)
	if l.atHolder {
		caller = 0
	} else {
		sim.hear(0, caller, readAt)
	}
	ticket := sim.submitFrom(0, caller, singleTaskJob("j"))
	cancelledAt := readAt + networkDelay
	if l.silent {
		cancelledAt += leased.CallerSilence(boundstest.CallerRetry, maxLease)
	}
	sim.at(cancelledAt, func() { sim.step(0, &leased.Cancel{Ticket: ticket}) })
	sim.at(brokenAt+boundstest.CallerRetry, func() { sim.submitJob(1, singleTaskJob("j"), longRun) })
	sim.runUntil(brokenAt + 4*time.Second)
	return sim
}

// Guards against runs that outlast the margins of docs/design/run-bounds.md: an entry reads
// by no more than the margin of its row too late that its caller's connection broke.
func TestBreakThatIsReadWithinItsMargin(t *testing.T) {
	const lease = boundstest.MaxLease + boundstest.SlowClock
	for name, l := range map[string]lateRead{
		"E4 nothing arrives at the holder": {lag: boundstest.CallerRetry - boundstest.ClaimTime - boundstest.SlowClock - boundstest.Latency - boundstest.Drift, silent: true},
		"E5 the cancellation arrives":      {lag: boundstest.CallerRetry - boundstest.Latency - lease},
		"E6 the entry is the holder":       {lag: boundstest.CallerRetry - lease, atHolder: true},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 20 * time.Millisecond {
				for _, lag := range []time.Duration{0, l.lag / 2, l.lag} {
					lateRead{lag, l.atHolder, l.silent}.play(t, offset).wantNoDoubleRuns()
				}
			}
		})
	}
}
