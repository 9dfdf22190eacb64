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
	storedSeeds = flag.Int("stored-seeds", 60, "number of seeds of TestStoredJobsUnderDisturbances")
	storedFirst = flag.Int("stored-first", 0, "first seed of TestStoredJobsUnderDisturbances")
	storedTrace = flag.String("stored-trace", "", "job whose history TestStoredJobsUnderDisturbances prints")
)

// storedWorld simulates the whole way of stored jobs: callers, the owners of a shard on
// one log, holders, and endpoints with incarnations and labels. All of them are lost,
// replaced or cut off at random. It checks what the endpoints and the callers see.
type storedWorld struct {
	*kindsSim
	t    *testing.T
	seed uint64
	jobs map[leased.JobID]*worldJob
	runs map[leased.TaskID]*worldTask
	ends map[endOfRun]*worldEnd
	// crashes counts the endpoints that crashed under a task.
	crashes map[leased.TaskID]int
	faults  []string
}

// worldJob is a job of a caller.
type worldJob struct {
	leased.Job
	accepted    bool
	cancelled   bool          // as its caller was told, also if there is no such job
	cancelledAt time.Duration // when the cancellation was acknowledged
	denied      bool          // the caller was told, on cancelling it, that there is no such job
	hopeless    map[leased.TaskID]bool
	runTime     time.Duration
}

// worldTask is what the endpoints saw of a task.
type worldTask struct {
	starts []time.Duration
	ends   []*worldEnd
}

// worldEnd is the end of a run at its endpoint.
type worldEnd struct {
	at           time.Duration
	end          leased.End
	acknowledged bool // and the lease of the endpoint did not expire in between
}

// Times of a storedWorld.
const (
	worldLoad = 12 * time.Second // in which jobs arrive and disturbances begin
	worldRest = 40 * time.Second // after which all jobs must have ended
	// cancelLimit is the time after the acknowledgement of a cancellation from which on no
	// task of the job is started.
	cancelLimit = 3 * time.Second
	failShare   = 0.15 // of the runs of tasks that are not hopeless
)

func newStoredWorld(t *testing.T, seed uint64) *storedWorld {
	w := &storedWorld{
		kindsSim: newKindsSim(t, seed, 3, 4), t: t, seed: seed, jobs: make(map[leased.JobID]*worldJob),
		runs: make(map[leased.TaskID]*worldTask), ends: make(map[endOfRun]*worldEnd), crashes: make(map[leased.TaskID]int),
	}
	for i := range w.specs {
		spec := &w.specs[i]
		if i%2 == 1 {
			spec.Labels, w.kinds[spec.ID] = []string{"b"}, "b"
		}
		w.watch(spec.ID)
	}
	w.addOwner()
	if *storedTrace != "" {
		w.stepped = w.traceStep
	}
	w.shareFreeCapacity()
	w.announce()
	w.runUntil(500 * time.Millisecond)
	return w
}

func (w *storedWorld) fault(format string, values ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, values...))
}

// trace prints what happens to the job that is traced.
func (w *storedWorld) trace(job leased.JobID, format string, values ...any) {
	if *storedTrace != "" && string(job) == *storedTrace {
		w.t.Logf("%v: "+format, append([]any{w.now}, values...)...)
	}
}

// traceStep prints the inputs and decisions of a core that concern the job that is traced.
func (w *storedWorld) traceStep(core int, in leased.Input, out *leased.Actions) {
	switch in := in.(type) {
	case *leased.Submit:
		w.trace(in.Job.ID, "core %d: submit, ticket %d, resubmitted %v, %+v", core, in.Ticket, in.Job.Resubmitted, in.Job.Progress)
	case *leased.Cancel:
		w.trace(leased.JobID(*storedTrace), "core %d: cancel ticket %d", core, in.Ticket)
	case *leased.SubmitDelegated:
		w.trace(in.Task.ID.Job, "core %d: delegated %v, run %d, adopt %v", core, in.Task.ID, in.Task.Run, in.Task.Adopt)
	case *leased.DelegateReply:
		w.trace(in.Task.Job, "core %d: delegate's reply %+v, %+v", core, in, in.Progress)
	case *leased.ReportsStored:
		for _, r := range in.Reports {
			w.trace(r.Task.Job, "core %d: stored %+v, %+v", core, r, r.Progress)
		}
	case *leased.TaskUpdate:
		w.trace(in.Task.Job, "core %d: update %+v", core, in)
	}
	for _, s := range out.Starts {
		w.trace(s.Task.Job, "core %d: start %v run %d on %s, attempt %d, %v", core, s.Task, s.Run, s.Endpoint, s.Attempt, s.Evidence)
	}
	for _, s := range out.Stops {
		w.trace(s.Task.Job, "core %d: stop %v run %d on %s: %s", core, s.Task, s.Run, s.Endpoint, s.Reason)
	}
	for _, a := range out.Answers {
		w.trace(a.Job, "core %d: answer %+v", core, a)
	}
	for _, r := range out.Reports {
		w.trace(r.Task.Job, "core %d: report %+v", core, r)
	}
	for _, e := range out.RunEnds {
		w.trace(e.Task.Job, "core %d: end %+v", core, e)
	}
	for _, d := range out.Delegations {
		w.trace(d.Task.ID.Job, "core %d: delegates %v, run %d", core, d.Task.ID, d.Task.Run)
	}
	for _, c := range out.Crashes {
		w.trace(c.Task.Job, "core %d: crash %+v", core, c)
	}
}

// watch checks each start on an endpoint, and records the ends.
func (w *storedWorld) watch(id leased.EndpointID) {
	e := w.endpoints[id]
	e.Work = func(task leased.TaskID) leasedtest.Work {
		w.checkStart(id, task)
		j := w.jobs[task.Job]
		work := workOf(j.runTime)
		work.Fails = j.hopeless[task] || w.rng.Float64() < failShare
		return work
	}
	e.OnEnded = func(end leased.EndedRun) {
		w.trace(end.Task.Job, "%s: end %+v", id, end)
		we := &worldEnd{at: w.now, end: end.End}
		w.task(end.Task).ends = append(w.task(end.Task).ends, we)
		w.ends[endOfRun{id, end.Number}] = we
	}
	e.OnAcknowledged = func(end leased.EndedRun, lapsed bool) {
		we := w.ends[endOfRun{id, end.Number}]
		w.trace(end.Task.Job, "%s: acknowledged %+v, lapsed %v", id, end, lapsed)
		we.acknowledged = !lapsed
		if !lapsed {
			w.checkStartsAfter(end.Task, we)
		}
	}
}

func (w *storedWorld) task(id leased.TaskID) *worldTask {
	if w.runs[id] == nil {
		w.runs[id] = &worldTask{}
	}
	return w.runs[id]
}

func (w *storedWorld) checkStart(id leased.EndpointID, task leased.TaskID) {
	j, t := w.jobs[task.Job], w.task(task)
	w.trace(task.Job, "%s: start of %v", id, task)
	t.starts = append(t.starts, w.now)
	step := &j.Steps[task.Step]
	if kind := w.kinds[id]; step.Label != "" && kind != step.Label {
		w.fault("task %v needs %q and is started on %s, which is %q", task, step.Label, id, kind)
	}
	for _, before := range step.After {
		for index := range j.Steps[before].Tasks {
			if !w.task(leased.TaskID{Job: task.Job, Step: before, Index: index}).isDone() {
				w.fault("task %v is started before task %d of step %d is done", task, index, before)
			}
		}
	}
	if j.cancelled && w.now > j.cancelledAt+cancelLimit {
		w.fault("task %v is started %v after its job was cancelled", task, w.now-j.cancelledAt)
	}
	failures := 0
	for _, e := range t.ends {
		switch {
		case e.acknowledged && e.end == leased.EndDone:
			w.fault("task %v is started again after it was done at %v", task, e.at)
		case e.acknowledged && e.end == leased.EndFailed:
			failures++
		}
	}
	if failures >= j.MaxAttempts {
		w.fault("task %v is started after %d failures, of %d that it may have", task, failures, j.MaxAttempts)
	}
}

// checkStartsAfter checks the starts of a task after an end that is acknowledged only now.
func (w *storedWorld) checkStartsAfter(task leased.TaskID, end *worldEnd) {
	t := w.task(task)
	failures := 0
	for _, e := range t.ends {
		if e.acknowledged && e.end == leased.EndFailed && e.at <= end.at {
			failures++
		}
	}
	for _, at := range t.starts {
		if at <= end.at {
			continue
		}
		if end.end == leased.EndDone {
			w.fault("task %v was started again at %v, after it was done at %v", task, at, end.at)
		}
		if limit := w.jobs[task.Job].MaxAttempts; end.end == leased.EndFailed && failures >= limit {
			w.fault("task %v was started at %v after %d failures, of %d that it may have", task, at, failures, limit)
		}
	}
}

func (t *worldTask) isDone() bool {
	return slices.ContainsFunc(t.ends, func(e *worldEnd) bool { return e.end == leased.EndDone })
}

// addJob creates a job that a caller hands in at a time.
func (w *storedWorld) addJob(at time.Duration) {
	id := leased.JobID(fmt.Sprintf("job%04d", len(w.jobs)))
	runTime := time.Duration(60+w.rng.IntN(600)) * time.Millisecond
	if w.rng.IntN(3) == 0 {
		runTime += 1200 * time.Millisecond
	}
	j := &worldJob{Job: storedJob(id, 1+w.rng.IntN(3), runTime), hopeless: make(map[leased.TaskID]bool), runTime: runTime}
	j.MaxAttempts = 1 + w.rng.IntN(4)
	j.Steps[0].Label = []string{"", "", "a", "b"}[w.rng.IntN(4)]
	if w.rng.IntN(3) == 0 {
		second := j.Steps[0]
		second.After, second.Tasks = []int{0}, 1+w.rng.IntN(2)
		j.Steps = append(j.Steps, second)
	}
	if w.rng.IntN(10) == 0 {
		j.hopeless[leased.TaskID{Job: id, Step: w.rng.IntN(len(j.Steps))}] = true
	}
	w.jobs[id] = j
	w.at(at, func() { w.handIn(j) })
	if w.rng.IntN(8) == 0 {
		w.at(at+time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.cancelJob(j) })
	}
}

// handIn hands a job in, and again until it is accepted or cancelled.
func (w *storedWorld) handIn(j *worldJob) {
	if j.accepted || j.cancelled {
		return
	}
	w.after(300*time.Millisecond, func() { w.handIn(j) })
	w.submit(j)
}

// submit sends a submission of a job to the owner.
func (w *storedWorld) submit(j *worldJob) {
	w.ask(func(ticket stored.Ticket) stored.Input { return &stored.Accept{Ticket: ticket, Job: j.Job} }, func(r stored.Result) {
		j.accepted = j.accepted || r == stored.Stored
		if r == stored.Stored && j.denied {
			w.fault("job %s is accepted after its caller was told that there is no such job", j.ID)
		}
	})
}

func (w *storedWorld) cancelJob(j *worldJob) {
	if j.cancelled {
		return
	}
	w.after(300*time.Millisecond, func() { w.cancelJob(j) })
	w.ask(func(ticket stored.Ticket) stored.Input { return &stored.Cancel{Ticket: ticket, Job: j.ID} }, func(r stored.Result) {
		w.trace(j.ID, "its cancellation is answered with %d", r)
		if r != stored.Stored && r != stored.NoSuchJob || j.cancelled {
			return
		}
		j.cancelled, j.cancelledAt, j.denied = true, w.now, r == stored.NoSuchJob
		if j.denied && j.accepted {
			w.fault("job %s was accepted, and its caller is told that there is no such job", j.ID)
		}
	})
}

// ask sends a request to the owner, if there is one.
func (w *storedWorld) ask(request func(stored.Ticket) stored.Input, answer func(stored.Result)) {
	o := w.owner
	if o.shard == nil {
		return
	}
	o.lastTicket++
	o.replies[o.lastTicket] = answer
	o.step(request(o.lastTicket))
}

// disturb brings about one disturbance at the present time.
func (w *storedWorld) disturb() {
	o := w.owner
	core := w.rng.IntN(len(w.cores))
	w.trace(leased.JobID(*storedTrace), "disturbance")
	id := w.endpointIDs[w.rng.IntN(len(w.endpointIDs))]
	length := func(low, high int) time.Duration { return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond }
	switch w.rng.IntN(9) {
	case 0, 1:
		w.loseHolder(core)
	case 2:
		w.loseAll()
	case 8:
		w.loseAll()
		w.after(length(2000, 3000), func() { w.loseAllDuringReruns(w.now + 6*time.Second) })
	case 3:
		if o.shard != nil {
			o.lose(length(400, 1500))
		}
	case 4:
		if o.shard != nil {
			o.stall(length(300, 3000))
		}
	case 5, 6:
		w.crashAndChange(id, length(80, 2500))
	case 7:
		if !w.unreachable[id] {
			w.unreachable[id] = true
			w.after(length(200, 2500), func() { w.unreachable[id] = false })
		}
	}
}

// crashAndChange crashes an endpoint, which is back as one of the other kind.
func (w *storedWorld) crashAndChange(id leased.EndpointID, away time.Duration) {
	if w.unreachable[id] {
		return
	}
	for _, r := range w.endpoints[id].Running() {
		w.crashes[r.Task]++
	}
	w.change(id, away)
}

// loseHolder loses a holder whose endpoints another one takes over. It is back later.
func (w *storedWorld) loseHolder(core int) {
	if w.crashed[core] || len(w.crashed) > 0 && w.crashed[(core+1)%3] || w.crashed[(core+2)%3] {
		return
	}
	w.crash(core, (core+1)%len(w.cores), 700*time.Millisecond)
	w.owner.coreCrashed(core)
	w.after(1500*time.Millisecond, func() { w.restartCore(core) })
}

// loseAll loses all entries at once. They are back a second later.
func (w *storedWorld) loseAll() {
	if w.crashed[0] || w.crashed[1] || w.crashed[2] {
		return
	}
	for core := range w.cores {
		w.crash(core, core, time.Second)
	}
	if w.owner.shard != nil {
		w.owner.lose(1300 * time.Millisecond)
	}
	w.after(900*time.Millisecond, func() {
		for core := range w.cores {
			w.restartCore(core)
		}
	})
}

// loseAllDuringReruns loses all entries again while tasks run that were started anew after
// an earlier loss, or at a time.
func (w *storedWorld) loseAllDuringReruns(latest time.Duration) {
	const firstOfNextHolder, offsetMask, enough = 17, 1<<16 - 1, 3
	reruns := 0
	for _, e := range w.endpoints {
		for _, r := range e.Running() {
			if r.Number&offsetMask == firstOfNextHolder && r.EndsAt-w.now < 600*time.Millisecond {
				reruns++
			}
		}
	}
	if reruns >= enough || w.now >= latest {
		w.loseAll()
		return
	}
	w.after(50*time.Millisecond, func() { w.loseAllDuringReruns(latest) })
}

func (w *storedWorld) restartCore(core int) {
	w.cores[core] = w.newCore(core)
	w.crashed[core] = false
	w.announce()
}

// lose loses the owner. An append that is under way may be stored or not. Another owner
// replays the log after a time.
func (o *owner) lose(downFor time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(o.offers)) {
		o.withdraw(id)
	}
	if o.shard != nil && o.inFlight != nil && o.sim.rng.IntN(2) == 0 {
		o.log = append(o.log, o.inFlight)
	}
	o.shard, o.inFlight = nil, nil
	clear(o.replies)
	o.sim.after(downFor, func() {
		if o.shard == nil {
			o.replace()
		}
	})
}

// check checks what the callers see once all has calmed down.
func (w *storedWorld) check() {
	for id, j := range w.jobs {
		state := w.owner.shard.State(id)
		switch {
		case j.denied && state != stored.Unknown && state != stored.Cancelled:
			w.fault("job %s is %v, and its caller was told that there is no such job", id, state)
		case j.denied:
			continue
		case j.cancelled && !state.Ended():
			w.fault("job %s is %v, and its caller was told that it is cancelled", id, state)
		case !j.accepted && !j.cancelled:
			w.fault("job %s was not accepted in %v", id, worldRest)
			continue
		}
		switch {
		case state == stored.Unknown:
			w.fault("job %s was accepted, and is not known", id)
		case state == stored.Queued || state == stored.Running:
			w.fault("job %s is %v %v after the last disturbance", id, state, worldRest)
		case state == stored.Cancelled && !j.cancelled:
			w.fault("job %s is cancelled, and nobody has asked for that", id)
		case state == stored.Failed && !w.mayFail(j):
			w.fault("job %s has failed without a cause", id)
		case state == stored.Completed && !w.allDone(j):
			w.fault("job %s is completed, and not all its tasks are done", id)
		}
	}
	w.faults = append(w.faults, w.doubleRuns...)
}

// anyTask reports whether a check holds for any task of the job.
func (j *worldJob) anyTask(check func(leased.TaskID) bool) bool {
	for s := range j.Steps {
		for index := range j.Steps[s].Tasks {
			if check(leased.TaskID{Job: j.ID, Step: s, Index: index}) {
				return true
			}
		}
	}
	return false
}

func (w *storedWorld) mayFail(j *worldJob) bool {
	const crashesOfGuilty = 2
	return j.anyTask(func(id leased.TaskID) bool {
		failures := 0
		for _, e := range w.task(id).ends {
			if e.end == leased.EndFailed {
				failures++
			}
		}
		return failures >= j.MaxAttempts || w.crashes[id] >= crashesOfGuilty
	})
}

func (w *storedWorld) allDone(j *worldJob) bool {
	return !j.anyTask(func(id leased.TaskID) bool { return !w.task(id).isDone() })
}

// playStoredWorld plays a world and returns the faults that were seen. AddJobs adds the jobs
// that arrive at a time.
func playStoredWorld(t *testing.T, seed uint64, addJobs func(*storedWorld, time.Duration)) []string {
	w := newStoredWorld(t, seed)
	for at := w.now; at < worldLoad; at += 90 * time.Millisecond {
		addJobs(w, at)
	}
	for range 3 + w.rng.IntN(8) {
		w.at(time.Second+time.Duration(w.rng.Int64N(int64(worldLoad))), w.disturb)
	}
	w.runUntil(time.Second + worldLoad + 3*time.Second + worldRest)
	w.check()
	return w.faults
}

// Guards the whole path of stored jobs against orders of events that no other test has:
// see docs/design/stored-jobs.md for what each copy of a fact may not know.
func TestStoredJobsUnderDisturbances(t *testing.T) {
	for seed := uint64(*storedFirst); seed < uint64(*storedFirst+*storedSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			const shown = 5
			faults := playStoredWorld(t, seed, (*storedWorld).addJob)
			for _, f := range faults[:min(shown, len(faults))] {
				t.Error(f)
			}
			if len(faults) > shown {
				t.Errorf("and %d more", len(faults)-shown)
			}
		})
	}
}
