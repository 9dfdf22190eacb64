package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/peer/fleetpb"
)

// Limits of reports about stored jobs.
const (
	// batchDelay is how long reports are collected before they are sent. It is far
	// less than the time in which an owner stores them.
	batchDelay          = 4 * time.Millisecond
	reportRetryInterval = 200 * time.Millisecond
)

// reporter sends reports about runs to the owners of stored jobs, and retries
// until the owners have stored them. It drops none: the core waits for the answers. Their
// number is bounded by the runs that have ended and that endpoints still list.
type reporter struct {
	storedJobs *storedJobs
	queued     chan struct{} // has a value while there are reports

	mu      sync.Mutex
	reports []leased.Report
}

func newReporter(jobs *storedJobs) *reporter {
	return &reporter{storedJobs: jobs, queued: make(chan struct{}, 1)}
}

// add queues a report.
func (r *reporter) add(report leased.Report) {
	r.mu.Lock()
	r.reports = append(r.reports, report)
	r.mu.Unlock()
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.queued:
			pauseFor(ctx, batchDelay)
			for r.storedJobs.runners() == nil && ctx.Err() == nil {
				pauseFor(ctx, reportRetryInterval) // there is no owner to report to
			}
			if ctx.Err() != nil {
				return
			}
			for shard, list := range r.takeAll() {
				go r.deliver(ctx, shard, list)
			}
		}
	}
}

// takeAll removes all queued reports and returns them by shard.
func (r *reporter) takeAll() map[int][]leased.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	byShard := lo.GroupBy(r.reports, func(report leased.Report) int { return r.storedJobs.shardOf(report.Task.Job) })
	r.reports = nil
	return byShard
}

// deliver sends reports to the owner of a shard until one has answered. It then
// acknowledges the reported ends, so that the endpoints may forget them.
func (r *reporter) deliver(ctx context.Context, shard int, list []leased.Report) {
	tasks := lo.Map(list, func(p leased.Report, _ int) stored.TaskReport { return taskReport(&p) })
	var answer ownerReply
	for ctx.Err() == nil {
		if answer = r.storedJobs.report(ctx, shard, tasks); answer.answered {
			break
		}
		r.storedJobs.log.Warn("report_undelivered", zap.Int("shard", shard), zap.Int("tasks", len(tasks)), zap.String("job", string(list[0].Task.Job)))
		pauseFor(ctx, reportRetryInterval)
	}
	if !answer.answered {
		return
	}
	r.logRestarts(list, answer.progress)
	if reports := storedReports(list, answer.progress); len(reports) > 0 {
		r.storedJobs.loop.send(coreInput{&leased.ReportsStored{Reports: reports}})
	}
}

// logRestarts logs the answers to requests to start tasks again.
func (r *reporter) logRestarts(list []leased.Report, progress []leased.TaskProgress) {
	for i := range list {
		p := &list[i]
		if p.Restart == 0 {
			continue
		}
		fields := []zap.Field{zap.String("job", string(p.Task.Job)), zap.Int("step", p.Task.Step), zap.Int("task", p.Task.Index), zap.Uint64("request", p.Restart), zap.Int("run", p.Run)}
		if len(progress) == len(list) {
			fields = append(fields, zap.Int("superseded", progress[i].Superseded), zap.Bool("done", progress[i].Done), zap.Bool("job_ended", progress[i].JobEnded))
		}
		r.storedJobs.log.Info("restart_answered", fields...)
	}
}

// storedReports returns what the core learns from the answer to reports.
func storedReports(list []leased.Report, progress []leased.TaskProgress) []leased.StoredReport {
	var reports []leased.StoredReport
	for i := range list {
		p := &list[i]
		if p.Begun {
			continue
		}
		report := leased.StoredReport{Endpoint: p.Endpoint, IncarnationStart: p.IncarnationStart, Number: p.Number, Task: p.Task, Run: p.Run, Restart: p.Restart, Offer: p.Offer}
		if len(progress) == len(list) {
			report.Discarded = progress[i].Discarded
			if p.End != leased.EndDone || p.Restart != 0 {
				report.Progress = &progress[i]
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// taskReport converts a report for the owner of the job. A loss is reported as a
// start as well, which is all that owners of earlier versions make of it; so is a request
// for a restart.
func taskReport(p *leased.Report) stored.TaskReport {
	lost := p.End == leased.EndEndpointLost
	return stored.TaskReport{
		Task: p.Task, Run: leased.RunID{Number: p.Run, Endpoint: p.Endpoint, Incarnation: p.IncarnationStart}, Begun: p.Begun || lost || p.Restart != 0, Done: p.End == leased.EndDone && p.Restart == 0, Lost: lost, Loss: p.Loss, Checkpoint: p.Checkpoint, Restart: p.Restart, Offer: p.Offer,
	}
}

func reportToPB(from uint64, shard int, tasks []stored.TaskReport) *fleetpb.ReportRequest {
	return &fleetpb.ReportRequest{From: from, Shard: uint32(shard), Tasks: lo.Map(tasks, func(t stored.TaskReport, _ int) *fleetpb.TaskReport {
		report := &fleetpb.TaskReport{
			Job: string(t.Task.Job), Occurrence: uint32(t.Task.Occurrence), Step: uint32(t.Task.Step), Index: uint32(t.Task.Index),
			Run: uint32(t.Run.Number), Endpoint: string(t.Run.Endpoint), Incarnation: t.Run.Incarnation, Begun: t.Begun, Done: t.Done, Saved: t.Checkpoint, Restart: t.Restart, Offer: t.Offer,
		}
		if t.Lost {
			report.Loss = keep.LossToPB(t.Loss)
		}
		return report
	})}
}

func reportFromPB(r *fleetpb.ReportRequest) []stored.TaskReport {
	return lo.Map(r.Tasks, func(t *fleetpb.TaskReport, _ int) stored.TaskReport {
		report := stored.TaskReport{
			Task: leased.TaskID{Job: leased.JobID(t.Job), Occurrence: int(t.Occurrence), Step: int(t.Step), Index: int(t.Index)},
			Run:  leased.RunID{Number: int(t.Run), Endpoint: leased.EndpointID(t.Endpoint), Incarnation: t.Incarnation}, Begun: t.Begun, Done: t.Done, Checkpoint: t.Saved, Restart: t.Restart, Offer: t.Offer,
		}
		if t.Loss != nil {
			report.Lost, report.Loss = true, keep.LossFromPB(t.Loss)
		}
		return report
	})
}
