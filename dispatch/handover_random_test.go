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

// world simulates a few cores and an endpoint that does not deduplicate, and
// records what callers were told.
type world struct {
	t             *rapid.T
	now           time.Time
	cores         []*Core // nil: the process has crashed
	issuers       []*jobid.Issuer
	inFlight      []sentTask
	delayedStarts []Start // of attempts reported as lost; may still start
	updates       []pendingUpdate
	handovers     []*handover // by sending entry; nil: none
	jobs          map[jobid.ID]*jobRecord
	ids           []jobid.ID
}

// sentTask is a task that was sent to the endpoint and not answered yet.
type sentTask struct {
	entry int
	start Start
}

// pendingUpdate is a status update that was not delivered yet.
type pendingUpdate struct {
	to     int
	update StatusUpdate
}

// handover is a handover in progress.
type handover struct {
	receiver  int
	pending   *Transfer // without result
	sent      bool      // at least once
	confirmed bool
}

// jobRecord holds what happened to a job and what its caller was told.
type jobRecord struct {
	tasks     []string // services
	starts    []int
	succeeded bool
	failed    bool
	notRun    bool
}

func result(id jobid.ID, index int) []byte { return fmt.Appendf(nil, "%s/%d", id, index) }

// step applies an input to a core and carries out the resulting actions.
func (w *world) step(entry int, in Input) {
	core := w.cores[entry]
	if core == nil {
		return
	}
	ready := core.Step(w.now, in)
	for _, start := range ready.Starts {
		w.inFlight = append(w.inFlight, sentTask{entry, start})
	}
	for i := range ready.Answers {
		w.answered(&ready.Answers[i])
	}
	for _, r := range ready.Rejections {
		w.rejected(r)
	}
	if ready.Transfer != nil {
		w.handovers[entry].pending = ready.Transfer
	}
	if ready.HandedOver {
		w.handovers[entry].confirmed = true
	}
	for _, update := range ready.StatusUpdates {
		w.updates = append(w.updates, pendingUpdate{w.handovers[entry].receiver, update})
	}
}

func (w *world) answered(a *Answer) {
	job := w.jobs[a.ID]
	if a.Problem != nil {
		job.failed = job.failed || a.Problem.Execution != NotRun
		job.notRun = job.notRun || a.Problem.Execution == NotRun
		w.check(a.ID)
		return
	}
	job.succeeded = true
	for i := range job.tasks {
		if i >= len(a.Results) || !bytes.Equal(a.Results[i], result(a.ID, i)) {
			w.t.Fatalf("job %s: the results are %q, wrong for task %d", a.ID, a.Results, i)
		}
	}
	w.check(a.ID)
}

func (w *world) rejected(r Rejection) {
	job := w.jobs[r.ID]
	job.notRun = job.notRun || r.Problem.Execution == NotRun
	w.check(r.ID)
}

// startTask starts a task at the endpoint.
func (w *world) startTask(start Start) {
	w.jobs[start.Task.Job].starts[start.Task.Index]++
	w.check(start.Task.Job)
}

func (w *world) check(id jobid.ID) {
	job := w.jobs[id]
	for i, n := range job.starts {
		if n > 1 && job.tasks[i] == "booking" {
			w.t.Fatalf("job %s: task %d started %d times", id, i, n)
		}
		if n > 0 && job.notRun {
			w.t.Fatalf("job %s: reported as not run, but task %d started", id, i)
		}
	}
	if (job.succeeded && job.failed) || (job.succeeded && job.notRun) || (job.failed && job.notRun) {
		w.t.Fatalf("job %s: two outcomes: %+v", id, *job)
	}
}

func (w *world) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *world) submit() {
	owner := w.pick("owner", len(w.cores))
	id, _ := w.issuers[owner].Issue(epoch, time.Hour)
	tasks := rapid.SliceOfN(rapid.SampledFrom([]string{"booking", "valuation"}), 1, 4).Draw(w.t, "tasks")
	w.jobs[id] = &jobRecord{tasks: tasks, starts: make([]int, len(tasks))}
	w.ids = append(w.ids, id)
	in := &Submit{ID: id, Service: tasks[0]}
	for _, name := range tasks {
		in.Tasks = append(in.Tasks, TaskSpec{Service: name})
	}
	w.step(owner, in)
	if rapid.Bool().Draw(w.t, "replayed") {
		w.step(w.pick("entry", len(w.cores)), in)
	}
}

// deliverTask delivers a task to the endpoint and reports the given outcome to
// its sender.
func (w *world) deliverTask(i int, outcome int) {
	sent := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	task, attempt := sent.start.Task, sent.start.Attempt
	switch outcome {
	case 0:
		w.startTask(sent.start)
		w.step(sent.entry, &Done{Task: task, Attempt: attempt, RunTime: time.Millisecond, Result: result(task.Job, task.Index)})
	case 1:
		w.startTask(sent.start)
		w.step(sent.entry, &Failed{Task: task, Attempt: attempt, Detail: "failed"})
	case 2:
		w.step(sent.entry, &Refused{Task: task, Attempt: attempt})
	case 3:
		w.step(sent.entry, &Lost{Task: task, Attempt: attempt, NotSent: true})
	case 4:
		w.delayedStarts = append(w.delayedStarts, sent.start)
		w.step(sent.entry, &Lost{Task: task, Attempt: attempt})
	case 5: // the answer arrives twice
		w.startTask(sent.start)
		done := &Done{Task: task, Attempt: attempt, Result: result(task.Job, task.Index)}
		w.step(sent.entry, done)
		w.step(sent.entry, done)
	}
}

// crash ends a process. Its tasks in flight may start later.
func (w *world) crash(entry int) {
	w.cores[entry] = nil
	var remaining []sentTask
	for _, sent := range w.inFlight {
		if sent.entry == entry {
			w.delayedStarts = append(w.delayedStarts, sent.start)
			continue
		}
		remaining = append(remaining, sent)
	}
	w.inFlight = remaining
}

func (w *world) beginHandover(entry, receiver int) {
	if w.cores[entry] == nil || entry == receiver || w.handovers[entry] != nil {
		return
	}
	w.handovers[entry] = &handover{receiver: receiver}
	maxRecords := rapid.IntRange(1, 3).Draw(w.t, "max records")
	w.step(entry, &HandOver{To: jobid.Incarnation(receiver + 1), MaxRecords: maxRecords})
}

// sendPart sends the pending part of a handover.
func (w *world) sendPart(entry int, replyArrives bool) {
	h := w.handovers[entry]
	if h == nil || h.pending == nil || w.cores[entry] == nil {
		return
	}
	t := h.pending
	first := !h.sent
	if w.cores[h.receiver] == nil {
		w.receiverDown(entry, first)
		return
	}
	h.sent = true
	w.step(h.receiver, &Accept{Transfer: *t})
	refused := w.cores[h.receiver].ready.Acceptance.Err != nil
	switch {
	case !replyArrives:
		w.step(entry, &TransferResult{Outcome: TransferUncertain})
	case refused:
		w.abortHandover(entry, TransferRefused)
	default:
		h.pending, h.sent = nil, false
		w.step(entry, &TransferResult{Outcome: TransferConfirmed})
	}
}

// receiverDown reports the outcome of sending a part to a receiver that no
// longer runs. A failed dial proves that the part was not delivered only if the
// part was not sent before.
func (w *world) receiverDown(entry int, first bool) {
	if first {
		w.abortHandover(entry, TransferRefused)
		return
	}
	w.abortHandover(entry, TransferReceiverGone)
}

// abortHandover ends a handover whose pending part was not confirmed.
func (w *world) abortHandover(entry int, outcome TransferOutcome) {
	h := w.handovers[entry]
	h.pending = nil
	w.step(entry, &TransferResult{Outcome: outcome})
	if !w.cores[entry].ledger.Relinquished() {
		w.handovers[entry] = nil
	}
}

func (w *world) deliverUpdate(i int, again bool) {
	u := w.updates[i]
	if !again {
		w.updates = append(w.updates[:i], w.updates[i+1:]...)
	}
	w.step(u.to, &u.update)
}

func (w *world) randomStep() {
	switch rapid.IntRange(0, 11).Draw(w.t, "what") {
	case 0, 1:
		w.submit()
	case 2, 3, 4:
		if len(w.inFlight) > 0 {
			w.deliverTask(w.pick("sent task", len(w.inFlight)), w.pick("outcome", 6))
		}
	case 5:
		if len(w.delayedStarts) > 0 {
			w.startTask(w.delayedStarts[len(w.delayedStarts)-1])
			w.delayedStarts = w.delayedStarts[:len(w.delayedStarts)-1]
		}
	case 6:
		w.beginHandover(w.pick("entry", len(w.cores)), w.pick("receiver", len(w.cores)))
	case 7, 8:
		w.sendPart(w.pick("entry", len(w.cores)), rapid.Bool().Draw(w.t, "reply arrives"))
	case 9:
		if len(w.updates) > 0 {
			w.deliverUpdate(w.pick("update", len(w.updates)), rapid.Bool().Draw(w.t, "again"))
		}
	case 10:
		w.askOrCancel()
	case 11:
		w.rareStep()
	}
}

func (w *world) askOrCancel() {
	if len(w.ids) == 0 {
		return
	}
	id := w.ids[w.pick("job", len(w.ids))]
	entry := w.pick("entry", len(w.cores))
	if rapid.Bool().Draw(w.t, "cancel") {
		w.step(entry, &Cancel{ID: id})
		return
	}
	w.step(entry, &Ask{ID: id})
}

func (w *world) rareStep() {
	entry := w.pick("entry", len(w.cores))
	switch rapid.IntRange(0, 5).Draw(w.t, "rare") {
	case 0:
		w.crash(entry)
	case 1: // possibly too early
		w.step(entry, &OwnerGone{Incarnation: jobid.Incarnation(w.pick("gone", len(w.cores)) + 1)})
	default:
		w.now = w.now.Add(100 * time.Millisecond)
		w.step(entry, &Tick{})
	}
}

// drain completes everything in progress without further faults and checks that
// all jobs end.
func (w *world) drain() {
	for range 100 {
		for entry := range w.cores {
			w.sendPart(entry, true)
		}
		for len(w.inFlight) > 0 {
			w.deliverTask(0, 0)
		}
		for len(w.updates) > 0 {
			w.deliverUpdate(0, false)
		}
		for _, start := range w.delayedStarts {
			w.startTask(start)
		}
		w.delayedStarts = nil
		w.reportGoneOwners()
	}
	for entry, core := range w.cores {
		if core != nil && core.Open() != 0 && !core.ledger.Relinquished() {
			w.t.Fatalf("entry %d: %d jobs did not end", entry, core.Open())
		}
	}
}

// reportGoneOwners tells every core which processes have crashed.
func (w *world) reportGoneOwners() {
	w.now = w.now.Add(100 * time.Millisecond)
	for entry := range w.cores {
		for other, core := range w.cores {
			if core == nil {
				w.step(entry, &OwnerGone{Incarnation: jobid.Incarnation(other + 1)})
			}
		}
		w.step(entry, &Tick{})
	}
}

// TestJobGuaranteesHoldUnderRandomHandovers runs cores through random
// submissions, task outcomes, crashes and handovers.
func TestJobGuaranteesHoldUnderRandomHandovers(t *testing.T) {
	fixedseed.Use(1000)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: epoch, jobs: make(map[jobid.ID]*jobRecord)}
		for i := range rapid.IntRange(2, 3).Draw(t, "entries") {
			owner := jobid.Incarnation(i + 1)
			issuer, err := jobid.NewIssuer(owner, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
			if err != nil {
				t.Fatal(err)
			}
			w.cores = append(w.cores, newEntryCore(owner, 2))
			w.issuers = append(w.issuers, issuer)
		}
		w.handovers = make([]*handover, len(w.cores))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.randomStep()
		}
		w.drain()
	})
}
