// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakeexecutor"
	"lovagespread.example/standin/fakestore"
)

func init() { scenarios["mix"] = scenario{size{zones: 3, entries: 2, workers: 4, cores: 64}, mix} }

type fault struct {
	name string
	play func(p *platform, rng *rand.Rand, d time.Duration)
}

func storeFault(f fakestore.Faults) func(*platform, *rand.Rand, time.Duration) {
	return func(p *platform, _ *rand.Rand, d time.Duration) {
		p.Store.SetFaults(f)
		time.Sleep(d)
		p.Store.SetFaults(fakestore.Faults{})
	}
}

func anyWorker(p *platform, rng *rand.Rand) *worker { return p.workers[rng.IntN(len(p.workers))] }

// workerState sets a fault in the state of an executor for some time.
func workerState(set func(e *leasedtest.Endpoint, on bool)) func(*platform, *rand.Rand, time.Duration) {
	return func(p *platform, rng *rand.Rand, d time.Duration) {
		w := anyWorker(p, rng)
		w.WithState(func(e *leasedtest.Endpoint) { set(e, true) })
		time.Sleep(d)
		w.WithState(func(e *leasedtest.Endpoint) { set(e, false) })
	}
}

func workerFault(f fakeexecutor.Faults) func(*platform, *rand.Rand, time.Duration) {
	return func(p *platform, rng *rand.Rand, d time.Duration) {
		w := anyWorker(p, rng)
		w.SetFaults(f)
		time.Sleep(d)
		w.SetFaults(fakeexecutor.Faults{})
	}
}

var entryBusy [64]sync.Mutex

// onEntry plays a fault of an entry, unless that has one.
func onEntry(f func(p *platform, i int, d time.Duration)) func(*platform, *rand.Rand, time.Duration) {
	return func(p *platform, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(len(p.Entries))
		if !entryBusy[i].TryLock() {
			return
		}
		defer entryBusy[i].Unlock()
		f(p, i, d)
	}
}

// cut cuts entries off from each other for some time.
func (p *platform) cut(d time.Duration, apart func(i, k int) bool) {
	set := func(on bool) {
		for i := range p.Entries {
			for k := range p.Entries {
				if i != k && apart(i, k) {
					p.Peers.Direction(i, k).SetSilent(on)
				}
			}
		}
	}
	set(true)
	time.Sleep(d)
	set(false)
}

var faults = []fault{
	{"kill", onEntry(func(p *platform, i int, d time.Duration) { p.kill(i, d) })},
	{"term", onEntry(func(p *platform, i int, _ time.Duration) { p.terminate(i) })},
	{"freeze", onEntry(func(p *platform, i int, d time.Duration) { p.freeze(i, d) })},
	{"hup", onEntry(func(p *platform, i int, _ time.Duration) {
		cmd, _ := p.process(i)
		_ = cmd.Process.Signal(syscall.SIGHUP)
	})},
	{"store-down", storeFault(fakestore.Faults{Down: true})},
	{"store-busy", storeFault(fakestore.Faults{Busy: true})},
	{"store-silent", storeFault(fakestore.Faults{Hang: true})},
	{"store-slow", storeFault(fakestore.Faults{Delay: 240 * time.Millisecond})},
	{"store-lost", storeFault(fakestore.Faults{LoseReplies: true})},
	{"store-late", func(p *platform, _ *rand.Rand, d time.Duration) {
		p.lateStore.share.Store(35)
		time.Sleep(d)
		p.lateStore.share.Store(0)
	}},
	{"store-conns", func(p *platform, _ *rand.Rand, _ time.Duration) { p.StoreListener.SilenceOpen() }},
	{"store-reset", func(p *platform, _ *rand.Rand, _ time.Duration) { p.StoreListener.BreakOpen() }},
	{"store-compact", func(p *platform, _ *rand.Rand, _ time.Duration) { p.Store.Expire(fakeexecutor.Topic) }},
	{"config", func(p *platform, _ *rand.Rand, _ time.Duration) { p.PublishConfiguration() }},
	{"worker-silent", workerFault(fakeexecutor.Faults{Hang: true})},
	{"worker-mute", workerFault(fakeexecutor.Faults{LoseReplies: true})},
	{"worker-crash", func(p *platform, rng *rand.Rand, d time.Duration) { anyWorker(p, rng).Crash(d) }},
	{"worker-dark", func(p *platform, rng *rand.Rand, d time.Duration) {
		list := []*worker{anyWorker(p, rng)}
		p.goDark(list)
		time.Sleep(d)
		p.comeBack(list)
	}},
	{"worker-fails", workerState(func(e *leasedtest.Endpoint, on bool) { e.Fails = on })},
	{"worker-busy", workerState(func(e *leasedtest.Endpoint, on bool) { e.Unhealthy = on })},
	{"worker-hang", workerState(func(e *leasedtest.Endpoint, on bool) { e.Hangs = on })},
	{"worker-reset", func(p *platform, rng *rand.Rand, _ time.Duration) { anyWorker(p, rng).listener.BreakOpen() }},
	{"worker-conns", func(p *platform, rng *rand.Rand, _ time.Duration) { anyWorker(p, rng).listener.SilenceOpen() }},
	{"worker-late", func(p *platform, _ *rand.Rand, d time.Duration) {
		for _, w := range p.workers {
			w.late.Store(7)
		}
		time.Sleep(d)
		for _, w := range p.workers {
			w.late.Store(0)
		}
	}},
	{"worker-drain", func(p *platform, rng *rand.Rand, d time.Duration) {
		w := anyWorker(p, rng)
		w.drains.Store(true)
		_ = w.Announce(p.Store, w.state())
		time.Sleep(d)
		w.drains.Store(false)
	}},
	{"scale", func(p *platform, rng *rand.Rand, d time.Duration) {
		// Executors leave the list and come back: the number of cells changes.
		var gone []*worker
		for _, w := range p.all() {
			if rng.IntN(12) == 0 {
				gone = append(gone, w)
			}
		}
		for _, w := range gone {
			w.drains.Store(true)
			_ = w.Announce(p.Store, w.state())
		}
		time.Sleep(2 * time.Second)
		for _, w := range gone {
			w.away.Store(true)
			p.Store.Put(fakeexecutor.Topic, w.id, nil)
		}
		time.Sleep(d)
		for _, w := range gone {
			w.drains.Store(false)
			w.away.Store(false)
			_ = w.Announce(p.Store, w.state())
		}
	}},
	{"peers-cut", func(p *platform, rng *rand.Rand, d time.Duration) {
		one := rng.IntN(len(p.Entries))
		p.cut(d, func(i, k int) bool { return i == one || k == one })
	}},
	{"peers-reset", func(p *platform, rng *rand.Rand, _ time.Duration) {
		i := rng.IntN(len(p.Entries))
		for k := range p.Entries {
			if k != i {
				p.Peers.Reset(i, k)
			}
		}
	}},
	{"zone-cut", func(p *platform, rng *rand.Rand, d time.Duration) {
		z := rng.IntN(p.size.zones)
		p.cut(d, func(i, k int) bool { return (i/p.size.entries == z) != (k/p.size.entries == z) })
	}},
}

func randomSteps(rng *rand.Rand, bestEffort bool) []step {
	n := 1
	if rng.IntN(2) == 0 {
		n = 2 + rng.IntN(3)
	}
	var steps []step
	for s := range n {
		st := step{count: 1 + rng.IntN(4), cpu: []int{4000, 13000, 27000}[rng.IntN(3)], time: time.Duration(40+rng.IntN(500)) * time.Millisecond}
		if s > 0 {
			st.after = []int{rng.IntN(s)}
		}
		if rng.IntN(4) == 0 {
			st.anti = 1
		}
		if rng.IntN(5) == 0 {
			st.label = []string{"a", "b"}[rng.IntN(2)]
		}
		if !bestEffort && rng.IntN(5) == 0 {
			st.failShare = 0.3
		}
		st.noEstimate = rng.IntN(12) == 0
		steps = append(steps, st)
	}
	return steps
}

// mix plays random jobs under random faults.
func mix(p *platform) error {
	rng := rand.New(rand.NewPCG(*seed, 3))
	end := time.Now().Add(time.Duration(*seconds * float64(time.Second)))
	var clients, troubles sync.WaitGroup
	var mu sync.Mutex
	var accepted []*job
	clients.Go(func() {
		rng := rand.New(rand.NewPCG(*seed, 5))
		for n := 0; time.Now().Before(end); n++ {
			j := &job{id: leased.JobID(fmt.Sprintf("%08x%08x", uint32(*seed), n)), bestEffort: rng.IntN(3) > 0}
			j.steps = randomSteps(rng, j.bestEffort)
			entry := rng.IntN(len(p.Entries))
			cancelAfter := time.Duration(-1)
			if rng.IntN(7) == 0 {
				cancelAfter = time.Duration(rng.IntN(1500)) * time.Millisecond
			}
			repeats := rng.IntN(10) == 0
			clients.Go(func() {
				timeout := patience
				if j.bestEffort {
					timeout = 5 * time.Second
				}
				if !p.submit(j, entry, timeout) || j.bestEffort {
					return
				}
				mu.Lock()
				accepted = append(accepted, j)
				mu.Unlock()
				if repeats {
					time.Sleep(time.Second)
					p.call(http.MethodPost, p.anyEntry(), j.id, body(j), timeout)
				}
				if cancelAfter >= 0 {
					time.Sleep(cancelAfter)
					p.cancelJob(j, p.anyEntry())
					return
				}
				for range 10 {
					time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
					if r := p.query(j, p.anyEntry()); r.state == "completed" || r.state == "failed" {
						return
					}
				}
			})
			time.Sleep(*every)
		}
	})
	for *trouble && time.Now().Before(end) {
		f := faults[rng.IntN(len(faults))]
		if *faultNames != "all" && !strings.Contains(","+*faultNames+",", ","+f.name+",") {
			continue
		}
		d := 200*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
		r := rand.New(rand.NewPCG(*seed, rng.Uint64()))
		p.book.note("fault %s for %v", f.name, d)
		troubles.Go(func() { f.play(p, r, d); p.book.note("fault %s over", f.name) })
		time.Sleep(300*time.Millisecond + time.Duration(rng.Int64N(int64(600*time.Millisecond))))
	}
	troubles.Wait()
	clients.Wait()
	p.book.note("calm")
	deadline := time.Now().Add(25 * time.Second)
	for _, j := range accepted {
		for j.cancelSent.IsZero() {
			r := p.query(j, p.anyEntry())
			if r.state == "completed" {
				break
			}
			if r.state == "failed" || r.state == "cancelled" {
				p.judgeFailed(j, r.state)
				break
			}
			if time.Now().After(deadline) {
				p.book.violation("LOST: %s is %d %q at the end", j.id, r.status, r.state)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // ends are taken note of
	return nil
}
