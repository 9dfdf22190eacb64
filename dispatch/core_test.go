package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
)

var epoch = time.Unix(1_700_000_000, 0)

func newID(t *testing.T) jobid.ID {
	t.Helper()
	issuer, err := jobid.NewIssuer(1, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	id, _ := issuer.Issue(epoch, time.Hour)
	return id
}

func newCore(idempotent bool) *Core {
	core := New(Options{Rand: rand.New(rand.NewPCG(1, 2))})
	core.Step(epoch, &SetCatalog{Catalog: &catalog.Catalog{Services: []catalog.Service{
		{Name: "booking", Idempotent: idempotent, Slots: 2, Timeout: time.Second},
	}}})
	core.Step(epoch, &SetEndpoints{Endpoints: []Endpoint{
		{Name: "e1", Address: "127.0.0.1:1", Service: "booking", Slots: 2},
	}})
	return core
}

func TestJobEndsWithEveryResult(t *testing.T) {
	core := newCore(false)
	id := newID(t)
	ready := core.Step(epoch, &Submit{ID: id, Service: "booking", Tasks: make([]TaskSpec, 3)})
	if len(ready.Starts) != 2 {
		t.Fatalf("%d starts for 2 slots", len(ready.Starts))
	}
	core.Step(epoch, &Done{Task: TaskRef{id, 0}, Attempt: 1, Result: []byte("a")})
	core.Step(epoch, &Done{Task: TaskRef{id, 2}, Attempt: 1, Result: []byte("c")})
	ready = core.Step(epoch, &Done{Task: TaskRef{id, 1}, Attempt: 1, Result: []byte("b")})
	if len(ready.Answers) != 1 || ready.Answers[0].Problem != nil || len(ready.Answers[0].Results) != 3 {
		t.Fatalf("answers: %+v", ready.Answers)
	}
}

func TestLostNonIdempotentTaskIsNotSentAgain(t *testing.T) {
	core := newCore(false)
	id := newID(t)
	core.Step(epoch, &Submit{ID: id, Service: "booking", Tasks: make([]TaskSpec, 1)})
	ready := core.Step(epoch, &Lost{Task: TaskRef{id, 0}, Attempt: 1})
	if len(ready.Starts) != 0 {
		t.Fatalf("sent again: %+v", ready.Starts)
	}
	if len(ready.Answers) != 1 || ready.Answers[0].Problem == nil {
		t.Fatalf("answers: %+v", ready.Answers)
	}
}

func TestUnsentTaskIsSentAgain(t *testing.T) {
	core := newCore(false)
	id := newID(t)
	core.Step(epoch, &Submit{ID: id, Service: "booking", Tasks: make([]TaskSpec, 1)})
	ready := core.Step(epoch, &Lost{Task: TaskRef{id, 0}, Attempt: 1, NotSent: true})
	if len(ready.Starts) != 1 || ready.Starts[0].Attempt != 2 {
		t.Fatalf("starts: %+v", ready.Starts)
	}
}

func TestCancelledJobGivesItsSlotsBack(t *testing.T) {
	core := newCore(false)
	first, second := newID(t), newID(t)
	second.Sequence++
	core.Step(epoch, &Submit{ID: first, Service: "booking", Tasks: make([]TaskSpec, 2)})
	core.Step(epoch, &Cancel{ID: first})
	core.Step(epoch, &Done{Task: TaskRef{first, 0}, Attempt: 1})
	core.Step(epoch, &Done{Task: TaskRef{first, 1}, Attempt: 1})
	ready := core.Step(epoch, &Submit{ID: second, Service: "booking", Tasks: make([]TaskSpec, 2)})
	if len(ready.Starts) != 2 {
		t.Fatalf("%d starts for 2 slots", len(ready.Starts))
	}
}
