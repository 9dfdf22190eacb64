package keep_test

import (
	"context"
	"testing"
	"time"

	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep/keeptest"
)

// Guards against "no such job" about a job that is being stored, to a caller who asks for its
// state or who submits it again when no endpoint is large enough any more.
func TestStateWaitsForAnAppendUnderWay(t *testing.T) {
	log := keeptest.NewLog()
	o := newTestOwner(t, log)
	o.shouldOwn.Store(true)
	o.accept(t, job(1))
	log.SetFaults(keeptest.Faults{Unresponsive: true})
	accepted := make(chan stored.Result, 1)
	go func() { accepted <- o.Accept(context.Background(), job(2)) }()
	time.Sleep(50 * time.Millisecond) // until the append is under way
	asked := make(chan stored.State, 1)
	go func() {
		state, _ := o.State(context.Background(), "j2")
		asked <- state
	}()
	select {
	case state := <-asked:
		t.Fatalf("state %v during the append", state)
	case <-time.After(100 * time.Millisecond):
	}
	log.SetFaults(keeptest.Faults{})
	if r := <-accepted; r != stored.Stored {
		t.Errorf("accept: %v, want stored", r)
	}
	if state := <-asked; state == stored.Unknown {
		t.Error("there is no such job, though it was being stored when its caller asked")
	}
}
