package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Guards against a delegated task that cannot be cancelled, because the late answer of
// an earlier delegation of it has removed the newer one: its run goes on after the job
// was cancelled.
func TestLateAnswerKeepsNewerDelegation(t *testing.T) {
	self := cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1}
	log := zap.NewNop()
	l := newLoop(Settings{MaxLease: time.Second, EndpointsPerCell: DefaultEndpointsPerCell}, self, recordingEndpoints{}, log,
		newMetrics(func() float64 { return 0 }), newPeers(self.Incarnation, log), newFreezeDetector(readClocks, log))
	task := leased.TaskID{Job: "j"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l.delegations[task] = delegation{run: 2, cancel: cancel}
	delegationEnded{&leased.DelegateReply{Task: task, Run: 1, End: leased.EndUnknown}}.handle(l)
	l.cancelDelegation(task)
	if ctx.Err() == nil {
		t.Error("the newer delegation was not cancelled")
	}
}
