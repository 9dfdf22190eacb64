package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/standin/faultnet"
	"lovagespread.example/standin/peerproxy"
)

// Times of the faults between entries.
const (
	minSilence       = 300 * time.Millisecond
	maxSilence       = 3 * time.Second
	minPeerDelay     = 20 * time.Millisecond
	maxPeerDelay     = 800 * time.Millisecond
	minPeerPause     = 300 * time.Millisecond // lowest maximum pause between faults of a series
	maxPeerPause     = 2 * time.Second        // highest one
	maxResetGap      = 40 * time.Millisecond  // between the resets with one entry and the next
	maxSeriesPause   = time.Second            // between series
	maxRestarts      = 3                      // of a series
	maxKillTime      = time.Second            // until a killed entry starts again
	restartReadyTime = 5 * time.Second        // within which the next entry is restarted anyway
)

// disturbsPeers reports whether a soak test of this seed has faults between entries.
// The seed of the short soak has none.
func disturbsPeers(seed uint64) bool { return seed%3 != 2 }

// peerFault is a kind of fault between an entry and others. It has one of two
// functions.
type peerFault struct {
	name string
	// once acts on the connections with another entry. own is the entry's own side,
	// as opposed to the other one.
	once func(peers *peerproxy.Network, entry, other int, own bool)
	// set acts on the traffic in one direction until it is called without on.
	set func(direction *faultnet.Direction, delay time.Duration, on bool)
}

// peerFaults are all kinds of faults between entries.
var peerFaults = []peerFault{
	{name: "peer connections reset", once: func(peers *peerproxy.Network, entry, other int, _ bool) { peers.Reset(entry, other) }},
	{name: "peer connections reset at one side", once: func(peers *peerproxy.Network, entry, other int, own bool) {
		if own {
			peers.Reset(entry, other, entry)
		} else {
			peers.Reset(entry, other, other)
		}
	}},
	{name: "peers silent", set: func(d *faultnet.Direction, _ time.Duration, on bool) { d.SetSilent(on) }},
	{name: "peers slow", set: func(d *faultnet.Direction, delay time.Duration, on bool) {
		if !on {
			delay = 0
		}
		d.SetDelay(delay)
	}},
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// direction returns the traffic from an entry to another one, or back.
func (s *soak) direction(entry, other int, outgoing bool) *faultnet.Direction {
	if outgoing {
		return s.deployment.Peers.Direction(entry, other)
	}
	return s.deployment.Peers.Direction(other, entry)
}

// disturbPeers injects series of faults between entries until the given time. Entries
// are restarted during each series. Half of the faults of a series affect the same
// entry: a task can run twice when a holder loses a delegate and soon after the entry
// whose caller waits (docs/incidents/0007.md).
func (s *soak) disturbPeers(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 43))
	var faults sync.WaitGroup
	defer faults.Wait()
	for time.Now().Before(until) && ctx.Err() == nil {
		restarted := s.restartSome(ctx, rng)
		maxPause := between(rng, minPeerPause, maxPeerPause)
		focus := rng.IntN(len(s.deployment.Entries))
		for running := true; running; {
			select {
			case <-restarted:
				running = false
			case <-time.After(between(rng, 0, maxPause)):
				s.disturb(rng, focus, &faults)
			}
		}
		time.Sleep(between(rng, 0, maxSeriesPause))
	}
}

// disturb starts a random fault between an entry and another one, or all others. Every
// second fault affects the entry focus.
func (s *soak) disturb(rng *rand.Rand, focus int, faults *sync.WaitGroup) {
	order := rng.Perm(len(s.deployment.Entries))
	if i := slices.Index(order, focus); rng.IntN(2) == 0 {
		order[0], order[i] = order[i], order[0]
	}
	entry, others := order[0], order[1:]
	if rng.IntN(2) == 0 {
		others = others[:1]
	}
	fault, own := peerFaults[rng.IntN(len(peerFaults))], rng.IntN(2) == 0
	duration, delay, gap := between(rng, minSilence, maxSilence), between(rng, minPeerDelay, maxPeerDelay), between(rng, 0, maxResetGap)
	name := func(entry int, _ int) string { return s.deployment.Entries[entry].Name }
	s.recordFault(fault.name, "entry", name(entry, 0), "others", lo.Map(others, name), "own_or_outgoing", own, "duration", duration.String(), "delay", delay.String(), "gap", gap.String())
	if fault.once != nil {
		faults.Go(func() {
			for _, other := range others {
				fault.once(s.deployment.Peers, entry, other, own)
				time.Sleep(gap)
			}
		})
		return
	}
	set := func(on bool) {
		for _, other := range others {
			fault.set(s.direction(entry, other, own), delay, on)
		}
	}
	set(true)
	faults.Go(func() {
		time.Sleep(duration)
		set(false)
	})
}

// restartSome restarts some entries one after the other, or kills them. The channel
// is closed when the last one has been started.
func (s *soak) restartSome(ctx context.Context, rng *rand.Rand) <-chan struct{} {
	entries := rng.Perm(len(s.deployment.Entries))
	entries = entries[:1+rng.IntN(min(maxRestarts, len(entries)))]
	planned := rng.IntN(3) > 0
	down := between(rng, 0, maxKillTime)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, entry := range entries {
			if planned {
				s.recordFault("rolling restart", "entry", s.deployment.Entries[entry].Name)
				s.stop(entry)
			} else {
				s.recordFault("entry killed in a series", "entry", s.deployment.Entries[entry].Name)
				s.kill(entry, down)
			}
			for deadline := time.Now().Add(restartReadyTime); time.Now().Before(deadline) && !s.ready(ctx, s.deployment.Entries[entry].Ready); {
				time.Sleep(checkInterval)
			}
		}
	}()
	return done
}
