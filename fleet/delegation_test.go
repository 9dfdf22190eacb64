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
	for _, run := range []int{1, 2} {
		l.delegations[task] = &delegation{cancel}
		delegationEnded{&delegation{func() {}}, &leased.DelegateReply{Task: task, Run: run, End: leased.EndUnknown}}.handle(l)
		if l.delegations[task] == nil {
			t.Errorf("the late answer for run %d has removed the newer delegation, of run 2", run)
		}
	}
	l.cancelDelegation(task)
	if ctx.Err() == nil {
		t.Error("the newer delegation was not cancelled")
	}
}
