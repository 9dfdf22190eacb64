// Package observe turns what happens in an entry into log lines and metrics.
package observe

import (
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch"
	"lovagespread.example/entry/endpointclient"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/problem"
)

// Observer is safe for concurrent use.
type Observer struct {
	log     *zap.Logger
	metrics *metrics.Set
}

// New returns an observer that writes to the log and the metrics.
func New(log *zap.Logger, set *metrics.Set) *Observer {
	return &Observer{log: log, metrics: set}
}

// Started notes a placement decision and the message that follows from it.
func (o *Observer) Started(t endpointclient.Task) {
	o.metrics.Starts.WithLabelValues(t.Service).Inc()
	o.metrics.Messages.WithLabelValues(kindOf(&t.Start)).Inc()
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

// Stopped notes that a task is stopped at its endpoint.
func (o *Observer) Stopped(s dispatch.Stop) {
	o.Message(metrics.KindStop)
	o.log.Info("stop",
		zap.Stringer("job", s.Task.Job),
		zap.Int("task", s.Task.Index),
		zap.String("endpoint", s.Endpoint),
		zap.Int("attempt", s.Attempt))
}

// Unanswered notes an attempt that got no answer.
func (o *Observer) Unanswered(t endpointclient.Task, sent bool, detail string) {
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

// Step notes the time of one batch of the control loop.
func (o *Observer) Step(d time.Duration) { o.metrics.StepSeconds.Observe(d.Seconds()) }

// Answered notes the end of a job.
func (o *Observer) Answered(a *dispatch.Answer) {
	code := "ok"
	if a.Problem != nil {
		code = string(a.Problem.Code)
	}
	o.metrics.Answers.WithLabelValues(a.Service, code).Inc()
	o.metrics.ResponseSeconds.WithLabelValues(a.Service).Observe(a.Response.Seconds())
	if a.Problem == nil && a.Ideal > 0 {
		o.metrics.ResponseRatio.WithLabelValues(a.Service).Observe(float64(a.Response) / float64(a.Ideal))
	}
}

// Rejected notes a refusal of the core.
func (o *Observer) Rejected(r *dispatch.Rejection) {
	o.log.Info("reject",
		zap.Stringer("job", r.ID),
		zap.String("code", string(r.Problem.Code)),
		zap.String("execution", string(r.Problem.Execution)))
}

// Replied notes a reply to a caller.
func (o *Observer) Replied(r problem.Result) {
	code := string(r.Code)
	if code == "" {
		code = "ok"
	}
	o.metrics.Replies.WithLabelValues(code, string(r.Execution)).Inc()
}

// Routed notes that a request was forwarded to the owner of its job.
func (o *Observer) Routed(job, owner, reason string) {
	o.Message(metrics.KindForward)
	o.log.Info("route", zap.String("job", job), zap.String("owner", owner), zap.String("reason", reason))
}
