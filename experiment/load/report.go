package load

import (
	"lovagespread.example/client/callerapi"
	"lovagespread.example/standin/fakeendpoint"
)

// Report is the result of a run. Its JSON is the last line of the demo's
// output.
type Report struct {
	Jobs          int     `json:"jobs"`
	Complete      int     `json:"complete"`
	Failed        int     `json:"failed"`
	Unknown       int     `json:"unknown"`
	Partial       int     `json:"partial"`
	DoubleStarts  int     `json:"double_starts"`
	FalseNotRun   int     `json:"false_not_run"`
	SlowdownP50   float64 `json:"slowdown_p50"`
	SlowdownP99   float64 `json:"slowdown_p99"`
	WastedPerTask float64 `json:"wasted_per_task"`
	TaskStarts    float64 `json:"task_starts_per_s"`
}

// GuaranteesHold reports whether the guarantees held: no partial answer, no
// double start, and no started job that was reported as not run.
func (r Report) GuaranteesHold() bool {
	return r.Partial == 0 && r.DoubleStarts == 0 && r.FalseNotRun == 0
}

// Detail holds the details of a Report.
type Detail struct {
	Codes        map[callerapi.Code]int   `json:"codes"`          // of failed and unknown jobs
	Services     map[string]ServiceDetail `json:"services"`       // complete jobs
	Messages     fakeendpoint.Messages    `json:"messages"`       // at the endpoints
	Entries      EntryMessages            `json:"entry_messages"` // as counted by the entries; without the counts of killed ones
	Repeats      int64                    `json:"repeats"`        // repeated requests of callers
	DoubleStarts []fakeendpoint.Repeated  `json:"double_starts"`
	FalseNotRun  []string                 `json:"false_not_run"` // names of requests
}

// ServiceDetail holds quantiles of response ÷ ideal of one service.
type ServiceDetail struct {
	Jobs int64   `json:"jobs"`
	P50  float64 `json:"slowdown_p50"`
	P99  float64 `json:"slowdown_p99"`
	P999 float64 `json:"slowdown_p999"`
}

// endpointCounts holds the counts of a run at the endpoints, and the callers'
// repeats.
type endpointCounts struct {
	starts    fakeendpoint.StartReport
	messages  fakeendpoint.Messages
	startRate float64 // task starts per second
	repeats   int64   // repeated requests of callers
}

// report combines the outcomes at the callers with the counts at the endpoints.
func (t *Tally) report(counts endpointCounts, idempotent func(service string) bool) (Report, Detail) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Detail{
		Codes:        t.codes,
		Services:     make(map[string]ServiceDetail, len(t.serviceSlowdown)),
		Messages:     counts.messages,
		Repeats:      counts.repeats,
		DoubleStarts: doubleStarts(counts.starts, idempotent),
		FalseNotRun:  falseNotRun(counts.starts, t.notRun),
	}
	for name, h := range t.serviceSlowdown {
		d.Services[name] = ServiceDetail{
			Jobs: h.TotalCount(), P50: quantile(h, 50), P99: quantile(h, 99), P999: quantile(h, 99.9),
		}
	}
	return Report{
		Jobs:          t.jobs,
		Complete:      t.outcomes[Complete],
		Failed:        t.outcomes[Failed],
		Unknown:       t.outcomes[Unknown],
		Partial:       t.outcomes[Partial],
		DoubleStarts:  len(d.DoubleStarts),
		FalseNotRun:   len(d.FalseNotRun),
		SlowdownP50:   quantile(t.slowdown, 50),
		SlowdownP99:   quantile(t.slowdown, 99),
		WastedPerTask: wastedPerTask(counts),
		TaskStarts:    counts.startRate,
	}, d
}

// doubleStarts returns the non-idempotent tasks that were started more than once,
// under one job ID or under several.
func doubleStarts(starts fakeendpoint.StartReport, idempotent func(string) bool) []fakeendpoint.Repeated {
	list := []fakeendpoint.Repeated{}
	for _, r := range starts.RepeatedRequests {
		if !idempotent(r.Service) {
			list = append(list, r)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, r := range starts.Repeated {
		if !idempotent(r.Service) {
			list = append(list, r)
		}
	}
	return list
}

func falseNotRun(starts fakeendpoint.StartReport, requests []string) []string {
	list := []string{}
	for _, name := range requests {
		if starts.StartedRequests[name] > 0 {
			list = append(list, name)
		}
	}
	return list
}

// messagesPerExchange counts a request and its reply.
const messagesPerExchange = 2

func wastedPerTask(counts endpointCounts) float64 {
	if counts.starts.Tasks == 0 {
		return 0
	}
	extraRequests := counts.messages.Tasks - int64(counts.starts.Tasks)
	extraRequests += counts.messages.Heartbeats + counts.messages.Stops + counts.messages.Throttles + counts.repeats
	return float64(messagesPerExchange*extraRequests) / float64(counts.starts.Tasks)
}
