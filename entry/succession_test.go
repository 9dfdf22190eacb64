package entry

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"testing"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/handover"
	"lovagespread.example/entry/peerclient"
	"lovagespread.example/entry/succession"
	"lovagespread.example/peer/peerpb"
)

// unreachablePeers fails every handover as not delivered.
type unreachablePeers struct{}

func (unreachablePeers) HandOver(context.Context, string, *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	return nil, &peerclient.NotDeliveredError{Cause: errors.New("cut off")}
}

// stopWithoutSuccessor stops the entry gracefully while its handover reaches no
// other entry, so that its ledger is lost.
func (r *runningEntry) stopWithoutSuccessor() {
	r.t.Helper()
	secret, err := hex.DecodeString(testKey)
	if err != nil {
		r.t.Fatal(err)
	}
	verifier, err := jobid.NewVerifier(jobid.Key{Number: 1, Secret: secret})
	if err != nil {
		r.t.Fatal(err)
	}
	r.handoverSender = succession.NewSender(succession.Options{
		Self:         incarnationOf(r.self),
		Loop:         r.engine.loop,
		Codec:        handover.Codec{Verifier: verifier},
		Peers:        unreachablePeers{},
		CountMessage: func(string) {},
		Log:          r.log.Logger,
	})
	r.stop()
}

func TestPlannedStopHandsOverJobs(t *testing.T) {
	b := newTestbed(t)
	b.addEndpoint("e1", "booking")
	owner := b.start(b.settings("entry-1"))
	successor := b.start(b.settings("entry-2"))
	b.awaitPeers(owner, successor)
	ended, open, later := owner.newID(), owner.newID(), owner.newID()
	endedAnswer := owner.do(http.MethodPut, "/v1/jobs/"+ended+"?wait=10s", jobBody("booking", 2, 1)).answer(t)
	checkResults(t, endedAnswer, 2)

	const tasks = 12
	done := make(chan response, 1)
	go func() { done <- owner.do(http.MethodPut, "/v1/jobs/"+open+"?wait=15s", jobBody("booking", tasks, 300)) }()
	eventually(t, "the job has started", func() bool { return totalStarts(b) > 2 })
	owner.stop()
	checkResults(t, (<-done).answer(t), tasks)

	checkResults(t, successor.do(http.MethodGet, "/v1/jobs/"+open+"?wait=10s", "").answer(t), tasks)
	checkResults(t, successor.do(http.MethodGet, "/v1/jobs/"+ended, "").answer(t), 2)
	checkResults(t, successor.do(http.MethodPut, "/v1/jobs/"+later+"?wait=10s", jobBody("booking", 3, 1)).answer(t), 3)
	if starts := totalStarts(b); starts != tasks+5 {
		t.Errorf("%d starts for %d tasks", starts, tasks+5)
	}
}

func TestTwoEntriesStopOneAfterTheOther(t *testing.T) {
	b := newTestbed(t)
	b.addEndpoint("e1", "booking")
	first := b.start(b.settings("entry-1"))
	second := b.start(b.settings("entry-2"))
	third := b.start(b.settings("entry-3"))
	b.awaitPeers(first, second, third)
	id := first.newID()
	const tasks = 12
	done := make(chan response, 1)
	go func() { done <- first.do(http.MethodPut, "/v1/jobs/"+id+"?wait=15s", jobBody("booking", tasks, 300)) }()
	eventually(t, "the job has started", func() bool {
		if len(done) > 0 && totalStarts(b) == 0 {
			early := <-done
			t.Fatalf("no task was started: status %d, body %s", early.status, early.body)
		}
		return totalStarts(b) > 0
	})
	first.stop()
	second.stop()
	checkResults(t, (<-done).answer(t), tasks)
	checkResults(t, third.do(http.MethodGet, "/v1/jobs/"+id+"?wait=10s", "").answer(t), tasks)
	if starts := totalStarts(b); starts != tasks {
		t.Errorf("%d starts for %d tasks", starts, tasks)
	}
}

func TestUnsubmittedIDOfStoppedEntryReportsNotRun(t *testing.T) {
	b := newTestbed(t)
	b.addEndpoint("e1", "booking")
	owner := b.start(b.settings("entry-1"))
	successor := b.start(b.settings("entry-2"))
	b.awaitPeers(owner, successor)
	id := owner.newID()
	owner.stop()
	p := successor.do(http.MethodGet, "/v1/jobs/"+id, "").problem(t)
	if p.Execution != callerapi.NotRun {
		t.Fatalf("problem %+v", p)
	}
	if got := successor.do(http.MethodPut, "/v1/jobs/"+id, jobBody("booking", 1, 1)).problem(t); got.Execution != callerapi.NotRun {
		t.Fatalf("problem %+v", got)
	}
	if starts := totalStarts(b); starts != 0 {
		t.Errorf("%d starts for an ID that was reported as not run", starts)
	}
}
