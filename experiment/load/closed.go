package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagespread.example/client/callerapi"
)

// Range of the latency histograms, in microseconds.
const (
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

// ClosedOptions describe a closed-loop run of equal jobs: each caller sends
// its next job after it has received the answer to the previous one.
type ClosedOptions struct {
	Run      string // prefix of request names
	Service  string
	Tasks    int           // of each job
	RunTime  time.Duration // of each task
	Callers  []Caller      // each runs one loop
	Duration time.Duration
}

// ClosedResult is the result of a closed-loop run.
type ClosedResult struct {
	Jobs        int64   `json:"jobs"`
	Failed      int64   `json:"failed"`
	TasksPerSec float64 `json:"tasks_per_s"` // of complete jobs
	P50MS       float64 `json:"p50_ms"`      // response time of a job
	P99MS       float64 `json:"p99_ms"`
	P999MS      float64 `json:"p999_ms"`
}

// RunClosed sends jobs for opts.Duration. Jobs that fail or have an incomplete
// answer count as failed.
func RunClosed(ctx context.Context, opts ClosedOptions) (ClosedResult, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	c := closedRun{opts: opts, latency: hdrhistogram.New(1, maxLatency, latencyDigits)}
	start := time.Now()
	var loops sync.WaitGroup
	for _, caller := range opts.Callers {
		loops.Go(func() { c.loop(ctx, caller) })
	}
	loops.Wait()
	return c.result(time.Since(start)), c.err
}

type closedRun struct {
	opts   ClosedOptions
	number atomic.Int64

	mu      sync.Mutex
	failed  int64
	latency *hdrhistogram.Histogram
	err     error // from creating a request
}

func (c *closedRun) loop(ctx context.Context, caller Caller) {
	for ctx.Err() == nil {
		request, err := c.request()
		if err != nil {
			c.abort(err)
			return
		}
		start := time.Now()
		answer, err := caller.Do(ctx, request.Job)
		took := time.Since(start)
		if ctx.Err() != nil {
			return // interrupted by the end of the run
		}
		if err == nil {
			err = request.Check(answer)
		}
		c.add(took, err)
	}
}

func (c *closedRun) request() (*Request, error) {
	r := &Request{Name: requestName(c.opts.Run, c.number.Add(1)), Ideal: c.opts.RunTime}
	r.Job = callerapi.Job{Service: c.opts.Service, Tasks: make([]callerapi.Task, c.opts.Tasks)}
	for i := range r.Job.Tasks {
		task, err := newTask(r.Name, i, c.opts.RunTime, c.opts.RunTime)
		if err != nil {
			return nil, err
		}
		r.Job.Tasks[i] = task
	}
	return r, nil
}

func (c *closedRun) add(took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed++
		return
	}
	_ = c.latency.RecordValue(min(took.Microseconds(), maxLatency))
}

func (c *closedRun) abort(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *closedRun) result(took time.Duration) ClosedResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClosedResult{
		Jobs:        c.latency.TotalCount() + c.failed,
		Failed:      c.failed,
		TasksPerSec: float64(c.latency.TotalCount()) * float64(c.opts.Tasks) / took.Seconds(),
		P50MS:       c.milliseconds(50),
		P99MS:       c.milliseconds(99),
		P999MS:      c.milliseconds(99.9),
	}
}

func (c *closedRun) milliseconds(percentile float64) float64 {
	const perMillisecond = 1000
	return float64(c.latency.ValueAtQuantile(percentile)) / perMillisecond
}
