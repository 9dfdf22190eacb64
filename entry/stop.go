package entry

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/wait"
)

// stop ends the entry gracefully. It makes /readyz report not ready, hands the
// jobs over to another entry, to which requests about them are then forwarded,
// gives the balancer time to notice, and waits until the tasks running here have
// ended. If no entry takes over the jobs, no new job is admitted and the admitted
// ones run to completion.
func (e *Entry) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Limits.StopTimeout)
	defer cancel()
	e.stopping.Store(true)
	e.log.Info("stopping")
	e.announcer.SetLeaving(0)
	e.heartbeat.AnnounceNow(ctx)
	e.handOver(ctx)
	wait.For(ctx, settings.BalancerDelay)
	e.engine.loop.Drain()
	remaining := e.awaitJobs(ctx)
	e.shutDownServers(ctx)
	if remaining > 0 {
		e.log.Error("stopped with open jobs", zap.Int("jobs", remaining))
		return &OpenJobsError{Jobs: remaining}
	}
	e.engine.client.Wait()
	e.log.Info("stopped")
	return nil
}

// handOver transfers all jobs to a successor, if there is one, and reports to it
// the status of the tasks that are still running here.
func (e *Entry) handOver(ctx context.Context) {
	successor, ok := e.handoverSender.HandOver(ctx)
	if !ok {
		return
	}
	e.announcer.SetLeaving(successor.Incarnation)
	e.heartbeat.AnnounceNow(ctx)
	if err := e.handoverSender.SendStatusUpdates(ctx, successor); err != nil {
		e.log.Error("hand-over incomplete", zap.Error(err))
	}
}

// awaitJobs waits until no job is open or the context ends. It returns the
// number of jobs still open.
func (e *Entry) awaitJobs(ctx context.Context) int {
	for {
		open := e.engine.loop.OpenJobs()
		if open == 0 || ctx.Err() != nil {
			return open
		}
		wait.For(ctx, openJobsPollInterval)
	}
}

func (e *Entry) shutDownServers(ctx context.Context) {
	for _, s := range e.servers {
		if err := s.http.Shutdown(ctx); err != nil {
			e.log.Warn("listener was cut off", zap.String("listener", s.name), zap.Error(err))
		}
	}
}

// OpenJobsError reports a stop that timed out before all jobs had ended.
type OpenJobsError struct{ Jobs int }

func (e *OpenJobsError) Error() string {
	return fmt.Sprintf("%d jobs were still open at the end of limits.stop_timeout: raise it above the longest task", e.Jobs)
}
