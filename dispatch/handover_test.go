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

// handoverPair is an entry that hands its jobs over to another entry.
type handoverPair struct {
	t                *testing.T
	sender, receiver *Core
	ids              *jobid.Issuer
}

func newEntryCore(owner jobid.Incarnation, slots int) *Core {
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

func newHandoverPair(t *testing.T, slots int) *handoverPair {
	t.Helper()
	ids, err := jobid.NewIssuer(1, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	return &handoverPair{t: t, sender: newEntryCore(1, slots), receiver: newEntryCore(2, slots), ids: ids}
}

// submit submits a job to the sender, with one task for each of the services,
// and returns its starts.
func (p *handoverPair) submit(services ...string) (jobid.ID, []Start) {
	p.t.Helper()
	id, _ := p.ids.Issue(epoch, time.Hour)
	in := &Submit{ID: id, Service: services[0]}
	for _, name := range services {
		in.Tasks = append(in.Tasks, TaskSpec{Service: name})
	}
	ready := p.sender.Step(epoch, in)
	if len(ready.Admissions) != 1 {
		p.t.Fatalf("not admitted: %+v", ready.Rejections)
	}
	return id, append([]Start(nil), ready.Starts...)
}

// handOverToLastPart performs the handover up to the last part, which it returns
// without sending it. Each earlier part is delivered twice.
func (p *handoverPair) handOverToLastPart(maxRecords int) *Transfer {
	p.t.Helper()
	ready := p.sender.Step(epoch, &HandOver{To: 2, MaxRecords: maxRecords})
	for ready.Transfer != nil && !ready.Transfer.Part.Last {
		p.accept(ready.Transfer, false)
		p.accept(ready.Transfer, false)
		ready = p.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	}
	if ready.Transfer == nil {
		p.t.Fatal("no last part")
	}
	return ready.Transfer
}

func (p *handoverPair) accept(t *Transfer, done bool) *Ready {
	p.t.Helper()
	ready := p.receiver.Step(epoch, &Accept{Transfer: *t})
	if got := ready.Acceptance; got == nil || got.Err != nil || got.Done != done {
		p.t.Fatalf("acceptance: %+v, want done = %t", got, done)
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

func TestReceiverCompletesPartlyDoneJob(t *testing.T) {
	p := newHandoverPair(t, 2)
	id, starts := p.submit("booking", "booking", "booking")
	if len(starts) != 2 {
		t.Fatalf("%d starts for 2 slots", len(starts))
	}
	results := map[int]string{0: "a", 1: "b", 2: "c"}
	finish := func(core *Core, start Start) *Ready {
		return core.Step(epoch, &Done{Task: start.Task, Attempt: start.Attempt, Result: []byte(results[start.Task.Index])})
	}
	last := p.handOverToLastPart(1)
	ready := p.accept(last, true)
	if len(ready.Starts) != 1 || ready.Starts[0].Task.Index == starts[0].Task.Index || ready.Starts[0].Task.Index == starts[1].Task.Index {
		t.Fatalf("the receiver starts %+v, want the third task", ready.Starts)
	}
	third := ready.Starts[0]
	if updates := finish(p.sender, starts[0]).StatusUpdates; len(updates) != 0 {
		t.Fatalf("status forwarded before the last part is confirmed: %+v", updates)
	}
	if got := p.sender.Step(epoch, &Ask{ID: id}); len(got.Rejections)+len(got.Admissions) != 0 {
		t.Fatalf("a caller is answered before the last part is confirmed: %+v", got)
	}
	confirmed := p.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	if !confirmed.HandedOver || len(confirmed.MovedJobs) != 1 || len(confirmed.StatusUpdates) != 1 || len(confirmed.Rejections) != 1 {
		t.Fatalf("confirmed: %+v", confirmed.HandoverActions)
	}
	p.receiver.Step(epoch, &confirmed.StatusUpdates[0])
	p.receiver.Step(epoch, &confirmed.StatusUpdates[0]) // twice
	if p.sender.Idle() {
		t.Fatal("the sender is idle with a task in flight")
	}
	updates := finish(p.sender, starts[1]).StatusUpdates
	if len(updates) != 1 || !p.sender.Idle() {
		t.Fatalf("status updates: %+v, want one, and an idle sender", updates)
	}
	if got := p.receiver.Step(epoch, &updates[0]).Answers; len(got) != 0 {
		t.Fatalf("answered before its last task ended: %+v", got)
	}
	requireAnswer(t, finish(p.receiver, third), "a", "b", "c")
}

func TestReceiverAnswersAskForEndedJob(t *testing.T) {
	p := newHandoverPair(t, 2)
	before, starts := p.submit("booking")
	p.sender.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("a")})
	during, starts := p.submit("booking")
	transfer := p.sender.Step(epoch, &HandOver{To: 2, MaxRecords: 1}).Transfer
	p.sender.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("b")})
	for !transfer.Part.Last {
		p.accept(transfer, false)
		transfer = p.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed}).Transfer
	}
	p.accept(transfer, true)
	requireAnswer(t, p.receiver.Step(epoch, &Ask{ID: before}), "a")
	requireAnswer(t, p.receiver.Step(epoch, &Ask{ID: during}), "b")
	p.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	if got := p.sender.Step(epoch, &Ask{ID: before}).Rejections; len(got) != 1 || got[0].Problem.Code != CodeNotOwner {
		t.Fatalf("the sender answers %+v", got)
	}
}

func TestLastPartIsResentAfterLostReply(t *testing.T) {
	p := newHandoverPair(t, 1)
	_, starts := p.submit("booking", "booking")
	last := p.handOverToLastPart(10)
	first := p.accept(last, true)
	if len(first.Starts) != 1 {
		t.Fatalf("starts: %+v", first.Starts)
	}
	again := p.sender.Step(epoch, &TransferResult{Outcome: TransferUncertain})
	if again.Transfer == nil || !again.Transfer.Part.Last {
		t.Fatal("the last part is not resent")
	}
	if got := p.accept(again.Transfer, true).Starts; len(got) != 0 {
		t.Fatalf("started again: %+v", got)
	}
	if got := p.sender.Step(epoch, &Tick{}).Starts; len(got) != 0 || len(starts) != 1 {
		t.Fatalf("the sender starts %+v", got)
	}
}

func TestRefusedHandoverIsCancelled(t *testing.T) {
	p := newHandoverPair(t, 1)
	_, starts := p.submit("booking", "booking")
	p.handOverToLastPart(10)
	ready := p.sender.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("x")})
	if len(ready.Starts) != 0 {
		t.Fatalf("started before the outcome of the last part is known: %+v", ready.Starts)
	}
	ready = p.sender.Step(epoch, &TransferResult{Outcome: TransferRefused})
	if len(ready.Starts) != 1 || ready.Starts[0].Task.Index == starts[0].Task.Index {
		t.Fatalf("the sender does not continue to serve: %+v", ready.Starts)
	}
	ready = p.sender.Step(epoch, &Done{Task: ready.Starts[0].Task, Attempt: 1, Result: []byte("x")})
	requireAnswer(t, ready, "x", "x")
	if p.sender.Open() != 0 || !p.sender.Idle() {
		t.Fatal("the sender has open jobs or running tasks")
	}
}

func TestOutcomeIsUnknownIfReceiverDiesBeforeConfirmingLastPart(t *testing.T) {
	p := newHandoverPair(t, 1)
	id, _ := p.submit("booking", "booking")
	p.handOverToLastPart(10)
	ready := p.sender.Step(epoch, &TransferResult{Outcome: TransferReceiverGone})
	if len(ready.Rejections) != 1 || ready.Rejections[0].ID != id || ready.Rejections[0].Problem.Execution != Unknown {
		t.Fatalf("rejections: %+v", ready.Rejections)
	}
}

func TestHandoverIsCancelledIfReceiverDiesBeforeLastPart(t *testing.T) {
	p := newHandoverPair(t, 1)
	p.submit("booking")
	p.submit("booking")
	ready := p.sender.Step(epoch, &HandOver{To: 2, MaxRecords: 1})
	if ready.Transfer.Part.Last {
		t.Fatal("the handover has only one part")
	}
	p.sender.Step(epoch, &TransferResult{Outcome: TransferReceiverGone})
	p.receiver = newEntryCore(3, 1)
	ready = p.sender.Step(epoch, &HandOver{To: 3})
	if got := p.accept(ready.Transfer, true).Starts; len(got) != 1 {
		t.Fatalf("the second receiver starts %+v, want the waiting task", got)
	}
}

func TestOwnerGoneResolvesItsRunningTasks(t *testing.T) {
	p := newHandoverPair(t, 1)
	lost, _ := p.submit("booking")
	idempotent, _ := p.submit("valuation")
	p.accept(p.handOverToLastPart(10), true)
	ready := p.receiver.Step(epoch, &OwnerGone{Incarnation: 1})
	requireProblem(t, ready, CodeTaskLost, Ran)
	if ready.Answers[0].ID != lost {
		t.Fatalf("answered %v", ready.Answers[0].ID)
	}
	if len(ready.Starts) != 1 || ready.Starts[0].Task.Job != idempotent || ready.Starts[0].Attempt != 2 {
		t.Fatalf("starts: %+v, want the idempotent task", ready.Starts)
	}
	late := &StatusUpdate{Task: TaskRef{Job: lost}, Attempt: 1, Status: ledger.AttemptDone, Result: []byte("x")}
	if got := p.receiver.Step(epoch, late).Answers; len(got) != 0 {
		t.Fatalf("a second outcome: %+v", got)
	}
}

func TestStatusIsForwardedThroughTwoHandovers(t *testing.T) {
	p := newHandoverPair(t, 1)
	_, starts := p.submit("booking")
	p.accept(p.handOverToLastPart(10), true)
	p.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	second := &handoverPair{t: t, sender: p.receiver, receiver: newEntryCore(3, 1)}
	ready := second.sender.Step(epoch, &HandOver{To: 3})
	second.accept(ready.Transfer, true)
	second.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed})
	updates := p.sender.Step(epoch, &Done{Task: starts[0].Task, Attempt: 1, Result: []byte("x")}).StatusUpdates
	forwarded := p.receiver.Step(epoch, &updates[0]).StatusUpdates
	if len(forwarded) != 1 {
		t.Fatalf("status updates of the second sender: %+v", forwarded)
	}
	requireAnswer(t, second.receiver.Step(epoch, &forwarded[0]), "x")
}

func TestSenderRefusesHandoverFromOthers(t *testing.T) {
	p := newHandoverPair(t, 1)
	p.submit("booking")
	last := p.handOverToLastPart(10)
	p.receiver.Step(epoch, &HandOver{To: 1})
	ready := p.receiver.Step(epoch, &Accept{Transfer: *last})
	var stopping *ledger.StoppingError
	if ready.Acceptance == nil || !errors.As(ready.Acceptance.Err, &stopping) {
		t.Fatalf("acceptance: %+v", ready.Acceptance)
	}
}

func TestJobWithServiceUnknownToReceiverFails(t *testing.T) {
	p := newHandoverPair(t, 1)
	p.submit("booking")
	waiting, _ := p.submit("booking")
	last := p.handOverToLastPart(10)
	p.receiver.Step(epoch, &SetCatalog{Catalog: &catalog.Catalog{}})
	ready := p.accept(last, true)
	if len(ready.Answers) != 2 || ready.Answers[0].Problem.Execution != Ran || ready.Answers[1].Problem.Execution != NotRun {
		t.Fatalf("answers: %+v", ready.Answers)
	}
	if got := p.receiver.Step(epoch, &Ask{ID: waiting}).Answers; len(got) != 1 || got[0].Problem.Code != CodeUnknownService {
		t.Fatalf("asked again: %+v", got)
	}
}

func TestPartSizeIsBoundedInBytes(t *testing.T) {
	const jobs, bytes = 20, 100
	p := newHandoverPair(t, jobs)
	for range jobs {
		id, _ := p.ids.Issue(epoch, time.Hour)
		p.sender.Step(epoch, &Submit{ID: id, Service: "booking", Tasks: make([]TaskSpec, 1), Bytes: bytes})
	}
	transfer := p.sender.Step(epoch, &HandOver{To: 2, MaxBytes: 3 * bytes}).Transfer
	parts := 1
	for !transfer.Part.Last {
		if n := len(transfer.Jobs); n > 3 {
			t.Fatalf("%d jobs of %d bytes in a part of %d", n, bytes, 3*bytes)
		}
		p.accept(transfer, false)
		transfer = p.sender.Step(epoch, &TransferResult{Outcome: TransferConfirmed}).Transfer
		parts++
	}
	p.accept(transfer, true)
	if parts != 7 || p.receiver.Open() != jobs {
		t.Fatalf("%d jobs in %d parts, want %d in 7", p.receiver.Open(), parts, jobs)
	}
}
