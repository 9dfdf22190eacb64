package dispatch

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagespread.example/dispatch/internal/fixedseed"
	"lovagespread.example/dispatch/jobid"
)

// walk is a few cores, an endpoint that does not deduplicate, and what was
// promised to callers.
type walk struct {
	t       *rapid.T
	now     time.Time
	cores   []*Core // nil: the process is gone
	issuers []*jobid.Issuer
	flights []flight
	ghosts  []Start // given up by their sender; may still start
	tells   []tell
	stops   []*stop // by entry; nil: does not stop
	jobs    map[jobid.ID]*promise
	order   []jobid.ID
}

// flight is a task on its way to the endpoint and back.
type flight struct {
	entry int
	start Start
}

type tell struct {
	to   int
	told Told
}

// stop is a hand-over under way.
type stop struct {
	successor int
	transfer  *Transfer // without result
	sent      bool      // at least once
	confirmed bool
}

// promise is the truth of a job and what was said of it.
type promise struct {
	tasks  []string // services
	starts []int
	whole  bool
	failed bool
	notRun bool
}

func result(id jobid.ID, index int) []byte { return fmt.Appendf(nil, "%s/%d", id, index) }

// step feeds an input to a core and carries out what follows.
func (w *walk) step(entry int, in Input) {
	core := w.cores[entry]
	if core == nil {
		return
	}
	ready := core.Step(w.now, in)
	for _, start := range ready.Starts {
		w.flights = append(w.flights, flight{entry, start})
	}
	for i := range ready.Answers {
		w.answered(&ready.Answers[i])
	}
	for _, r := range ready.Rejections {
		w.rejected(r)
	}
	if ready.Transfer != nil {
		w.stops[entry].transfer = ready.Transfer
	}
	if ready.HandedOver {
		w.stops[entry].confirmed = true
	}
	for _, told := range ready.Told {
		w.tells = append(w.tells, tell{w.stops[entry].successor, told})
	}
}

func (w *walk) answered(a *Answer) {
	job := w.jobs[a.ID]
	if a.Problem != nil {
		job.failed = job.failed || a.Problem.Execution != NotRun
		job.notRun = job.notRun || a.Problem.Execution == NotRun
		w.check(a.ID)
		return
	}
	job.whole = true
	for i := range job.tasks {
		if i >= len(a.Results) || !bytes.Equal(a.Results[i], result(a.ID, i)) {
			w.t.Fatalf("job %s: whole answer has %q for task %d", a.ID, a.Results, i)
		}
	}
	w.check(a.ID)
}

func (w *walk) rejected(r Rejection) {
	job := w.jobs[r.ID]
	job.notRun = job.notRun || r.Problem.Execution == NotRun
	w.check(r.ID)
}

// run starts a task at the endpoint.
func (w *walk) run(start Start) {
	w.jobs[start.Task.Job].starts[start.Task.Index]++
	w.check(start.Task.Job)
}

func (w *walk) check(id jobid.ID) {
	job := w.jobs[id]
	for i, n := range job.starts {
		if n > 1 && job.tasks[i] == "booking" {
			w.t.Fatalf("job %s: task %d started %d times", id, i, n)
		}
		if n > 0 && job.notRun {
			w.t.Fatalf("job %s: called not run, but task %d started", id, i)
		}
	}
	if (job.whole && job.failed) || (job.whole && job.notRun) || (job.failed && job.notRun) {
		w.t.Fatalf("job %s: two outcomes: %+v", id, *job)
	}
}

func (w *walk) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *walk) submit() {
	owner := w.pick("owner", len(w.cores))
	id, _ := w.issuers[owner].Issue(epoch, time.Hour)
	tasks := rapid.SliceOfN(rapid.SampledFrom([]string{"booking", "valuation"}), 1, 4).Draw(w.t, "tasks")
	w.jobs[id] = &promise{tasks: tasks, starts: make([]int, len(tasks))}
	w.order = append(w.order, id)
	in := &Submit{ID: id, Service: tasks[0]}
	for _, name := range tasks {
		in.Tasks = append(in.Tasks, TaskSpec{Service: name})
	}
	w.step(owner, in)
	if rapid.Bool().Draw(w.t, "replayed") {
		w.step(w.pick("entry", len(w.cores)), in)
	}
}

// fly takes a task to the endpoint and its fate back.
func (w *walk) fly(i int, fate int) {
	f := w.flights[i]
	w.flights = append(w.flights[:i], w.flights[i+1:]...)
	task, attempt := f.start.Task, f.start.Attempt
	switch fate {
	case 0:
		w.run(f.start)
		w.step(f.entry, &Done{Task: task, Attempt: attempt, RunTime: time.Millisecond, Result: result(task.Job, task.Index)})
	case 1:
		w.run(f.start)
		w.step(f.entry, &Failed{Task: task, Attempt: attempt, Detail: "failed"})
	case 2:
		w.step(f.entry, &Refused{Task: task, Attempt: attempt})
	case 3:
		w.step(f.entry, &Lost{Task: task, Attempt: attempt, NotSent: true})
	case 4:
		w.ghosts = append(w.ghosts, f.start)
		w.step(f.entry, &Lost{Task: task, Attempt: attempt})
	case 5: // the answer comes twice
		w.run(f.start)
		done := &Done{Task: task, Attempt: attempt, Result: result(task.Job, task.Index)}
		w.step(f.entry, done)
		w.step(f.entry, done)
	}
}

func (w *walk) crash(entry int) {
	w.cores[entry] = nil
	var kept []flight
	for _, f := range w.flights {
		if f.entry == entry {
			w.ghosts = append(w.ghosts, f.start)
			continue
		}
		kept = append(kept, f)
	}
	w.flights = kept
}

func (w *walk) beginStop(entry, successor int) {
	if w.cores[entry] == nil || entry == successor || w.stops[entry] != nil {
		return
	}
	w.stops[entry] = &stop{successor: successor}
	records := rapid.IntRange(1, 3).Draw(w.t, "records")
	w.step(entry, &HandOver{To: jobid.Incarnation(successor + 1), MaxRecords: records})
}

// carry sends the latest part of a hand-over.
func (w *walk) carry(entry int, replyArrives bool) {
	s := w.stops[entry]
	if s == nil || s.transfer == nil || w.cores[entry] == nil {
		return
	}
	t := s.transfer
	first := !s.sent
	if w.cores[s.successor] == nil {
		w.undelivered(entry, first)
		return
	}
	s.sent = true
	w.step(s.successor, &Accept{Transfer: *t})
	refused := w.cores[s.successor].ready.Acceptance.Err != nil
	switch {
	case !replyArrives:
		w.step(entry, &TransferResult{Outcome: TransferUnsure})
	case refused:
		w.endStop(entry, TransferRefused)
	default:
		s.transfer, s.sent = nil, false
		w.step(entry, &TransferResult{Outcome: TransferConfirmed})
	}
}

// undelivered handles a successor that is gone. A dial that failed is a proof
// only if the part was not sent before.
func (w *walk) undelivered(entry int, first bool) {
	if first {
		w.endStop(entry, TransferRefused)
		return
	}
	w.endStop(entry, TransferHopeless)
}

func (w *walk) endStop(entry int, outcome TransferOutcome) {
	s := w.stops[entry]
	s.transfer = nil
	w.step(entry, &TransferResult{Outcome: outcome})
	if !w.cores[entry].ledger.Relinquished() {
		w.stops[entry] = nil
	}
}

func (w *walk) deliver(i int, again bool) {
	t := w.tells[i]
	if !again {
		w.tells = append(w.tells[:i], w.tells[i+1:]...)
	}
	w.step(t.to, &t.told)
}

func (w *walk) random() {
	switch rapid.IntRange(0, 11).Draw(w.t, "what") {
	case 0, 1:
		w.submit()
	case 2, 3, 4:
		if len(w.flights) > 0 {
			w.fly(w.pick("flight", len(w.flights)), w.pick("fate", 6))
		}
	case 5:
		if len(w.ghosts) > 0 {
			w.run(w.ghosts[len(w.ghosts)-1])
			w.ghosts = w.ghosts[:len(w.ghosts)-1]
		}
	case 6:
		w.beginStop(w.pick("entry", len(w.cores)), w.pick("successor", len(w.cores)))
	case 7, 8:
		w.carry(w.pick("entry", len(w.cores)), rapid.Bool().Draw(w.t, "reply arrives"))
	case 9:
		if len(w.tells) > 0 {
			w.deliver(w.pick("tell", len(w.tells)), rapid.Bool().Draw(w.t, "again"))
		}
	case 10:
		w.askOrCancel()
	case 11:
		w.rare()
	}
}

func (w *walk) askOrCancel() {
	if len(w.order) == 0 {
		return
	}
	id := w.order[w.pick("job", len(w.order))]
	entry := w.pick("entry", len(w.cores))
	if rapid.Bool().Draw(w.t, "cancel") {
		w.step(entry, &Cancel{ID: id})
		return
	}
	w.step(entry, &Ask{ID: id})
}

func (w *walk) rare() {
	entry := w.pick("entry", len(w.cores))
	switch rapid.IntRange(0, 5).Draw(w.t, "rare") {
	case 0:
		w.crash(entry)
	case 1: // perhaps too early
		w.step(entry, &Gone{Incarnation: jobid.Incarnation(w.pick("gone", len(w.cores)) + 1)})
	default:
		w.now = w.now.Add(100 * time.Millisecond)
		w.step(entry, &Tick{})
	}
}

// drain lets everything come to an end without further faults.
func (w *walk) drain() {
	for range 100 {
		for entry := range w.cores {
			w.carry(entry, true)
		}
		for len(w.flights) > 0 {
			w.fly(0, 0)
		}
		for len(w.tells) > 0 {
			w.deliver(0, false)
		}
		for _, start := range w.ghosts {
			w.run(start)
		}
		w.ghosts = nil
		w.sayGone()
	}
	for entry, core := range w.cores {
		if core != nil && core.Open() != 0 && !core.ledger.Relinquished() {
			w.t.Fatalf("entry %d: %d jobs never ended", entry, core.Open())
		}
	}
}

func (w *walk) sayGone() {
	w.now = w.now.Add(100 * time.Millisecond)
	for entry := range w.cores {
		for other, core := range w.cores {
			if core == nil {
				w.step(entry, &Gone{Incarnation: jobid.Incarnation(other + 1)})
			}
		}
		w.step(entry, &Tick{})
	}
}

// TestPromisesHoldUnderRandomStops takes cores through random submissions,
// fates, crashes and planned stops.
func TestPromisesHoldUnderRandomStops(t *testing.T) {
	fixedseed.Use(1000)
	rapid.Check(t, func(t *rapid.T) {
		w := &walk{t: t, now: epoch, jobs: make(map[jobid.ID]*promise)}
		for i := range rapid.IntRange(2, 3).Draw(t, "entries") {
			owner := jobid.Incarnation(i + 1)
			issuer, err := jobid.NewIssuer(owner, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
			if err != nil {
				t.Fatal(err)
			}
			w.cores = append(w.cores, entryCore(owner, 2))
			w.issuers = append(w.issuers, issuer)
		}
		w.stops = make([]*stop, len(w.cores))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.random()
		}
		w.drain()
	})
}
