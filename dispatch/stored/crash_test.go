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
// replies, with endpoints that list ends of runs until these are acknowledged.
type crashSim struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	shard      *Shard
	log        [][]Event
	lastTicket Ticket
	callbacks  map[Ticket]func(Result)
	inFlight   *Append
	stored     map[leased.JobID]bool // jobs whose callers were told that they are accepted
	refused    map[leased.JobID]bool // jobs whose callers were told that they are refused
	cancelled  map[leased.JobID]bool // jobs whose callers were told that they are cancelled
	// denied holds when the callers of jobs were told, on cancelling them, that there is no such job.
	denied       map[leased.JobID]time.Time
	listed       map[leased.TaskID]int   // run numbers of the ends that endpoints list
	acknowledged map[leased.TaskID]bool  // whether the end that its endpoint has forgotten was a success
	offers       map[leased.JobID]*Offer // active offers
	lastRun      map[leased.TaskID]int
	failed       map[leased.TaskID]bool // whether the last run has failed
	knownDone    map[leased.TaskID]bool // tasks that the holder of an offer knows to be done
	jobs         map[leased.JobID]leased.Job
	failures     map[leased.TaskID]int // runs that have failed
	endpointLosses
}

func newCrashSim(t *testing.T, seed uint64) *crashSim {
	sim := &crashSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: start, shard: New(testOptions()), callbacks: make(map[Ticket]func(Result)),
		stored: make(map[leased.JobID]bool), refused: make(map[leased.JobID]bool), cancelled: make(map[leased.JobID]bool),
		denied: make(map[leased.JobID]time.Time), listed: make(map[leased.TaskID]int), acknowledged: make(map[leased.TaskID]bool), offers: make(map[leased.JobID]*Offer),
		lastRun: make(map[leased.TaskID]int), failed: make(map[leased.TaskID]bool), knownDone: make(map[leased.TaskID]bool), jobs: make(map[leased.JobID]leased.Job),
		failures: make(map[leased.TaskID]int), endpointLosses: newEndpointLosses(),
	}
	return sim
}

func (sim *crashSim) request(in func(Ticket) Input, answer func(Result)) {
	sim.lastTicket++
	sim.callbacks[sim.lastTicket] = answer
	sim.step(in(sim.lastTicket))
}

func (sim *crashSim) step(in Input) { sim.perform(sim.shard.Step(sim.now, in)) }

func (sim *crashSim) perform(out *Actions) {
	for i := range out.Appends {
		if sim.inFlight != nil {
			sim.t.Fatal("two batches are in flight")
		}
		a := out.Appends[i]
		a.Events = slices.Clone(a.Events)
		sim.inFlight = &a
	}
	for i := range out.Offers {
		o := out.Offers[i]
		sim.offers[o.Job.ID] = &o
		for index := range o.Job.Steps[0].Tasks {
			delete(sim.knownDone, taskOf(o.Job.ID, index))
		}
	}
	for _, u := range out.Updates {
		sim.knownDone[u.Task] = sim.knownDone[u.Task] || u.Progress.Done
	}
	for _, id := range out.Withdrawals {
		delete(sim.offers, id)
	}
	replies := slices.Clone(out.Replies)
	for _, r := range replies {
		answer := sim.callbacks[r.Ticket]
		delete(sim.callbacks, r.Ticket)
		answer(r.Result)
	}
}

// randomEvent simulates one random event.
func (sim *crashSim) randomEvent(job int) {
	sim.now = sim.now.Add(time.Duration(sim.rng.IntN(50)) * time.Millisecond)
	switch sim.rng.IntN(10) {
	case 0, 1:
		sim.submit(leased.JobID(fmt.Sprintf("j%d", sim.rng.IntN(job+1))))
	case 2, 3, 4:
		sim.finishAppend()
	case 5, 6:
		sim.runTask()
	case 7:
		sim.reportEnds()
		sim.reportLosses()
	case 8:
		sim.step(&Tick{})
	case 9:
		sim.rareEvent(job)
	}
}

func (sim *crashSim) rareEvent(job int) {
	switch sim.rng.IntN(5) {
	case 0:
		sim.crash()
	case 1:
		for id := range sim.stored {
			sim.cancel(id)
			return
		}
	case 4: // a job that may be known, in an append, or not submitted yet
		sim.cancel(leased.JobID(fmt.Sprintf("j%d", sim.rng.IntN(job+2))))
	case 2:
		for id, o := range sim.offers {
			sim.step(&Outcome{Job: id, Attempt: o.Attempt, Lost: true, Begun: true})
			return
		}
	case 3:
		sim.now = sim.now.Add(20 * time.Second) // records age
	}
}

func (sim *crashSim) cancel(id leased.JobID) {
	sim.request(func(t Ticket) Input { return &Cancel{Ticket: t, Job: id} }, func(r Result) {
		switch {
		case r == Stored && sim.shard.State(id) == Cancelled:
			sim.cancelled[id] = true
		case r == Stored && sim.shard.State(id) == Unknown:
			sim.t.Fatalf("job %s is said to be stored and cancelled, and is not known", id)
		case r == NoSuchJob && sim.onLog(id) && sim.now.Sub(start) < testOptions().Retain:
			sim.t.Fatalf("job %s is on the log, and its caller is told that there is no such job", id)
		case r == NoSuchJob && sim.onLog(id): // its end was forgotten after its retention
		case r == NoSuchJob && sim.denied[id].IsZero():
			sim.denied[id] = sim.now
		}
	})
}

// onLog reports whether the acceptance of a job is on the log.
func (sim *crashSim) onLog(id leased.JobID) bool {
	return slices.ContainsFunc(sim.log, func(events []Event) bool {
		return slices.ContainsFunc(events, func(e Event) bool { return e.Kind == JobAccepted && e.Job == id })
	})
}

// submit submits a job. A submission of a job that was cancelled before may arrive late.
func (sim *crashSim) submit(id leased.JobID) {
	if denied := sim.denied[id]; !denied.IsZero() && sim.now.Sub(denied) > testOptions().Retain {
		return
	}
	if sim.refused[id] || sim.cancelled[id] || sim.jobs[id].ID != "" && sim.now.Sub(start) > testOptions().Retain {
		return // callers do not resubmit such a job
	}
	job, ok := sim.jobs[id]
	if !ok {
		job = testJob(id, 1+sim.rng.IntN(3))
		sim.jobs[id] = job
	}
	sim.request(func(t Ticket) Input { return &Accept{Ticket: t, Job: job} }, func(r Result) {
		switch r {
		case Stored:
			if !sim.denied[id].IsZero() {
				sim.t.Fatalf("job %s is accepted after its caller was told that there is no such job", id)
			}
			sim.stored[id] = true
		case Refused:
			sim.refused[id] = true
		}
	})
}

// finishAppend ends the append in flight: it is stored, refused, or stored and
// followed by a crash of the owner.
func (sim *crashSim) finishAppend() {
	if sim.inFlight == nil {
		return
	}
	a := sim.inFlight
	sim.inFlight = nil
	switch sim.rng.IntN(8) {
	case 0:
		sim.step(&AppendRefused{Sequence: a.Sequence})
	case 1:
		sim.log = append(sim.log, a.Events)
		sim.crash()
	default:
		sim.log = append(sim.log, a.Events)
		sim.step(&Appended{Sequence: a.Sequence, Offset: int64(len(sim.log) - 1)})
	}
}

// runTask simulates a complete run of a task of an offered job.
func (sim *crashSim) runTask() {
	for id, o := range sim.offers {
		for index := range o.Job.Steps[0].Tasks {
			task := taskOf(id, index)
			if isDone(o, index) || sim.knownDone[task] || sim.listed[task] > 0 {
				continue
			}
			if sim.acknowledged[task] {
				sim.t.Fatalf("task %v is to run again, though its end was stored", task)
			}
			sim.lastRun[task]++
			if sim.rng.IntN(8) == 0 {
				sim.loseEndpoint(task)
				return
			}
			sim.listed[task] = sim.lastRun[task]
			sim.failed[task] = sim.rng.IntN(10) == 0
			sim.knownDone[task] = !sim.failed[task]
			if sim.failed[task] {
				sim.failures[task]++
			}
			return
		}
	}
}

func isDone(o *Offer, index int) bool {
	return slices.ContainsFunc(o.Job.Progress, func(p leased.TaskProgress) bool { return p.Index == index && p.Done })
}

// identityOf returns the identity of the run of a task with a serial number. Holders number
// runs on their own: three of them in turn give one number, each on another endpoint.
func identityOf(serial int) leased.RunID {
	const holdersOfNumber = 3
	return leased.RunID{Number: 1 + serial/holdersOfNumber, Endpoint: leased.EndpointID(fmt.Sprint("x", serial)), Incarnation: 1}
}

// reportEnds reports the ends that endpoints list. An endpoint forgets an end
// once the report is acknowledged.
func (sim *crashSim) reportEnds() {
	for task, run := range sim.listed {
		isFailed := sim.failed[task]
		report := TaskReport{Task: task, Run: identityOf(run), Done: !isFailed}
		sim.request(func(t Ticket) Input { return &Report{Ticket: t, Tasks: []TaskReport{report}} }, func(r Result) {
			if r != Stored || sim.listed[task] != run {
				return
			}
			delete(sim.listed, task)
			sim.acknowledged[task] = !isFailed
		})
	}
}

// crash replaces the owner with a new one, which replays the log.
func (sim *crashSim) crash() {
	sim.inFlight = nil
	sim.callbacks = make(map[Ticket]func(Result))
	sim.offers = make(map[leased.JobID]*Offer)
	sim.shard = New(testOptions())
	for offset, events := range sim.log {
		sim.shard.Replay(sim.now, int64(offset), events)
	}
	sim.perform(sim.shard.FinishReplay(sim.now))
	sim.check()
}

func (sim *crashSim) check() {
	sim.t.Helper()
	for id := range sim.stored {
		if sim.shard.State(id) == Unknown && sim.now.Sub(start) < testOptions().Retain {
			sim.t.Fatalf("job %s was accepted and is not known", id)
		}
	}
	for id := range sim.refused {
		if sim.shard.State(id) != Unknown {
			sim.t.Fatalf("job %s was refused and is %v", id, sim.shard.State(id))
		}
	}
	for id := range sim.denied {
		if s := sim.shard.State(id); s != Unknown && s != Cancelled {
			sim.t.Fatalf("the caller of job %s was told that there is no such job, and it is %v", id, s)
		}
	}
	for id := range sim.cancelled {
		if s := sim.shard.State(id); s != Cancelled && s != Unknown {
			sim.t.Fatalf("job %s was cancelled and is %v", id, s)
		}
	}
	sim.checkCrashes()
	for id, job := range sim.jobs {
		if sim.shard.State(id) == Completed {
			sim.checkCompleted(id, &job)
		}
	}
}

func (sim *crashSim) checkCompleted(id leased.JobID, job *leased.Job) {
	for index := range job.Steps[0].Tasks {
		task := taskOf(id, index)
		if !sim.acknowledged[task] && (sim.listed[task] == 0 || sim.failed[task]) {
			sim.t.Fatalf("job %s is completed, but task %d is not done", id, index)
		}
	}
}

// TestRandomOwnerCrashes simulates random crashes, lost and refused appends.
// Accepted jobs must stay known, refused jobs must never appear, nor jobs whose
// cancelling was answered with NoSuchJob, and no task may be offered again after its
// endpoint was allowed to forget the end.
func TestRandomOwnerCrashes(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newCrashSim(t, seed)
			for i := range 600 {
				sim.randomEvent(i / 20)
				sim.check()
			}
			if len(sim.stored) < 5 {
				t.Errorf("only %d jobs were stored", len(sim.stored))
			}
		})
	}
}
