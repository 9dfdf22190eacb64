package keep_test

import (
	"context"
	"testing"
	"time"

	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep/keeptest"
)

// Guards against "no such job" while the append of the job is uncertain: the log does not
// answer, and may have carried it out.
func TestCancellationWaitsForAnUncertainAppend(t *testing.T) {
	log := keeptest.NewLog()
	o := newTestOwner(t, log)
	o.shouldOwn.Store(true)
	o.accept(t, job(1))
	log.SetFaults(keeptest.Faults{Unresponsive: true})
	accepted := make(chan stored.Result, 1)
	go func() { accepted <- o.Accept(context.Background(), job(2)) }()
	time.Sleep(50 * time.Millisecond) // until the append is under way
	left, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if r := o.Cancel(left, "j2"); r != stored.Uncertain {
		t.Errorf("cancel during the append: %v, want uncertain", r)
	}
	log.SetFaults(keeptest.Faults{})
	if r := <-accepted; r != stored.Stored {
		t.Errorf("accept: %v, want stored", r)
	}
	if r := o.Cancel(context.Background(), "j2"); r != stored.Stored {
		t.Errorf("cancel: %v, want stored", r)
	}
	o.wantState(t, "j2", stored.Cancelled)
	for _, offered := range o.offered() {
		if offered.ID == "j2" {
			t.Error("the job was offered, though its cancellation was waiting")
		}
	}
}

// Guards against a submission that the next owner accepts after the cancellation of the job was
// answered with "no such job", and against a cancellation that an owner answers so although it
// has been replaced.
func TestCancellationOfUnknownJobIsKnownToTheNextOwner(t *testing.T) {
	log := keeptest.NewLog()
	first, second := newTestOwner(t, log), newTestOwner(t, log)
	first.shouldOwn.Store(true)
	first.accept(t, job(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if r := first.Cancel(ctx, "j2"); r != stored.NoSuchJob {
		t.Fatalf("cancel: %v, want no such job", r)
	}
	second.shouldOwn.Store(true)
	second.accept(t, job(3))
	if r := second.Accept(ctx, job(2)); r != stored.AlreadyCancelled {
		t.Errorf("the next owner answers a submission with %v, want already cancelled", r)
	}
	if r := first.Cancel(ctx, "j4"); r == stored.NoSuchJob {
		t.Error("an owner that was replaced says that there is no such job")
	}
}
