package fleet

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Timeouts of requests to endpoints.
const (
	// The timeout of a Start follows the time that replies take (timeout.go). A
	// Start without a reply is repeated as the same run, so a timeout that is too
	// short costs little, and one that is too long makes the job late.
	stopTimeout = 200 * time.Millisecond
	holdTimeout = 120 * time.Millisecond // in addition to the requested wait
)

func (l *Loop) start(request leased.Start) {
	l.log.Info("placed", zap.String("job", string(request.Task.Job)), zap.Int("step", request.Task.Step), zap.Int("task", request.Task.Index),
		zap.Int("run", request.Run), zap.Int("attempt", request.Attempt), zap.String("endpoint", string(request.Endpoint)), zap.Duration("waited_ms", request.Waited),
		zap.Int("free_millicores", request.Free.MilliCores), zap.Duration("expected_ms", request.Expected), zap.Int64("token", request.Token),
		zap.Stringer("evidence", request.Evidence), zap.Bool("delegated", request.For.Delegated), zap.Uint64("from", request.For.Entry),
		zap.Uint64("origin", request.For.Origin), zap.Uint64("epoch", request.For.Call.Epoch), zap.Uint64("call", request.For.Call.Number))
	go func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), l.startTimeout.timeout(request.Attempt, request.CallsLost))
		defer cancel()
		reply := leased.StartReply{Endpoint: request.Endpoint, Task: request.Task, Run: request.Run, Result: leased.StartUnanswered}
		l.guard.do("start", func() { reply = l.endpoints.Start(ctx, &request) })
		l.metrics.starts.WithLabelValues(reply.Result.String()).Inc()
		took := time.Since(began)
		l.metrics.startSeconds.Observe(took.Seconds())
		if reply.Result != leased.StartUnanswered && reply.Result != leased.StartNotSent {
			l.startTimeout.observe(took)
		}
		if reply.Result != leased.StartAccepted {
			l.log.Warn("start_refused", zap.String("job", string(request.Task.Job)), zap.Int("step", request.Task.Step),
				zap.Int("task", request.Task.Index), zap.Int("run", request.Run), zap.String("endpoint", string(request.Endpoint)),
				zap.String("result", reply.Result.String()))
		}
		l.send(coreInput{&reply})
	}()
}

func (l *Loop) stop(request leased.Stop) {
	l.log.Info("stopped", zap.String("job", string(request.Task.Job)), zap.Int("step", request.Task.Step), zap.Int("task", request.Task.Index),
		zap.Int("run", request.Run), zap.String("endpoint", string(request.Endpoint)), zap.String("reason", request.Reason))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		reply := leased.StopReply{Endpoint: request.Endpoint, Task: request.Task, Run: request.Run}
		l.guard.do("stop", func() { reply = l.endpoints.Stop(ctx, &request) })
		l.metrics.stops.Inc()
		l.send(coreInput{&reply})
	}()
}

func (l *Loop) hold(request leased.Hold) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), request.Wait+holdTimeout)
		defer cancel()
		reply := leased.HoldReply{Endpoint: request.Endpoint, Sequence: request.Sequence, Result: leased.HoldUnanswered}
		l.guard.do("hold", func() { reply = l.endpoints.Hold(ctx, &request) })
		l.metrics.holds.WithLabelValues(reply.Result.String()).Inc()
		l.send(coreInput{&reply})
	}()
}

// runEnded logs the end of a run, as a warning if the run is not done.
func (l *Loop) runEnded(e *leased.RunEnd) {
	write := l.log.Info
	if e.End != leased.EndDone {
		write = l.log.Warn
	}
	l.metrics.runEnds.WithLabelValues(e.End.String()).Inc()
	write("run_ended", zap.String("job", string(e.Task.Job)), zap.Int("step", e.Task.Step), zap.Int("task", e.Task.Index),
		zap.Int("run", e.Run), zap.String("endpoint", string(e.Endpoint)), zap.String("end", e.End.String()),
		zap.Duration("took_ms", e.Took), zap.Duration("expected_ms", e.Expected), zap.Int("failures", e.Failures))
}

// coreInput is a message that passes an input to the core.
type coreInput struct{ input leased.Input }

func (m coreInput) handle(l *Loop) { l.step(m.input) }

func (l *Loop) delegate(request leased.Delegate) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Task.CallerTimeout)
	open := &delegation{cancel}
	l.delegations[request.Task.ID] = open
	l.log.Info("lent", zap.String("job", string(request.Task.ID.Job)), zap.Int("step", request.Task.ID.Step),
		zap.Int("task", request.Task.ID.Index), zap.Int("run", request.Task.Run), zap.String("cell", request.Cell), zap.Bool("adopt", request.Task.Adopt),
		zap.String("searched_on", string(request.Task.SearchedOn)),
		zap.Stringer("evidence", request.Evidence), zap.Uint64("holder", request.Holder), zap.Uint64("from", request.For.Entry),
		zap.Uint64("epoch", request.For.Call.Epoch), zap.Uint64("call", request.For.Call.Number))
	go func() {
		defer cancel()
		reply := leased.DelegateReply{Task: request.Task.ID, Run: request.Task.Run, End: leased.EndUnknown}
		l.guard.do("delegate", func() { reply = l.peers.delegate(ctx, &request) })
		l.metrics.delegations.WithLabelValues(reply.End.String()).Inc()
		l.send(delegationEnded{open, &reply})
	}()
}

// delegationEnded is a message that reports the end of a delegated task.
type delegationEnded struct {
	of    *delegation
	reply *leased.DelegateReply
}

func (m delegationEnded) handle(l *Loop) {
	if r := m.reply; r.End != leased.EndDone && r.End != leased.EndNoCapacity {
		l.log.Warn("lend_ended", zap.String("job", string(r.Task.Job)), zap.Int("step", r.Task.Step), zap.Int("task", r.Task.Index),
			zap.Int("run", r.Run), zap.String("end", r.End.String()))
	}
	if l.delegations[m.reply.Task] != m.of {
		l.log.Info("lend_answer_dropped", zap.String("job", string(m.reply.Task.Job)), zap.Int("step", m.reply.Task.Step), zap.Int("task", m.reply.Task.Index),
			zap.Int("run", m.reply.Run), zap.String("end", m.reply.End.String()))
		return // it was withdrawn; a later delegation of the task may have the same run number
	}
	delete(l.delegations, m.reply.Task)
	l.step(m.reply)
}

// delegation is the open call of a delegated task.
type delegation struct{ cancel context.CancelFunc }

func (l *Loop) cancelDelegation(task leased.TaskID) {
	if d, open := l.delegations[task]; open {
		d.cancel()
		delete(l.delegations, task)
	}
}

func (l *Loop) answer(a leased.Answer) {
	delete(l.tickets, a.Ticket)
	l.metrics.jobs.WithLabelValues(a.Verdict.String()).Inc()
	if w := l.waiters[a.Ticket]; w != nil {
		delete(l.waiters, a.Ticket)
		w <- a
	}
}

func (l *Loop) answerDelegated(a leased.DelegatedAnswer) {
	delete(l.tickets, a.Ticket)
	if w := l.delegatedWaiters[a.Ticket]; w != nil {
		delete(l.delegatedWaiters, a.Ticket)
		w <- a
	}
}

// origin describes the call that submits a job or task.
type origin struct {
	caller    cells.Incarnation // the entry that calls; 0: this entry
	call      leased.CallID     // zero: not known
	sentUs    uint64            // the caller's boot clock when it sent the call; 0: not known
	arrivedAt time.Time
}

// submitJob is a message that submits a job to the core.
type submitJob struct {
	ctx context.Context // of the call
	job leased.Job
	origin
	answer chan leased.Answer
	ticket chan leased.Ticket
}

func (m submitJob) handle(l *Loop) {
	ticket := l.newTicket()
	l.waiters[ticket] = m.answer
	m.ticket <- ticket
	l.submit(&submittedCall{m.ctx, m.origin, ticket, func() {
		l.step(&leased.Submit{
			Ticket: ticket, Job: m.job, Caller: uint64(m.caller), CallerHeardAt: l.heardAt(m.origin), CallerCall: m.origin.call, SentAt: l.sentAt(m.origin),
		})
	}})
}

// submitDelegated is a message that submits a delegated task to the core.
type submitDelegated struct {
	ctx  context.Context // of the call
	task leased.DelegatedTask
	origin
	answer chan leased.DelegatedAnswer
	ticket chan leased.Ticket
}

func (m submitDelegated) handle(l *Loop) {
	ticket := l.newTicket()
	l.delegatedWaiters[ticket] = m.answer
	m.ticket <- ticket
	l.submit(&submittedCall{m.ctx, m.origin, ticket, func() {
		heardAt, sentAt := l.heardAt(m.origin), l.sentAt(m.origin)
		l.boundByOrigin(&m.task, heardAt.Sub(sentAt))
		l.step(&leased.SubmitDelegated{Ticket: ticket, Task: m.task, Caller: uint64(m.caller), CallerHeardAt: heardAt, SentAt: sentAt})
	}})
}

func (l *Loop) newTicket() leased.Ticket {
	l.lastTicket++
	return l.lastTicket
}

// cancelTicket is a message that cancels a ticket.
type cancelTicket struct{ ticket leased.Ticket }

func (m cancelTicket) handle(l *Loop) {
	delete(l.waiters, m.ticket)
	delete(l.delegatedWaiters, m.ticket)
	l.removeUnheard(m.ticket)
	l.cancel(m.ticket)
}

// cancel cancels a submission, unless it has been cancelled.
func (l *Loop) cancel(ticket leased.Ticket) {
	if _, open := l.tickets[ticket]; open {
		delete(l.tickets, ticket)
		l.step(&leased.Cancel{Ticket: ticket})
	}
}

// cancelEnded cancels the submissions whose calls have ended, before their goroutines
// notice that: the heartbeat that has withdrawn them counts as contact from now on.
func (l *Loop) cancelEnded() {
	var ended []leased.Ticket
	for ticket, ctx := range l.tickets {
		if ctx.Err() != nil {
			ended = append(ended, ticket)
		}
	}
	slices.Sort(ended)
	for _, ticket := range ended {
		l.cancel(ticket)
	}
}

// runLocally runs a job in this entry's core until it ends, for the entry whose
// call submits it, or for a caller at this entry if from is zero. If the context is
// done first, it cancels the job and returns false.
func (l *Loop) runLocally(ctx context.Context, job leased.Job, from origin) (leased.Answer, bool) {
	return await(ctx, l, func(answer chan leased.Answer, ticket chan leased.Ticket) message {
		return submitJob{ctx, job, from, answer, ticket}
	})
}

// runDelegated does the same for a delegated task.
func (l *Loop) runDelegated(ctx context.Context, task leased.DelegatedTask, from origin) (leased.DelegatedAnswer, bool) {
	return await(ctx, l, func(answer chan leased.DelegatedAnswer, ticket chan leased.Ticket) message {
		return submitDelegated{ctx, task, from, answer, ticket}
	})
}

// await submits a job or task to the loop and waits for its answer. If the
// context is done first, it cancels the submission and returns false.
func await[A any](ctx context.Context, l *Loop, submit func(chan A, chan leased.Ticket) message) (A, bool) {
	answer := make(chan A, 1)
	ticket := make(chan leased.Ticket, 1)
	l.send(submit(answer, ticket))
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		l.send(cancelTicket{<-ticket})
		var zero A
		return zero, false
	}
}
