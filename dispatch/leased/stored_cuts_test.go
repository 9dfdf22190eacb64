package leased_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/dispatch/stored"
)

var (
	cutSeeds = flag.Int("cut-seeds", 40, "number of seeds of TestStoredJobsUnderCuts")
	cutFirst = flag.Int("cut-first", 0, "first seed of TestStoredJobsUnderCuts")
)

// Times of cuts between the entries of a storedWorld.
const (
	cutNoticed  = 700 * time.Millisecond // until entries count others as lost, and cancel their calls
	cutTakeover = 3 * time.Second        // until the minority takes the shard over
	cutLoad     = 20 * time.Second       // in which jobs arrive and disturbances begin
)

// disturbBesideCuts brings about one disturbance. Most are cuts between the entries.
func (w *storedWorld) disturbBesideCuts() {
	id := w.endpointIDs[w.rng.IntN(len(w.endpointIDs))]
	switch w.rng.IntN(6) {
	case 0, 1, 2:
		w.cut(w.rng.IntN(len(w.cores)), time.Duration(800+w.rng.IntN(9000))*time.Millisecond)
	case 3:
		if w.owner.shard != nil {
			w.owner.lose(time.Duration(400+w.rng.IntN(1100)) * time.Millisecond)
		}
	case 4:
		w.crashAndChange(id, time.Duration(80+w.rng.IntN(2400))*time.Millisecond)
	case 5:
		if !w.unreachable[id] {
			w.unreachable[id] = true
			w.after(time.Duration(200+w.rng.IntN(2300))*time.Millisecond, func() { w.unreachable[id] = false })
		}
	}
}

// cut cuts a core off from the others. All reach the endpoints of their own cells and the
// log, so the entry that is cut off may take the shard over.
func (w *storedWorld) cut(core int, length time.Duration) {
	if slices.Contains(slices.Collect(maps.Values(w.isolated)), true) {
		return
	}
	w.trace(leased.JobID(*storedTrace), "core %d is cut off for %v", core, length)
	w.isolated[core] = true
	noticed, minorityTakesOver, movesBack := w.rng.IntN(2) == 0, w.rng.IntN(2) == 0, w.rng.IntN(2) == 0
	w.after(cutNoticed, func() {
		w.endCallsAcrossCut()
		setReachability(w.simulation, noticed)
		if w.owner.at == core && w.owner.shard != nil {
			w.owner.moveTo((core + 1) % len(w.cores))
		}
	})
	if length > cutTakeover && minorityTakesOver {
		w.after(cutTakeover, func() {
			if w.owner.shard != nil {
				w.owner.moveTo(core)
			}
		})
	}
	w.after(max(length, cutNoticed+time.Millisecond), func() {
		w.isolated[core] = false
		setReachability(w.simulation, false)
		if movesBack && w.owner.shard != nil {
			w.owner.moveTo((core + 1) % len(w.cores))
		}
	})
}

// endCallsAcrossCut cancels the delegations and offers between entries that do not reach
// each other.
func (w *storedWorld) endCallsAcrossCut() {
	for _, task := range w.delegatedTasks() {
		d := w.delegations[task]
		if w.isolated[d.from] == w.isolated[d.to] {
			continue
		}
		w.endDelegation(d.from, task, leased.EndUnknown, false)
		w.step(d.to, &leased.Cancel{Ticket: d.ticket})
	}
	o := w.owner
	for _, id := range slices.Sorted(maps.Keys(o.offers)) {
		a := o.offers[id]
		if o.shard == nil || o.reaches(a.core) {
			continue
		}
		o.withdraw(id)
		o.step(&stored.Outcome{Job: id, Attempt: a.attempt, Lost: true, Begun: true})
	}
}

// addBackground lets callers of each core hand in best-effort jobs, whose tasks keep the
// leases of the endpoints alive. Nothing is checked of them.
func (w *storedWorld) addBackground() {
	for _, id := range w.endpointIDs {
		e := w.endpoints[id]
		work, ended, acknowledged := e.Work, e.OnEnded, e.OnAcknowledged
		e.Work = func(task leased.TaskID) leasedtest.Work {
			if _, checked := w.jobs[task.Job]; !checked {
				return w.work[task.Job]
			}
			return work(task)
		}
		e.OnEnded = func(end leased.EndedRun) {
			if _, checked := w.jobs[end.Task.Job]; checked {
				ended(end)
			}
		}
		e.OnAcknowledged = func(end leased.EndedRun, lapsed bool) {
			if _, checked := w.jobs[end.Task.Job]; checked {
				acknowledged(end, lapsed)
			}
		}
	}
	for core := range w.cores {
		for at := w.now; at < cutLoad; at += 300 * time.Millisecond {
			id := leased.JobID(fmt.Sprintf("background%d-%v", core, at))
			w.at(at, func() { w.submitJob(core, sizedJob(id, 1000), 1500*time.Millisecond) })
		}
	}
}

// Guards against a task of a stored job that is started again after an end which is
// acknowledged, or after as many failures as it may have, when holders, owners and delegates
// are cut off from each other and reports of ends arrive late.
func TestStoredJobsUnderCuts(t *testing.T) {
	for seed := uint64(*cutFirst); seed < uint64(*cutFirst+*cutSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newStoredWorld(t, seed)
			w.addBackground()
			for at := w.now; at < cutLoad; at += 70 * time.Millisecond {
				w.addJob(at)
			}
			for range 8 {
				w.at(time.Second+time.Duration(w.rng.Int64N(int64(cutLoad))), w.disturbBesideCuts)
			}
			w.runUntil(cutLoad + 15*time.Second + worldRest)
			w.check()
			const shown = 5
			for _, f := range w.faults[:min(shown, len(w.faults))] {
				t.Error(f)
			}
		})
	}
}
