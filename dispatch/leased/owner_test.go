package leased_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// owner is the owner of the stored jobs of a simulation: a shard with its log,
// which offers jobs to cores and receives the reports of all of them.
type owner struct {
	sim        *simulation
	shard      *stored.Shard
	log        [][]stored.Event
	lastTicket stored.Ticket
	unstored   map[stored.Ticket]sentReport
	offers     map[leased.JobID]activeOffer
	replies    map[stored.Ticket]func(stored.Result) // of requests, except for reports
	inFlight   []stored.Event                        // that are being appended
	// stalledUntil is when appends are stored that are sent before.
	stalledUntil time.Duration
	epoch        int64
	// at is the core beside which the owner runs: others reach it only if they reach that.
	at int
}

type sentReport struct {
	core   int
	by     *leased.Core // that has sent it: one that was restarted repeats no report
	report leased.Report
}

type activeOffer struct {
	attempt int
	core    int
	ticket  leased.Ticket
}

// Times of the owner in a simulation.
const (
	appendTime    = 5 * time.Millisecond
	lostHolderFor = 400 * time.Millisecond // until the owner notices the loss of a core
	// resubmitInterval is how long a caller waits for the acceptance of a job.
	resubmitInterval = 200 * time.Millisecond
)

func (sim *simulation) addOwner() *owner {
	sim.owner = &owner{sim: sim, unstored: make(map[stored.Ticket]sentReport), replies: make(map[stored.Ticket]func(stored.Result)), offers: make(map[leased.JobID]activeOffer)}
	sim.owner.shard = newShard()
	sim.every(50*time.Millisecond, func() {
		if sim.owner.shard != nil {
			sim.owner.step(&stored.Tick{})
		}
	})
	return sim.owner
}

func newShard() *stored.Shard {
	return stored.New(stored.Options{Retain: time.Hour, SnapshotAge: time.Hour})
}

func (o *owner) step(in stored.Input) { o.perform(o.shard.Step(simStart.Add(o.sim.now), in)) }

func (o *owner) perform(out *stored.Actions) {
	for _, a := range out.Appends {
		shard, events := o.shard, slices.Clone(a.Events)
		o.inFlight = events
		o.sim.after(appendTime+max(0, o.stalledUntil-o.sim.now), func() { o.appended(shard, a.Sequence, events) })
	}
	for _, r := range slices.Clone(out.Replies) {
		if reply := o.replies[r.Ticket]; reply != nil {
			delete(o.replies, r.Ticket)
			reply(r.Result)
		}
		if sent, ok := o.unstored[r.Ticket]; ok && r.Result == stored.Stored {
			delete(o.unstored, r.Ticket)
			p := sent.report
			var progress *leased.TaskProgress
			if len(r.Progress) > 0 {
				progress = &r.Progress[0]
			}
			discarded := progress != nil && progress.Discarded
			o.sim.after(networkDelay, func() {
				o.sim.step(sent.core, &leased.ReportsStored{Reports: []leased.StoredReport{{
					Endpoint: p.Endpoint, IncarnationStart: p.IncarnationStart, Number: p.Number, Task: p.Task, Run: p.Run, Restart: p.Restart, Offer: p.Offer, Discarded: discarded, Progress: progress,
				}}})
			})
		}
	}
	for _, u := range slices.Clone(out.Updates) {
		if a, ok := o.offers[u.Task.Job]; ok && u.From != uint64(a.core+1) {
			o.sim.after(networkDelay, func() { o.sim.step(a.core, &leased.TaskUpdate{Task: u.Task, Progress: u.Progress}) })
		}
	}
	for _, id := range slices.Clone(out.Withdrawals) {
		o.withdraw(id)
	}
	for _, offer := range slices.Clone(out.Offers) {
		o.offer(offer)
	}
}

// stall lets appends to the log wait for a time. All offers are withdrawn for that time.
func (o *owner) stall(d time.Duration) {
	o.stalledUntil = o.sim.now + d
	suspended := make(map[leased.JobID]activeOffer)
	for _, id := range slices.Sorted(maps.Keys(o.offers)) {
		suspended[id] = o.offers[id]
		o.withdraw(id)
	}
	shard := o.shard
	o.sim.after(d, func() {
		if o.shard != shard {
			return // the next owner has offered the jobs
		}
		for _, id := range slices.Sorted(maps.Keys(suspended)) {
			o.step(&stored.Outcome{Job: id, Attempt: suspended[id].attempt, Lost: true, Begun: true})
		}
	})
}

// appended stores a batch, unless its owner was replaced in the meantime.
func (o *owner) appended(shard *stored.Shard, sequence uint64, events []stored.Event) {
	if shard != o.shard {
		return
	}
	o.inFlight = nil
	o.log = append(o.log, events)
	o.step(&stored.Appended{Sequence: sequence, Offset: int64(len(o.log) - 1)})
}

func (o *owner) offer(offer stored.Offer) {
	var live []int
	for core := range o.sim.cores {
		if !o.sim.crashed[core] && o.reaches(core) && len(o.sim.cellsOf(core)) > 0 {
			live = append(live, core)
		}
	}
	if len(live) == 0 {
		shard := o.shard
		o.sim.after(100*time.Millisecond, func() {
			if o.shard == shard && !shard.State(offer.Job.ID).Ended() {
				o.offer(offer)
			}
		})
		return
	}
	core := live[o.sim.rng.IntN(len(live))]
	o.sim.lastTicket++
	ticket := o.sim.lastTicket
	o.offers[offer.Job.ID] = activeOffer{offer.Attempt, core, ticket}
	job := offer.Job
	job.CallerTimeout = time.Hour
	o.sim.after(networkDelay, func() { o.sim.step(core, &leased.Submit{Ticket: ticket, Job: job}) })
}

func (o *owner) withdraw(id leased.JobID) {
	if a, ok := o.offers[id]; ok {
		delete(o.offers, id)
		o.sim.after(networkDelay, func() { o.sim.step(a.core, &leased.Cancel{Ticket: a.ticket}) })
	}
}

// answered handles the answer of a core to an offer.
func (o *owner) answered(a leased.Answer) {
	active, ok := o.offers[a.Job]
	if !ok || active.ticket != a.Ticket {
		return
	}
	delete(o.offers, a.Job)
	lost := a.Verdict != leased.Completed && a.Verdict != leased.Failed
	shard := o.shard
	o.sim.after(networkDelay, func() {
		if o.shard != shard {
			return
		}
		o.step(&stored.Outcome{Job: a.Job, Attempt: active.attempt, Verdict: a.Verdict, Lost: lost, Begun: lost})
	})
}

// report handles a report of a core, which repeats it until it is stored.
func (o *owner) report(core int, r leased.Report) {
	o.lastTicket++
	ticket := o.lastTicket
	o.unstored[ticket] = sentReport{core, o.sim.cores[core], r}
	o.sim.after(networkDelay, func() { o.deliver(ticket) })
}

func (o *owner) deliver(ticket stored.Ticket) {
	sent, waiting := o.unstored[ticket]
	if !waiting || o.sim.crashed[sent.core] || o.sim.cores[sent.core] != sent.by {
		return
	}
	if o.shard == nil || !o.reaches(sent.core) {
		o.sim.after(200*time.Millisecond, func() { o.deliver(ticket) })
		return
	}
	r := sent.report
	lost := r.End == leased.EndEndpointLost
	o.step(&stored.Report{Ticket: ticket, From: uint64(sent.core + 1), Tasks: []stored.TaskReport{{
		Task: r.Task, Run: leased.RunID{Number: r.Run, Endpoint: r.Endpoint, Incarnation: r.IncarnationStart}, Begun: r.Begun || lost || r.Restart != 0, Done: r.End == leased.EndDone, Lost: lost, Loss: r.Loss, Restart: r.Restart, Offer: r.Offer,
	}}})
	o.sim.after(500*time.Millisecond, func() { o.deliver(ticket) })
}

// reaches reports whether the owner and a core exchange messages.
func (o *owner) reaches(core int) bool { return o.sim.isolated[core] == o.sim.isolated[o.at] }

// moveTo replaces the owner with one beside another core.
func (o *owner) moveTo(core int) {
	o.replace()
	o.at = core
}

// coreCrashed ends the offers to a core that has crashed.
func (o *owner) coreCrashed(core int) {
	o.sim.after(lostHolderFor, func() {
		for _, id := range slices.Sorted(maps.Keys(o.offers)) {
			if a := o.offers[id]; a.core == core && o.shard != nil {
				delete(o.offers, id)
				o.step(&stored.Outcome{Job: id, Attempt: a.attempt, Lost: true, Begun: true})
			}
		}
	})
}

// replace replaces the owner with one that replays the log.
func (o *owner) replace() {
	for _, id := range slices.Sorted(maps.Keys(o.offers)) {
		o.withdraw(id)
	}
	o.epoch++
	o.shard = stored.New(stored.Options{Retain: time.Hour, SnapshotAge: time.Hour, Epoch: o.epoch})
	now := simStart.Add(o.sim.now)
	for offset, events := range o.log {
		o.shard.Replay(now, int64(offset), events)
	}
	o.perform(o.shard.FinishReplay(now))
}

// Guards against a count of crashes that is lost on its way: tasks are delegated,
// holders crash with what they know, the owner is replaced, calls are lost, and
// endpoints return under the same or another ID.
func TestDeadlyTasksOfStoredJobsAreGivenUpWhateverIsLost(t *testing.T) {
	seeds := []uint64{35, 78, 218, 232, 246, 265} // six starts while the owner knew of crashes only
	for seed := range uint64(20) {
		seeds = append(seeds, seed)
	}
	crashesByTask := make(map[int]int)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			sim.returnsAs = returnAs(seed % 2)
			sim.downTime = 2500*time.Millisecond + time.Duration(sim.rng.IntN(1000))*time.Millisecond
			sim.lossRate = 0.01 * float64(sim.rng.IntN(3))
			for core := range sim.cores {
				sim.addEndpoints(core, 8)
			}
			o := sim.addOwner()
			sim.shareFreeCapacity()
			sim.runUntil(100 * time.Millisecond)
			const load = 10 * time.Second
			var harmless []leased.JobID
			for at := sim.now; at < load; at += 40 * time.Millisecond {
				id := leased.JobID(fmt.Sprintf("harmless%04d", len(harmless)))
				harmless = append(harmless, id)
				sim.acceptAt(at, storedJob(id, 1+sim.rng.IntN(3), 200*time.Millisecond), 200*time.Millisecond)
			}
			const deadlyJobs = 5
			for i := range deadlyJobs {
				job := storedJob(leased.JobID(fmt.Sprintf("deadly%d", i)), 4, 60*time.Millisecond)
				sim.deadly[leased.TaskID{Job: job.ID, Index: sim.rng.IntN(4)}] = true
				sim.acceptAt(time.Duration(sim.rng.Int64N(int64(load))), job, 60*time.Millisecond)
			}
			crashAt := time.Duration(2000+sim.rng.IntN(8000)) * time.Millisecond
			sim.at(crashAt, func() { sim.crash(2, sim.rng.IntN(2), 800*time.Millisecond); o.coreCrashed(2) })
			sim.at(time.Duration(2000+sim.rng.IntN(8000))*time.Millisecond, o.replace)
			sim.runUntil(load + 30*time.Second)
			for task := range sim.deadly {
				n := sim.startCounts[task]
				crashesByTask[n]++
				if n > maxStartsOfDeadlyTask {
					t.Errorf("deadly task %v was started %d times, want at most %d", task, n, maxStartsOfDeadlyTask)
				}
				if s := o.shard.State(task.Job); s != stored.Failed {
					t.Errorf("job of deadly task %v is %v, want failed", task, s)
				}
			}
			for _, id := range harmless {
				if s := o.shard.State(id); s != stored.Completed {
					t.Errorf("harmless job %s is %v, want completed", id, s)
				}
			}
			sim.wantNoDoubleRuns()
		})
	}
	t.Logf("deadly tasks by number of starts: %v", crashesByTask)
}

// acceptAt hands a stored job to the owner at a time, and again while the owner
// does not know it.
func (sim *simulation) acceptAt(at time.Duration, job leased.Job, runTime time.Duration) {
	sim.work[job.ID] = workOf(runTime)
	sim.at(at, func() {
		if sim.owner.shard.State(job.ID) == stored.Unknown {
			sim.owner.step(&stored.Accept{Job: job})
			sim.acceptAt(sim.now+resubmitInterval, job, runTime)
		}
	})
}
