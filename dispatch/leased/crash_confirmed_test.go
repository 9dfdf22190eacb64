package leased_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Guards against a harmless task that is given up: one endpoint was down already when its
// Start was sent, and another one crashed right after the run had ended there, so that it
// seemed to have crashed under that task alone.
func TestUnconfirmedRunProvesNothing(t *testing.T) {
	for _, isStored := range []bool{true, false} {
		for _, returnsAs := range []returnAs{sameID, newID} {
			t.Run(fmt.Sprintf("stored=%t/id=%d", isStored, returnsAs), func(t *testing.T) {
				sim := newSimulation(t, 1, 1)
				sim.returnsAs = returnsAs
				sim.downTime = 2500 * time.Millisecond
				sim.addEndpoints(0, 1)
				sim.runUntil(100 * time.Millisecond)
				sim.crashEndpoint("e00") // idle, so its loss is not detected
				job := storedJob("j", 1, 400*time.Millisecond)
				if !isStored {
					job.Stored, job.CallerTimeout = false, 30*time.Second
				}
				sim.submitJob(0, job, 400*time.Millisecond)
				for sim.startCounts[leased.TaskID{Job: "j"}] == 0 {
					sim.runUntil(sim.now + time.Millisecond)
				}
				began := sim.now
				sim.runUntil(began + 390*time.Millisecond)
				for id, e := range sim.endpoints {
					if len(e.Running()) > 0 {
						sim.endpoints[id].Advance(began + 400*time.Millisecond) // its end is not listed
						sim.crashEndpoint(id)
					}
				}
				if sim.crashCount != 2 {
					t.Fatalf("%d crashes, want 2", sim.crashCount)
				}
				sim.runUntil(30 * time.Second)
				if a, answered := sim.answers["j"]; !answered || a.Verdict != leased.Completed {
					t.Errorf("answered %t: %+v, want completed; crashes %+v", answered, a, sim.crashes)
				}
				sim.wantNoDoubleRuns()
			})
		}
	}
}

// Guards against a task that crashes each endpoint before its Start is confirmed, and is
// started without end because no run of it ever was: see maxStartsOfDeadlyTask.
func TestTaskThatCrashesBeforeItIsConfirmedIsGivenUp(t *testing.T) {
	for _, isStored := range []bool{true, false} {
		for _, returnsAs := range []returnAs{sameID, newID} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("stored=%t/id=%d/seed=%d", isStored, returnsAs, seed), func(t *testing.T) {
					sim := newSimulation(t, seed, 1)
					sim.returnsAs = returnsAs
					sim.crashDelay = 0
					sim.downTime = 2500*time.Millisecond + time.Duration(sim.rng.IntN(1000))*time.Millisecond
					sim.addEndpoints(0, 12)
					sim.runUntil(100 * time.Millisecond)
					harmless := sim.submitHarmless(0, isStored, 25*time.Millisecond, 12*time.Second)
					const deadlyJobs = 4
					for i := range deadlyJobs {
						job := storedJob(leased.JobID(fmt.Sprintf("deadly%d", i)), 8, 60*time.Millisecond)
						if !isStored {
							job.Stored, job.CallerTimeout = false, 60*time.Second
						}
						sim.deadly[leased.TaskID{Job: job.ID, Index: sim.rng.IntN(8)}] = true
						sim.at(time.Second+time.Duration(sim.rng.IntN(6000))*time.Millisecond, func() { sim.submitJob(0, job, 60*time.Millisecond) })
					}
					sim.runUntil(70 * time.Second)
					for task := range sim.deadly {
						if n := sim.startCounts[task]; n > maxStartsOfDeadlyTask {
							t.Errorf("deadly task %v was started %d times, want at most %d", task, n, maxStartsOfDeadlyTask)
						}
						if a, answered := sim.answers[task.Job]; !answered || a.Verdict != leased.Failed {
							t.Errorf("job of deadly task %v: answered %t, %+v, want failed", task, answered, a)
						}
					}
					unconfirmed := func(crash leased.Crash) bool { return sim.deadly[crash.Task] && crash.Unconfirmed }
					if !slices.ContainsFunc(sim.crashes, unconfirmed) {
						t.Error("every run of a deadly task was confirmed, so nothing was tested")
					}
					if got := sim.countVerdicts()[leased.Completed]; got != harmless {
						t.Errorf("%d of %d harmless jobs completed: %v", got, harmless, sim.countVerdicts())
					}
					sim.wantNoDoubleRuns()
				})
			}
		}
	}
}

// Guards against the same where an owner counts the crashes, and holders and the owner are
// replaced meanwhile.
func TestOwnerGivesUpTaskThatCrashesBeforeItIsConfirmed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			sim.returnsAs = returnAs(seed % 2)
			sim.crashDelay = 0
			sim.downTime = 2500*time.Millisecond + time.Duration(sim.rng.IntN(1000))*time.Millisecond
			for core := range sim.cores {
				sim.addEndpoints(core, 8)
			}
			o := sim.addOwner()
			sim.shareFreeCapacity()
			sim.runUntil(100 * time.Millisecond)
			const deadlyJobs = 3
			for i := range deadlyJobs {
				job := storedJob(leased.JobID(fmt.Sprintf("deadly%d", i)), 2, 60*time.Millisecond)
				sim.deadly[leased.TaskID{Job: job.ID, Index: sim.rng.IntN(2)}] = true
				sim.acceptAt(time.Duration(sim.rng.IntN(5000))*time.Millisecond, job, 60*time.Millisecond)
			}
			sim.at(time.Duration(2000+sim.rng.IntN(8000))*time.Millisecond, func() { sim.crash(2, sim.rng.IntN(2), 800*time.Millisecond); o.coreCrashed(2) })
			sim.at(time.Duration(2000+sim.rng.IntN(8000))*time.Millisecond, o.replace)
			sim.runUntil(70 * time.Second)
			for task := range sim.deadly {
				if n := sim.startCounts[task]; n > maxStartsOfDeadlyTask {
					t.Errorf("deadly task %v was started %d times, want at most %d", task, n, maxStartsOfDeadlyTask)
				}
				if s := o.shard.State(task.Job); s != stored.Failed {
					t.Errorf("job of deadly task %v is %v, want failed", task, s)
				}
			}
			sim.wantNoDoubleRuns()
		})
	}
}
