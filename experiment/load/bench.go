package load

import (
	"context"
	"time"
)

// BenchOptions describe a benchmark that compares one entry with direct calls
// of its endpoints.
type BenchOptions struct {
	Run      string
	Service  string
	Tasks    int           // of each job in the throughput phases
	Duration time.Duration // of each of the four phases
	Entry    []Caller      // callers of the entry
	Direct   []Caller      // callers of the endpoints, the same number
	Standins *Standins
}

// BenchReport is the result of a benchmark. The run time of all tasks is zero.
type BenchReport struct {
	// EntryStarts is the number of task starts per second through the entry,
	// counted at the endpoints. Its JSON name states that the entry must have
	// two cores.
	EntryStarts float64 `json:"entry_starts_per_s_2cores"`
	// AddedP99MS is the p99 response time of single tasks sent one by one
	// through the idle entry, minus the median of those sent directly.
	AddedP99MS float64 `json:"added_p99_ms"`
	// OverheadVsDirect is the task starts per second of direct calls ÷
	// EntryStarts.
	OverheadVsDirect float64 `json:"overhead_vs_direct"`
}

// BenchDetail holds the measurements from which a BenchReport is computed.
type BenchDetail struct {
	IdleDirect       ClosedResult `json:"idle_direct"`
	IdleEntry        ClosedResult `json:"idle_entry"`
	ThroughputDirect ClosedResult `json:"throughput_direct"`
	ThroughputEntry  ClosedResult `json:"throughput_entry"`
	DirectStarts     float64      `json:"direct_starts_per_s"`
}

// Bench runs single tasks one by one, then as many jobs as the callers can
// send. Each is run directly first, then through the entry.
func Bench(ctx context.Context, opts BenchOptions) (BenchReport, BenchDetail, error) {
	var report BenchReport
	var detail BenchDetail
	var err error
	if detail.IdleDirect, _, err = opts.runPhase(ctx, "id", opts.Direct[:1], 1); err != nil {
		return report, detail, err
	}
	if detail.IdleEntry, _, err = opts.runPhase(ctx, "ie", opts.Entry[:1], 1); err != nil {
		return report, detail, err
	}
	if detail.ThroughputDirect, detail.DirectStarts, err = opts.runPhase(ctx, "td", opts.Direct, opts.Tasks); err != nil {
		return report, detail, err
	}
	if detail.ThroughputEntry, report.EntryStarts, err = opts.runPhase(ctx, "te", opts.Entry, opts.Tasks); err != nil {
		return report, detail, err
	}
	report.AddedP99MS = detail.IdleEntry.P99MS - detail.IdleDirect.P50MS
	report.OverheadVsDirect = detail.DirectStarts / report.EntryStarts
	return report, detail, nil
}

// runPhase runs one phase and returns its result and the task starts per second
// at the endpoints.
func (o BenchOptions) runPhase(ctx context.Context, name string, callers []Caller, tasks int) (ClosedResult, float64, error) {
	before, err := o.Standins.Messages(ctx)
	if err != nil {
		return ClosedResult{}, 0, err
	}
	start := time.Now()
	result, err := RunClosed(ctx, ClosedOptions{
		Run:      o.Run + name,
		Service:  o.Service,
		Tasks:    tasks,
		Callers:  callers,
		Duration: o.Duration,
	})
	if err != nil {
		return result, 0, err
	}
	took := time.Since(start)
	after, err := o.Standins.Messages(ctx)
	if err != nil {
		return result, 0, err
	}
	received := after.Sub(before)
	return result, float64(received.Tasks-received.Refusals) / took.Seconds(), nil
}
