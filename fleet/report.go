package fleet

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/peer/fleetpb"
)

// Bounds of reports about kept jobs.
const (
	reportsLength = 8192
	// gatherTime is how long reports to one owner are gathered: far less than
	// the owner takes to store them.
	gatherTime  = 4 * time.Millisecond
	reportRetry = 200 * time.Millisecond
)

// reporter tells the owners of kept jobs what happens to their runs, until they
// have stored it.
type reporter struct {
	kept *kept
	in   chan leased.Report
}

func newReporter(k *kept) *reporter {
	return &reporter{kept: k, in: make(chan leased.Report, reportsLength)}
}

// add takes a report. One that finds the queue full is dropped: ends are listed
// again by their endpoint's next holder, and begun jobs end.
func (r *reporter) add(report leased.Report) {
	select {
	case r.in <- report:
	default:
		r.kept.log.Error("report_dropped", zap.String("job", string(report.Task.Job)), zap.Int("run", report.Run))
	}
}

func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.in:
			pauseFor(ctx, gatherTime)
			for shard, list := range r.gather(first) {
				go r.deliver(ctx, shard, list)
			}
		}
	}
}

// gather takes all reports that wait, by shard.
func (r *reporter) gather(first leased.Report) map[int][]leased.Report {
	byShard := map[int][]leased.Report{r.kept.shardOf(first.Task.Job): {first}}
	for {
		select {
		case next := <-r.in:
			shard := r.kept.shardOf(next.Task.Job)
			byShard[shard] = append(byShard[shard], next)
		default:
			return byShard
		}
	}
}

// deliver reports until an owner has stored it.
func (r *reporter) deliver(ctx context.Context, shard int, list []leased.Report) {
	tasks := lo.Map(list, func(p leased.Report, _ int) stored.TaskReport {
		return stored.TaskReport{Task: p.Task, Run: p.Run, Begun: p.Begun, Done: p.End == leased.EndDone, Saved: p.Checkpoint}
	})
	for ctx.Err() == nil {
		if a := r.kept.report(ctx, shard, tasks); a.found {
			break
		}
		r.kept.log.Warn("report_undelivered", zap.Int("shard", shard), zap.Int("tasks", len(tasks)), zap.String("job", string(list[0].Task.Job)))
		pauseFor(ctx, reportRetry)
	}
	for i := range list {
		if p := &list[i]; !p.Begun {
			r.kept.loop.send(coreInput{&leased.ReportStored{Endpoint: p.Endpoint, IncarnationStart: p.IncarnationStart, Number: p.Number}})
		}
	}
}

func reportToPB(from uint64, shard int, tasks []stored.TaskReport) *fleetpb.ReportRequest {
	return &fleetpb.ReportRequest{From: from, Shard: uint32(shard), Tasks: lo.Map(tasks, func(t stored.TaskReport, _ int) *fleetpb.TaskReport {
		return &fleetpb.TaskReport{
			Job: string(t.Task.Job), Occurrence: uint32(t.Task.Occurrence), Step: uint32(t.Task.Step), Index: uint32(t.Task.Index),
			Run: uint32(t.Run), Begun: t.Begun, Done: t.Done, Saved: t.Saved,
		}
	})}
}

func reportFromPB(r *fleetpb.ReportRequest) []stored.TaskReport {
	return lo.Map(r.Tasks, func(t *fleetpb.TaskReport, _ int) stored.TaskReport {
		return stored.TaskReport{
			Task: leased.TaskID{Job: leased.JobID(t.Job), Occurrence: int(t.Occurrence), Step: int(t.Step), Index: int(t.Index)},
			Run:  int(t.Run), Begun: t.Begun, Done: t.Done, Saved: t.Saved,
		}
	})
}
