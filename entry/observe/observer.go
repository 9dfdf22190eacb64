// Package observe records the events of an entry in its log, its metrics and the
// ring of latest decisions.
package observe

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/endpointclient"
	"lovagespread.example/entry/explain"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/problem"
	"lovagespread.example/membership"
)

// Observer records the events of an entry. It is safe for concurrent use.
type Observer struct {
	log     *zap.Logger
	metrics *metrics.Set
	ring    *explain.Ring
}

// New returns an observer that writes to the log, the metrics and the ring of
// latest decisions.
func New(log *zap.Logger, set *metrics.Set, ring *explain.Ring) *Observer {
	return &Observer{log: log, metrics: set, ring: ring}
}

func (o *Observer) addDecision(d explain.Decision) {
	d.Time = time.Now()
	o.ring.Add(d)
}

// Started records a placement decision and counts the message to the endpoint.
func (o *Observer) Started(t endpointclient.Task) {
	o.metrics.Starts.WithLabelValues(t.Service).Inc()
	o.metrics.Messages.WithLabelValues(kindOf(&t.Start)).Inc()
	o.addDecision(explain.Decision{
		Job: t.Label, Kind: explain.Place, Task: t.Task.Index, Attempt: t.Attempt, Endpoint: t.Endpoint,
		Eligible: t.Eligible, Urgency: t.Urgency, Reason: string(t.Reason),
	})
	o.log.Info("place",
		zap.String("job", t.Label),
		zap.Int("task", t.Task.Index),
		zap.String("service", t.Service),
		zap.String("endpoint", t.Endpoint),
		zap.Int("eligible", t.Eligible),
		zap.String("reason", string(t.Reason)),
		zap.Float64("urgency", t.Urgency),
		zap.Int("attempt", t.Attempt))
}

func kindOf(s *dispatch.Start) string {
	switch {
	case s.Hedge:
		return metrics.KindHedge
	case s.Attempt > 1:
		return metrics.KindRetry
	}
	return metrics.KindTask
}

// Stopped records that a task is stopped at its endpoint.
func (o *Observer) Stopped(s dispatch.Stop) {
	o.Message(metrics.KindStop)
	o.addDecision(explain.Decision{
		Job: s.Task.Job.String(), Kind: explain.Stop, Task: s.Task.Index, Attempt: s.Attempt, Endpoint: s.Endpoint,
	})
	o.log.Info("stop",
		zap.Stringer("job", s.Task.Job),
		zap.Int("task", s.Task.Index),
		zap.String("endpoint", s.Endpoint),
		zap.Int("attempt", s.Attempt))
}

// Unanswered records an attempt that got no response.
func (o *Observer) Unanswered(t endpointclient.Task, sent bool, detail string) {
	o.addDecision(explain.Decision{
		Job: t.Label, Kind: explain.Lost, Task: t.Task.Index, Attempt: t.Attempt, Endpoint: t.Endpoint, Reason: detail,
	})
	o.log.Warn("lost",
		zap.String("job", t.Label),
		zap.Int("task", t.Task.Index),
		zap.String("endpoint", t.Endpoint),
		zap.Int("attempt", t.Attempt),
		zap.Bool("sent", sent),
		zap.String("detail", detail))
}

// Message counts a message.
func (o *Observer) Message(kind string) { o.metrics.Messages.WithLabelValues(kind).Inc() }

// BatchHandled records the duration of one batch of the control loop.
func (o *Observer) BatchHandled(d time.Duration) { o.metrics.BatchSeconds.Observe(d.Seconds()) }

// Published updates the gauges from a snapshot.
func (o *Observer) Published(s *control.Snapshot) {
	o.metrics.CatalogVersion.Set(float64(s.Catalog.Version))
	o.metrics.OpenJobs.Set(float64(s.OpenJobs))
	for _, load := range s.Loads {
		o.metrics.Running.WithLabelValues(load.Service).Set(float64(load.Running))
	}
	o.countMembers(&s.View)
	o.recordRunning(s)
}

// states are the member states that the gauge reports.
var states = []membership.State{membership.Live, membership.Suspect, membership.Leaving, membership.Gone}

func (o *Observer) countMembers(v *membership.View) {
	entries := lo.CountValuesBy(v.Others, func(e membership.Entry) membership.State { return e.State })
	endpoints := lo.CountValuesBy(v.Endpoints, func(e membership.Endpoint) membership.State { return e.State })
	for _, state := range states {
		o.metrics.Members.WithLabelValues("entry", state.String()).Set(float64(entries[state]))
		o.metrics.Members.WithLabelValues("endpoint", state.String()).Set(float64(endpoints[state]))
	}
}

// Answered records the end of a job.
func (o *Observer) Answered(a *dispatch.Answer) {
	code := "ok"
	if a.Problem != nil {
		code = string(a.Problem.Code)
	}
	o.addDecision(explain.Decision{Job: a.ID.String(), Kind: explain.End, Reason: code})
	o.metrics.JobsEnded.WithLabelValues(a.Service, code).Inc()
	o.metrics.ResponseSeconds.WithLabelValues(a.Service).Observe(a.Response.Seconds())
	if a.Problem == nil && a.Ideal > 0 {
		o.metrics.ResponseRatio.WithLabelValues(a.Service).Observe(float64(a.Response) / float64(a.Ideal))
	}
}

// Rejected records a rejection by the core.
func (o *Observer) Rejected(r *dispatch.Rejection) {
	o.addDecision(explain.Decision{Job: r.ID.String(), Kind: explain.Reject, Reason: string(r.Problem.Code)})
	o.log.Info("reject",
		zap.Stringer("job", r.ID),
		zap.String("code", string(r.Problem.Code)),
		zap.String("execution", string(r.Problem.Execution)))
}

// Replied counts a reply to a caller.
func (o *Observer) Replied(r problem.Result) {
	code := string(r.Code)
	if code == "" {
		code = "ok"
	}
	o.metrics.Replies.WithLabelValues(code, string(r.Execution)).Inc()
}

// Routed records how a request was routed to the owner of its job.
func (o *Observer) Routed(job, owner, reason string) {
	o.Message(metrics.KindForward)
	o.addDecision(explain.Decision{Job: job, Kind: explain.Route, Endpoint: owner, Reason: reason})
	o.log.Info("route", zap.String("job", job), zap.String("owner", owner), zap.String("reason", reason))
}
