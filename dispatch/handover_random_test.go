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

// simulation runs a few cores and an endpoint that does not deduplicate, and
// records what callers were told.
type simulation struct {
	t             *rapid.T
	now           time.Time
	cores         []*Core // nil: the process has crashed
	issuers       []*jobid.Issuer
	inFlight      []sentTask
	delayedStarts []Start // of attempts reported as lost; may still start
	updates       []pendingUpdate
	handovers     []*handover // by sending entry; nil: none
	jobs          map[jobid.ID]*jobHistory
	ids           []jobid.ID
}

// sentTask is a task that was sent to the endpoint, without a reply yet.
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

// jobHistory holds what happened to a job and what its caller was told.
type jobHistory struct {
	tasks     []string // services
	starts    []int
	succeeded bool
	failed    bool
	notRun    bool
}

func result(id jobid.ID, index int) []byte { return fmt.Appendf(nil, "%s/%d", id, index) }

// step applies an input to a core and carries out the resulting actions.
func (s *simulation) step(entry int, in Input) {
	core := s.cores[entry]
	if core == nil {
		return
	}
	ready := core.Step(s.now, in)
	for _, start := range ready.Starts {
		s.inFlight = append(s.inFlight, sentTask{entry, start})
	}
	for i := range ready.Answers {
		s.answered(&ready.Answers[i])
	}
	for _, r := range ready.Rejections {
		s.rejected(r)
	}
	if ready.Transfer != nil {
		s.handovers[entry].pending = ready.Transfer
	}
	if ready.HandedOver {
		s.handovers[entry].confirmed = true
	}
	for _, update := range ready.StatusUpdates {
		s.updates = append(s.updates, pendingUpdate{s.handovers[entry].receiver, update})
	}
}

func (s *simulation) answered(a *Answer) {
	job := s.jobs[a.ID]
	if a.Problem != nil {
		job.failed = job.failed || a.Problem.Execution != NotRun
		job.notRun = job.notRun || a.Problem.Execution == NotRun
		s.check(a.ID)
		return
	}
	job.succeeded = true
	for i := range job.tasks {
		if i >= len(a.Results) || !bytes.Equal(a.Results[i], result(a.ID, i)) {
			s.t.Fatalf("job %s: the results are %q, wrong for task %d", a.ID, a.Results, i)
		}
	}
	s.check(a.ID)
}

func (s *simulation) rejected(r Rejection) {
	job := s.jobs[r.ID]
	job.notRun = job.notRun || r.Problem.Execution == NotRun
	s.check(r.ID)
}

// startTask starts a task at the endpoint.
func (s *simulation) startTask(start Start) {
	s.jobs[start.Task.Job].starts[start.Task.Index]++
	s.check(start.Task.Job)
}

func (s *simulation) check(id jobid.ID) {
	job := s.jobs[id]
	for i, n := range job.starts {
		if n > 1 && job.tasks[i] == "booking" {
			s.t.Fatalf("job %s: task %d started %d times", id, i, n)
		}
		if n > 0 && job.notRun {
			s.t.Fatalf("job %s: reported as not run, but task %d started", id, i)
		}
	}
	if (job.succeeded && job.failed) || (job.succeeded && job.notRun) || (job.failed && job.notRun) {
		s.t.Fatalf("job %s: two outcomes: %+v", id, *job)
	}
}

func (s *simulation) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, what) }

func (s *simulation) submit() {
	owner := s.pick("owner", len(s.cores))
	id, _ := s.issuers[owner].Issue(epoch, time.Hour)
	tasks := rapid.SliceOfN(rapid.SampledFrom([]string{"booking", "valuation"}), 1, 4).Draw(s.t, "tasks")
	s.jobs[id] = &jobHistory{tasks: tasks, starts: make([]int, len(tasks))}
	s.ids = append(s.ids, id)
	in := &Submit{ID: id, Service: tasks[0]}
	for _, name := range tasks {
		in.Tasks = append(in.Tasks, TaskSpec{Service: name})
	}
	s.step(owner, in)
	if rapid.Bool().Draw(s.t, "replayed") {
		s.step(s.pick("entry", len(s.cores)), in)
	}
}

// deliverTask delivers a task to the endpoint and reports the given outcome to
// its sender.
func (s *simulation) deliverTask(i int, outcome int) {
	sent := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	task, attempt := sent.start.Task, sent.start.Attempt
	switch outcome {
	case 0:
		s.startTask(sent.start)
		s.step(sent.entry, &Done{Task: task, Attempt: attempt, RunTime: time.Millisecond, Result: result(task.Job, task.Index)})
	case 1:
		s.startTask(sent.start)
		s.step(sent.entry, &Failed{Task: task, Attempt: attempt, Detail: "failed"})
	case 2:
		s.step(sent.entry, &Refused{Task: task, Attempt: attempt})
	case 3:
		s.step(sent.entry, &Lost{Task: task, Attempt: attempt, NotSent: true})
	case 4:
		s.delayedStarts = append(s.delayedStarts, sent.start)
		s.step(sent.entry, &Lost{Task: task, Attempt: attempt})
	case 5: // the reply arrives twice
		s.startTask(sent.start)
		done := &Done{Task: task, Attempt: attempt, Result: result(task.Job, task.Index)}
		s.step(sent.entry, done)
		s.step(sent.entry, done)
	}
}

// crash ends a process. Its tasks in flight may start later.
func (s *simulation) crash(entry int) {
	s.cores[entry] = nil
	var remaining []sentTask
	for _, sent := range s.inFlight {
		if sent.entry == entry {
			s.delayedStarts = append(s.delayedStarts, sent.start)
			continue
		}
		remaining = append(remaining, sent)
	}
	s.inFlight = remaining
}

func (s *simulation) beginHandover(entry, receiver int) {
	if s.cores[entry] == nil || entry == receiver || s.handovers[entry] != nil {
		return
	}
	s.handovers[entry] = &handover{receiver: receiver}
	maxRecords := rapid.IntRange(1, 3).Draw(s.t, "max records")
	s.step(entry, &HandOver{To: jobid.Incarnation(receiver + 1), MaxRecords: maxRecords})
}

// sendPart sends the pending part of a handover.
func (s *simulation) sendPart(entry int, replyArrives bool) {
	h := s.handovers[entry]
	if h == nil || h.pending == nil || s.cores[entry] == nil {
		return
	}
	t := h.pending
	first := !h.sent
	if s.cores[h.receiver] == nil {
		s.receiverDown(entry, first)
		return
	}
	h.sent = true
	s.step(h.receiver, &Accept{Transfer: *t})
	refused := s.cores[h.receiver].ready.Acceptance.Err != nil
	switch {
	case !replyArrives:
		s.step(entry, &TransferResult{Outcome: TransferUncertain})
	case refused:
		s.abortHandover(entry, TransferRefused)
	default:
		h.pending, h.sent = nil, false
		s.step(entry, &TransferResult{Outcome: TransferConfirmed})
	}
}

// receiverDown reports the outcome of sending a part to a receiver that no
// longer runs. A failed dial proves that the part was not delivered only if the
// part was not sent before.
func (s *simulation) receiverDown(entry int, first bool) {
	if first {
		s.abortHandover(entry, TransferRefused)
		return
	}
	s.abortHandover(entry, TransferReceiverGone)
}

// abortHandover ends a handover whose pending part was not confirmed.
func (s *simulation) abortHandover(entry int, outcome TransferOutcome) {
	h := s.handovers[entry]
	h.pending = nil
	s.step(entry, &TransferResult{Outcome: outcome})
	if !s.cores[entry].ledger.Relinquished() {
		s.handovers[entry] = nil
	}
}

func (s *simulation) deliverUpdate(i int, again bool) {
	u := s.updates[i]
	if !again {
		s.updates = append(s.updates[:i], s.updates[i+1:]...)
	}
	s.step(u.to, &u.update)
}

func (s *simulation) randomStep() {
	switch rapid.IntRange(0, 11).Draw(s.t, "what") {
	case 0, 1:
		s.submit()
	case 2, 3, 4:
		if len(s.inFlight) > 0 {
			s.deliverTask(s.pick("sent task", len(s.inFlight)), s.pick("outcome", 6))
		}
	case 5:
		if len(s.delayedStarts) > 0 {
			s.startTask(s.delayedStarts[len(s.delayedStarts)-1])
			s.delayedStarts = s.delayedStarts[:len(s.delayedStarts)-1]
		}
	case 6:
		s.beginHandover(s.pick("entry", len(s.cores)), s.pick("receiver", len(s.cores)))
	case 7, 8:
		s.sendPart(s.pick("entry", len(s.cores)), rapid.Bool().Draw(s.t, "reply arrives"))
	case 9:
		if len(s.updates) > 0 {
			s.deliverUpdate(s.pick("update", len(s.updates)), rapid.Bool().Draw(s.t, "again"))
		}
	case 10:
		s.askOrCancel()
	case 11:
		s.rareStep()
	}
}

func (s *simulation) askOrCancel() {
	if len(s.ids) == 0 {
		return
	}
	id := s.ids[s.pick("job", len(s.ids))]
	entry := s.pick("entry", len(s.cores))
	if rapid.Bool().Draw(s.t, "cancel") {
		s.step(entry, &Cancel{ID: id})
		return
	}
	s.step(entry, &Ask{ID: id})
}

func (s *simulation) rareStep() {
	entry := s.pick("entry", len(s.cores))
	switch rapid.IntRange(0, 5).Draw(s.t, "rare") {
	case 0:
		s.crash(entry)
	case 1: // possibly too early
		s.step(entry, &OwnerGone{Incarnation: jobid.Incarnation(s.pick("gone", len(s.cores)) + 1)})
	default:
		s.now = s.now.Add(100 * time.Millisecond)
		s.step(entry, &Tick{})
	}
}

// drain completes everything in progress without further faults and checks that
// all jobs end.
func (s *simulation) drain() {
	for range 100 {
		for entry := range s.cores {
			s.sendPart(entry, true)
		}
		for len(s.inFlight) > 0 {
			s.deliverTask(0, 0)
		}
		for len(s.updates) > 0 {
			s.deliverUpdate(0, false)
		}
		for _, start := range s.delayedStarts {
			s.startTask(start)
		}
		s.delayedStarts = nil
		s.reportGoneOwners()
	}
	for entry, core := range s.cores {
		if core != nil && core.Open() != 0 && !core.ledger.Relinquished() {
			s.t.Fatalf("entry %d: %d jobs did not end", entry, core.Open())
		}
	}
}

// reportGoneOwners tells every core which processes have crashed.
func (s *simulation) reportGoneOwners() {
	s.now = s.now.Add(100 * time.Millisecond)
	for entry := range s.cores {
		for other, core := range s.cores {
			if core == nil {
				s.step(entry, &OwnerGone{Incarnation: jobid.Incarnation(other + 1)})
			}
		}
		s.step(entry, &Tick{})
	}
}

// TestJobGuaranteesHoldUnderRandomHandovers runs cores through random
// submissions, task outcomes, crashes and handovers.
func TestJobGuaranteesHoldUnderRandomHandovers(t *testing.T) {
	fixedseed.Use(1000)
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: epoch, jobs: make(map[jobid.ID]*jobHistory)}
		for i := range rapid.IntRange(2, 3).Draw(t, "entries") {
			owner := jobid.Incarnation(i + 1)
			issuer, err := jobid.NewIssuer(owner, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
			if err != nil {
				t.Fatal(err)
			}
			s.cores = append(s.cores, newEntryCore(owner, 2))
			s.issuers = append(s.issuers, issuer)
		}
		s.handovers = make([]*handover, len(s.cores))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.randomStep()
		}
		s.drain()
	})
}
