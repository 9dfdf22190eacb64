package dispatch

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

// stopping is an entry that hands over to another one.
type stopping struct {
	t    *testing.T
	a, b *Core
	ids  *jobid.Issuer
}

func entryCore(owner jobid.Incarnation, slots int) *Core {
	core := New(Options{Rand: rand.New(rand.NewPCG(1, 2)), Owner: owner})
	core.Step(epoch, &SetCatalog{Catalog: &catalog.Catalog{Services: []catalog.Service{
		{Name: "booking", Slots: slots, Timeout: time.Minute},
		{Name: "valuation", Idempotent: true, Slots: slots, Timeout: time.Minute},
	}}})
	core.Step(epoch, &SetEndpoints{Endpoints: []Endpoint{
		{Name: "b1", Service: "booking", Slots: slots},
		{Name: "v1", Service: "valuation", Slots: slots},
	}})
	return core
}

func newStopping(t *testing.T, slots int) *stopping {
	t.Helper()
	ids, err := jobid.NewIssuer(1, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	return &stopping{t: t, a: entryCore(1, slots), b: entryCore(2, slots), ids: ids}
}

// submit offers a job with one task a service and returns its starts.
func (s *stopping) submit(services ...string) (jobid.ID, []Start) {
	s.t.Helper()
	id, _ := s.ids.Issue(epoch, time.Hour)
	in := &Submit{ID: id, Service: services[0]}
	for _, name := range services {
		in.Tasks = append(in.Tasks, TaskSpec{Service: name})
	}
	ready := s.a.Step(epoch, in)
	if len(ready.Admissions) != 1 {
		s.t.Fatalf("not admitted: %+v", ready.Rejections)
	}
	return id, append([]Start(nil), ready.Starts...)
}

// exchange hands over up to the last part, which it returns unsent.
func (s *stopping) exchange(maxRecords int) *Transfer {
	s.t.Helper()
	ready := s.a.Step(epoch, &HandOver{To: 2, MaxRecords: maxRecords})
	for ready.Transfer != nil && !ready.Transfer.Part.Last {
		s.accept(ready.Transfer, false)
		s.accept(ready.Transfer, false)
		ready = s.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	}
	if ready.Transfer == nil {
		s.t.Fatal("no last part")
	}
	return ready.Transfer
}

func (s *stopping) accept(t *Transfer, done bool) *Ready {
	s.t.Helper()
	ready := s.b.Step(epoch, &Accept{Transfer: *t})
	if got := ready.Acceptance; got == nil || got.Err != nil || got.Done != done {
		s.t.Fatalf("acceptance: %+v, want done = %t", got, done)
	}
	return ready
}

func requireAnswer(t *testing.T, ready *Ready, results ...string) {
	t.Helper()
	if len(ready.Answers) != 1 || ready.Answers[0].Problem != nil {
		t.Fatalf("answers: %+v", ready.Answers)
	}
	for i, want := range results {
		if got := ready.Answers[0].Results[i]; !bytes.Equal(got, []byte(want)) {
			t.Fatalf("result %d is %q, want %q", i, got, want)
		}
	}
}

func requireProblem(t *testing.T, ready *Ready, code Code, execution Execution) {
	t.Helper()
	if len(ready.Answers) != 1 || ready.Answers[0].Problem == nil {
		t.Fatalf("answers: %+v", ready.Answers)
	}
	if p := ready.Answers[0].Problem; p.Code != code || p.Execution != execution {
		t.Fatalf("problem: %+v, want %s, %s", p, code, execution)
	}
}

func TestSuccessorCompletesAJobThatWasHalfDone(t *testing.T) {
	s := newStopping(t, 2)
	id, starts := s.submit("booking", "booking", "booking")
	if len(starts) != 2 {
		t.Fatalf("%d starts for 2 slots", len(starts))
	}
	results := map[int]string{0: "a", 1: "b", 2: "c"}
	answer := func(core *Core, start Start) *Ready {
		return core.Step(epoch, &Done{Task: start.Task, Attempt: start.Attempt, Result: []byte(results[start.Task.Index])})
	}
	last := s.exchange(1)
	ready := s.accept(last, true)
	if len(ready.Starts) != 1 || ready.Starts[0].Task.Index == starts[0].Task.Index || ready.Starts[0].Task.Index == starts[1].Task.Index {
		t.Fatalf("the successor starts %+v", ready.Starts)
	}
	third := ready.Starts[0]
	if told := answer(s.a, starts[0]).Told; len(told) != 0 {
		t.Fatalf("told while the last part is in doubt: %+v", told)
	}
	if got := s.a.Step(epoch, &Ask{ID: id}); len(got.Rejections)+len(got.Admissions) != 0 {
		t.Fatalf("a caller is answered while the last part is in doubt: %+v", got)
	}
	confirmed := s.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	if !confirmed.HandedOver || len(confirmed.Moved) != 1 || len(confirmed.Told) != 1 || len(confirmed.Rejections) != 1 {
		t.Fatalf("confirmed: %+v", confirmed.Succession)
	}
	s.b.Step(epoch, &confirmed.Told[0])
	s.b.Step(epoch, &confirmed.Told[0]) // twice
	if s.a.Idle() {
		t.Fatal("the former owner exits with a task in flight")
	}
	told := answer(s.a, starts[1]).Told
	if len(told) != 1 || !s.a.Idle() {
		t.Fatalf("told: %+v", told)
	}
	if got := s.b.Step(epoch, &told[0]).Answers; len(got) != 0 {
		t.Fatalf("answered before its last task: %+v", got)
	}
	requireAnswer(t, answer(s.b, third), "a", "b", "c")
}

func TestReAskOfAnEndedJobFindsItsAnswerAtTheSuccessor(t *testing.T) {
	s := newStopping(t, 2)
	before, starts := s.submit("booking")
	s.a.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("a")})
	during, starts := s.submit("booking")
	transfer := s.a.Step(epoch, &HandOver{To: 2, MaxRecords: 1}).Transfer
	s.a.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("b")})
	for !transfer.Part.Last {
		s.accept(transfer, false)
		transfer = s.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed}).Transfer
	}
	s.accept(transfer, true)
	requireAnswer(t, s.b.Step(epoch, &Ask{ID: before}), "a")
	requireAnswer(t, s.b.Step(epoch, &Ask{ID: during}), "b")
	s.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	if got := s.a.Step(epoch, &Ask{ID: before}).Rejections; len(got) != 1 || got[0].Problem.Code != CodeNotOwner {
		t.Fatalf("the former owner answers %+v", got)
	}
}

func TestLastPartIsSentAgainAfterALostReply(t *testing.T) {
	s := newStopping(t, 1)
	_, starts := s.submit("booking", "booking")
	last := s.exchange(10)
	first := s.accept(last, true)
	if len(first.Starts) != 1 {
		t.Fatalf("starts: %+v", first.Starts)
	}
	again := s.a.Step(epoch, &TransferResult{Outcome: TransferUnsure})
	if again.Transfer == nil || !again.Transfer.Part.Last {
		t.Fatal("the last part is not sent again")
	}
	if got := s.accept(again.Transfer, true).Starts; len(got) != 0 {
		t.Fatalf("started again: %+v", got)
	}
	if got := s.a.Step(epoch, &Tick{}).Starts; len(got) != 0 || len(starts) != 1 {
		t.Fatalf("the former owner starts %+v", got)
	}
}

func TestRefusedHandOverIsTakenBack(t *testing.T) {
	s := newStopping(t, 1)
	_, starts := s.submit("booking", "booking")
	s.exchange(10)
	ready := s.a.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("x")})
	if len(ready.Starts) != 0 {
		t.Fatalf("started while in doubt: %+v", ready.Starts)
	}
	ready = s.a.Step(epoch, &TransferResult{Outcome: TransferRefused})
	if len(ready.Starts) != 1 || ready.Starts[0].Task.Index == starts[0].Task.Index {
		t.Fatalf("does not serve on: %+v", ready.Starts)
	}
	ready = s.a.Step(epoch, &Done{Task: ready.Starts[0].Task, Attempt: 1, Result: []byte("x")})
	requireAnswer(t, ready, "x", "x")
	if s.a.Open() != 0 || !s.a.Idle() {
		t.Fatal("jobs left")
	}
}

func TestJobsAreUnknownIfTheSuccessorDiesInDoubt(t *testing.T) {
	s := newStopping(t, 1)
	id, _ := s.submit("booking", "booking")
	s.exchange(10)
	ready := s.a.Step(epoch, &TransferResult{Outcome: TransferHopeless})
	if len(ready.Rejections) != 1 || ready.Rejections[0].ID != id || ready.Rejections[0].Problem.Execution != Unknown {
		t.Fatalf("rejections: %+v", ready.Rejections)
	}
}

func TestSuccessorThatDiesMidwayCostsNothing(t *testing.T) {
	s := newStopping(t, 1)
	s.submit("booking")
	s.submit("booking")
	ready := s.a.Step(epoch, &HandOver{To: 2, MaxRecords: 1})
	if ready.Transfer.Part.Last {
		t.Fatal("one part only")
	}
	s.a.Step(epoch, &TransferResult{Outcome: TransferHopeless})
	s.b = entryCore(3, 1)
	ready = s.a.Step(epoch, &HandOver{To: 3})
	if got := s.accept(ready.Transfer, true).Starts; len(got) != 1 {
		t.Fatalf("the second successor starts %+v, want the waiting task", got)
	}
}

func TestTasksOfAFormerOwnerThatDies(t *testing.T) {
	s := newStopping(t, 1)
	lost, _ := s.submit("booking")
	again, _ := s.submit("valuation")
	s.accept(s.exchange(10), true)
	ready := s.b.Step(epoch, &Gone{Incarnation: 1})
	requireProblem(t, ready, CodeTaskLost, Ran)
	if ready.Answers[0].ID != lost {
		t.Fatalf("answered %v", ready.Answers[0].ID)
	}
	if len(ready.Starts) != 1 || ready.Starts[0].Task.Job != again || ready.Starts[0].Attempt != 2 {
		t.Fatalf("starts: %+v, want the idempotent task", ready.Starts)
	}
	late := &Told{Task: TaskRef{Job: lost}, Attempt: 1, Fate: ledger.AttemptDone, Result: []byte("x")}
	if got := s.b.Step(epoch, late).Answers; len(got) != 0 {
		t.Fatalf("a second outcome: %+v", got)
	}
}

func TestFateToldThroughTwoSuccessors(t *testing.T) {
	s := newStopping(t, 1)
	_, starts := s.submit("booking")
	s.accept(s.exchange(10), true)
	s.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	second := &stopping{t: t, a: s.b, b: entryCore(3, 1)}
	ready := second.a.Step(epoch, &HandOver{To: 3})
	second.accept(ready.Transfer, true)
	second.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	told := s.a.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("x")}).Told
	onward := s.b.Step(epoch, &told[0]).Told
	if len(onward) != 1 {
		t.Fatalf("told onward: %+v", onward)
	}
	requireAnswer(t, second.b.Step(epoch, &onward[0]), "x")
}

func TestLeavingEntryRefusesAHandOver(t *testing.T) {
	s := newStopping(t, 1)
	s.submit("booking")
	last := s.exchange(10)
	s.b.Step(epoch, &HandOver{To: 1})
	ready := s.b.Step(epoch, &Accept{Transfer: *last})
	var leaving *ledger.StoppingError
	if ready.Acceptance == nil || !errors.As(ready.Acceptance.Err, &leaving) {
		t.Fatalf("acceptance: %+v", ready.Acceptance)
	}
}

func TestUnknownServiceAtTheSuccessorEndsTheJob(t *testing.T) {
	s := newStopping(t, 1)
	s.submit("booking")
	waiting, _ := s.submit("booking")
	last := s.exchange(10)
	s.b.Step(epoch, &SetCatalog{Catalog: &catalog.Catalog{}})
	ready := s.accept(last, true)
	if len(ready.Answers) != 2 || ready.Answers[0].Problem.Execution != Ran || ready.Answers[1].Problem.Execution != NotRun {
		t.Fatalf("answers: %+v", ready.Answers)
	}
	if got := s.b.Step(epoch, &Ask{ID: waiting}).Answers; len(got) != 1 || got[0].Problem.Code != CodeUnknownService {
		t.Fatalf("asked again: %+v", got)
	}
}

func TestPartsAreBoundedInBytes(t *testing.T) {
	const jobs, bytes = 20, 100
	s := newStopping(t, jobs)
	for range jobs {
		id, _ := s.ids.Issue(epoch, time.Hour)
		s.a.Step(epoch, &Submit{ID: id, Service: "booking", Tasks: make([]TaskSpec, 1), Bytes: bytes})
	}
	transfer := s.a.Step(epoch, &HandOver{To: 2, MaxBytes: 3 * bytes}).Transfer
	parts := 1
	for !transfer.Part.Last {
		if n := len(transfer.Jobs); n > 3 {
			t.Fatalf("%d jobs of %d bytes in a part of %d", n, bytes, 3*bytes)
		}
		s.accept(transfer, false)
		transfer = s.a.Step(epoch, &TransferResult{Outcome: TransferConfirmed}).Transfer
		parts++
	}
	s.accept(transfer, true)
	if parts != 7 || s.b.Open() != jobs {
		t.Fatalf("%d jobs in %d parts, want %d in 7", s.b.Open(), parts, jobs)
	}
}
