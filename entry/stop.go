package entry

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"lovagespread.example/entry/wait"
)

// stop ends the entry gracefully: /readyz goes off, the jobs are handed over to
// another entry and callers forwarded to it, the tasks that run here end, and
// the balancer gets time to see it all. If no entry takes the jobs over, no new
// job is admitted and those admitted run to their end.
func (e *Entry) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Limits.StopTimeout)
	defer cancel()
	e.stopping.Store(true)
	e.log.Info("stopping")
	e.announcer.SetLeaving(0)
	e.heartbeat.AnnounceNow(ctx)
	e.handOver(ctx)
	wait.For(ctx, balancerNotice)
	e.engine.loop.Drain()
	left := e.awaitJobs(ctx)
	e.shutDownServers(ctx)
	if left > 0 {
		e.log.Error("stopped with open jobs", zap.Int("jobs", left))
		return &OpenJobsError{Jobs: left}
	}
	e.engine.client.Wait()
	e.log.Info("stopped")
	return nil
}

// handOver gives all jobs to a successor, if there is one, and tells it how the
// tasks end that run here.
func (e *Entry) handOver(ctx context.Context) {
	successor, ok := e.giver.HandOver(ctx)
	if !ok {
		return
	}
	e.announcer.SetLeaving(successor.Incarnation)
	e.heartbeat.AnnounceNow(ctx)
	if err := e.giver.SendStatusUpdates(ctx, successor); err != nil {
		e.log.Error("hand-over incomplete", zap.Error(err))
	}
}

// awaitJobs waits until no job is open and returns the number that is left.
func (e *Entry) awaitJobs(ctx context.Context) int {
	for {
		open := e.engine.loop.OpenJobs()
		if open == 0 || ctx.Err() != nil {
			return open
		}
		wait.For(ctx, pollOpenJobs)
	}
}

func (e *Entry) shutDownServers(ctx context.Context) {
	for _, s := range e.servers {
		if err := s.http.Shutdown(ctx); err != nil {
			e.log.Warn("listener was cut off", zap.String("listener", s.name), zap.Error(err))
		}
	}
}

// OpenJobsError reports a stop that ended before all jobs did.
type OpenJobsError struct{ Jobs int }

func (e *OpenJobsError) Error() string {
	return fmt.Sprintf("%d jobs were still open at the end of limits.stop_timeout: raise it above the longest task", e.Jobs)
}
