package stored

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// crashSim simulates a shard whose owners crash at random, on a log that loses
// replies, with endpoints that list results until these are acknowledged.
type crashSim struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Time
	shard        *Shard
	log          [][]Event
	lastTicket   Ticket
	callbacks    map[Ticket]func(Result)
	inFlight     *Append
	stored       map[leased.JobID]bool   // jobs whose callers were told that they are accepted
	refused      map[leased.JobID]bool   // jobs whose callers were told that they are refused
	cancelled    map[leased.JobID]bool   // jobs whose callers were told that they are cancelled
	listed       map[leased.TaskID]int   // run numbers of the results that endpoints list
	acknowledged map[leased.TaskID]bool  // successful results that endpoints have forgotten
	offers       map[leased.JobID]*Offer // active offers
	lastRun      map[leased.TaskID]int
	failed       map[leased.TaskID]bool // whether the last run has failed
	knownDone    map[leased.TaskID]bool // tasks that the holder of an offer knows to be done
	jobs         map[leased.JobID]leased.Job
}

func newCrashSim(t *testing.T, seed uint64) *crashSim {
	w := &crashSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: start, shard: New(testOptions()), callbacks: make(map[Ticket]func(Result)),
		stored: make(map[leased.JobID]bool), refused: make(map[leased.JobID]bool), cancelled: make(map[leased.JobID]bool),
		listed: make(map[leased.TaskID]int), acknowledged: make(map[leased.TaskID]bool), offers: make(map[leased.JobID]*Offer),
		lastRun: make(map[leased.TaskID]int), failed: make(map[leased.TaskID]bool), knownDone: make(map[leased.TaskID]bool), jobs: make(map[leased.JobID]leased.Job),
	}
	return w
}

func (w *crashSim) request(in func(Ticket) Input, answer func(Result)) {
	w.lastTicket++
	w.callbacks[w.lastTicket] = answer
	w.step(in(w.lastTicket))
}

func (w *crashSim) step(in Input) { w.perform(w.shard.Step(w.now, in)) }

func (w *crashSim) perform(out *Actions) {
	for i := range out.Appends {
		if w.inFlight != nil {
			w.t.Fatal("two batches are in flight")
		}
		a := out.Appends[i]
		a.Events = slices.Clone(a.Events)
		w.inFlight = &a
	}
	for i := range out.Offers {
		o := out.Offers[i]
		w.offers[o.Job.ID] = &o
		for index := range o.Job.Steps[0].Tasks {
			delete(w.knownDone, taskOf(o.Job.ID, index))
		}
	}
	for _, l := range out.DoneTasks {
		w.knownDone[l.Task] = true
	}
	for _, id := range out.Withdrawals {
		delete(w.offers, id)
	}
	replies := slices.Clone(out.Replies)
	for _, r := range replies {
		answer := w.callbacks[r.Ticket]
		delete(w.callbacks, r.Ticket)
		answer(r.Result)
	}
}

// randomEvent simulates one random event.
func (w *crashSim) randomEvent(job int) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(50)) * time.Millisecond)
	switch w.rng.IntN(10) {
	case 0, 1:
		w.submit(leased.JobID(fmt.Sprintf("j%d", w.rng.IntN(job+1))))
	case 2, 3, 4:
		w.finishAppend()
	case 5, 6:
		w.runTask()
	case 7:
		w.reportResults()
	case 8:
		w.step(&Tick{})
	case 9:
		w.rareEvent()
	}
}

func (w *crashSim) rareEvent() {
	switch w.rng.IntN(4) {
	case 0:
		w.crash()
	case 1:
		for id := range w.stored {
			w.request(func(t Ticket) Input { return &Cancel{Ticket: t, Job: id} }, func(r Result) {
				if r == Stored && w.shard.State(id) == Cancelled {
					w.cancelled[id] = true
				}
			})
			return
		}
	case 2:
		for id, o := range w.offers {
			w.step(&Outcome{Job: id, Attempt: o.Attempt, Lost: true, Begun: true})
			return
		}
	case 3:
		w.now = w.now.Add(20 * time.Second) // records age
	}
}

func (w *crashSim) submit(id leased.JobID) {
	if w.refused[id] || w.cancelled[id] || w.jobs[id].ID != "" && w.now.Sub(start) > testOptions().Retain {
		return // callers do not resubmit such a job
	}
	job, ok := w.jobs[id]
	if !ok {
		job = testJob(id, 1+w.rng.IntN(3))
		w.jobs[id] = job
	}
	w.request(func(t Ticket) Input { return &Accept{Ticket: t, Job: job} }, func(r Result) {
		switch r {
		case Stored:
			w.stored[id] = true
		case Refused:
			w.refused[id] = true
		}
	})
}

// finishAppend ends the append in flight: it is stored, refused, or stored and
// followed by a crash of the owner.
func (w *crashSim) finishAppend() {
	if w.inFlight == nil {
		return
	}
	a := w.inFlight
	w.inFlight = nil
	switch w.rng.IntN(8) {
	case 0:
		w.step(&AppendRefused{Sequence: a.Sequence})
	case 1:
		w.log = append(w.log, a.Events)
		w.crash()
	default:
		w.log = append(w.log, a.Events)
		w.step(&Appended{Sequence: a.Sequence, Offset: int64(len(w.log) - 1)})
	}
}

// runTask simulates a complete run of a task of an offered job.
func (w *crashSim) runTask() {
	for id, o := range w.offers {
		for index := range o.Job.Steps[0].Tasks {
			task := taskOf(id, index)
			if isDone(o, index) || w.knownDone[task] || w.listed[task] > 0 {
				continue
			}
			if w.acknowledged[task] {
				w.t.Fatalf("task %v is to run again, though its result was stored", task)
			}
			w.lastRun[task]++
			w.listed[task] = w.lastRun[task]
			w.failed[task] = w.rng.IntN(10) == 0
			w.knownDone[task] = !w.failed[task]
			return
		}
	}
}

func isDone(o *Offer, index int) bool {
	return slices.ContainsFunc(o.Job.Progress, func(p leased.TaskProgress) bool { return p.Index == index && p.Done })
}

// reportResults reports the results that endpoints list. An endpoint forgets a
// result once the report is acknowledged.
func (w *crashSim) reportResults() {
	for task, run := range w.listed {
		isFailed := w.failed[task]
		report := TaskReport{Task: task, Run: run, Done: !isFailed}
		w.request(func(t Ticket) Input { return &Report{Ticket: t, Tasks: []TaskReport{report}} }, func(r Result) {
			if r != Stored || w.listed[task] != run {
				return
			}
			delete(w.listed, task)
			w.acknowledged[task] = !isFailed
		})
	}
}

// crash replaces the owner by a new one, which replays the log.
func (w *crashSim) crash() {
	w.inFlight = nil
	w.callbacks = make(map[Ticket]func(Result))
	w.offers = make(map[leased.JobID]*Offer)
	w.shard = New(testOptions())
	for offset, events := range w.log {
		w.shard.Replay(w.now, int64(offset), events)
	}
	w.perform(w.shard.FinishReplay(w.now))
	w.check()
}

func (w *crashSim) check() {
	w.t.Helper()
	for id := range w.stored {
		if w.shard.State(id) == Unknown && w.now.Sub(start) < testOptions().Retain {
			w.t.Fatalf("job %s was accepted and is not known", id)
		}
	}
	for id := range w.refused {
		if w.shard.State(id) != Unknown {
			w.t.Fatalf("job %s was refused and is %v", id, w.shard.State(id))
		}
	}
	for id := range w.cancelled {
		if s := w.shard.State(id); s != Cancelled && s != Unknown {
			w.t.Fatalf("job %s was cancelled and is %v", id, s)
		}
	}
	for id, job := range w.jobs {
		if w.shard.State(id) == Completed {
			w.checkCompleted(id, &job)
		}
	}
}

func (w *crashSim) checkCompleted(id leased.JobID, job *leased.Job) {
	for index := range job.Steps[0].Tasks {
		task := taskOf(id, index)
		if !w.acknowledged[task] && (w.listed[task] == 0 || w.failed[task]) {
			w.t.Fatalf("job %s is completed, but task %d is not done", id, index)
		}
	}
}

// TestRandomOwnerCrashes simulates random crashes, lost and refused appends.
// Accepted jobs must stay known, refused jobs must never appear, and no task may
// be offered again after its endpoint was allowed to forget the result.
func TestRandomOwnerCrashes(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newCrashSim(t, seed)
			for i := range 600 {
				w.randomEvent(i / 20)
				w.check()
			}
			if len(w.stored) < 5 {
				t.Errorf("only %d jobs were stored", len(w.stored))
			}
		})
	}
}
