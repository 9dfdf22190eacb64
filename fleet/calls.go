package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
)

// Timeouts of calls to endpoints.
const (
	// A start that got no answer is repeated as the same run, so a short time
	// costs little; a Hold without an answer hides ends meanwhile.
	startTimeout = 120 * time.Millisecond
	stopTimeout  = 200 * time.Millisecond
	holdTimeout  = 120 * time.Millisecond // beyond the wait that was asked for
)

func (l *Loop) start(order leased.Start) {
	l.log.Info("placed", zap.String("job", string(order.Task.Job)), zap.Int("step", order.Task.Step), zap.Int("task", order.Task.Index),
		zap.Int("run", order.Run), zap.String("endpoint", string(order.Endpoint)), zap.Duration("waited_ms", order.Waited),
		zap.Int("free_millicores", order.Free.MilliCores), zap.Duration("expected_ms", order.Expected), zap.Int64("token", order.Token))
	go func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		reply := l.endpoints.Start(ctx, &order)
		l.metrics.starts.WithLabelValues(reply.Result.String()).Inc()
		l.metrics.startSeconds.Observe(time.Since(began).Seconds())
		if reply.Result != leased.StartAccepted {
			l.log.Warn("start_refused", zap.String("job", string(order.Task.Job)), zap.Int("step", order.Task.Step),
				zap.Int("task", order.Task.Index), zap.Int("run", order.Run), zap.String("endpoint", string(order.Endpoint)),
				zap.String("result", reply.Result.String()))
		}
		l.send(coreInput{&reply})
	}()
}

func (l *Loop) stop(order leased.Stop) {
	l.log.Info("stopped", zap.String("job", string(order.Task.Job)), zap.Int("step", order.Task.Step), zap.Int("task", order.Task.Index),
		zap.Int("run", order.Run), zap.String("endpoint", string(order.Endpoint)), zap.String("reason", order.Reason))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		reply := l.endpoints.Stop(ctx, &order)
		l.metrics.stops.Inc()
		l.send(coreInput{&reply})
	}()
}

func (l *Loop) hold(order leased.Hold) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), order.Wait+holdTimeout)
		defer cancel()
		reply := l.endpoints.Hold(ctx, &order)
		l.metrics.holds.WithLabelValues(reply.Result.String()).Inc()
		l.send(coreInput{&reply})
	}()
}

// runEnded logs the end of a run, one that brings its task no result as a
// failure.
func (l *Loop) runEnded(e *leased.RunEnd) {
	write := l.log.Info
	if e.End != leased.EndDone {
		write = l.log.Warn
	}
	l.metrics.ends.WithLabelValues(e.End.String()).Inc()
	write("run_ended", zap.String("job", string(e.Task.Job)), zap.Int("step", e.Task.Step), zap.Int("task", e.Task.Index),
		zap.Int("run", e.Run), zap.String("endpoint", string(e.Endpoint)), zap.String("end", e.End.String()),
		zap.Duration("took_ms", e.Took), zap.Duration("expected_ms", e.Expected), zap.Int("failures", e.Failures))
}

// coreInput passes an input to the core.
type coreInput struct{ input leased.Input }

func (m coreInput) handle(l *Loop) { l.step(m.input) }

func (l *Loop) lend(order leased.Delegate) {
	ctx, cancel := context.WithTimeout(context.Background(), order.Task.CallerTimeout)
	l.lends[order.Task.ID] = cancel
	l.log.Info("lent", zap.String("job", string(order.Task.ID.Job)), zap.Int("step", order.Task.ID.Step),
		zap.Int("task", order.Task.ID.Index), zap.Int("run", order.Task.Run), zap.String("cell", order.Cell), zap.Bool("adopt", order.Task.Adopt))
	go func() {
		defer cancel()
		end, saved := l.peers.lend(ctx, &order)
		l.metrics.lends.WithLabelValues(end.String()).Inc()
		l.send(lendEnded{&leased.DelegateReply{Task: order.Task.ID, Run: order.Task.Run, Result: end, Checkpoint: saved}})
	}()
}

type lendEnded struct{ reply *leased.DelegateReply }

func (m lendEnded) handle(l *Loop) {
	if r := m.reply; r.Result != leased.EndDone && r.Result != leased.EndNoCapacity {
		l.log.Warn("lend_ended", zap.String("job", string(r.Task.Job)), zap.Int("step", r.Task.Step), zap.Int("task", r.Task.Index),
			zap.Int("run", r.Run), zap.String("end", r.Result.String()))
	}
	delete(l.lends, m.reply.Task)
	l.step(m.reply)
}

func (l *Loop) cancelLend(task leased.TaskID) {
	if cancel := l.lends[task]; cancel != nil {
		cancel()
		delete(l.lends, task)
	}
}

func (l *Loop) answer(a leased.Answer) {
	l.metrics.jobs.WithLabelValues(a.Verdict.String()).Inc()
	if w := l.waiters[a.Ticket]; w != nil {
		delete(l.waiters, a.Ticket)
		w <- a
	}
}

func (l *Loop) guestAnswer(a leased.DelegatedAnswer) {
	if w := l.guests[a.Ticket]; w != nil {
		delete(l.guests, a.Ticket)
		w <- a
	}
}

// submitJob offers a job to the core.
type submitJob struct {
	job    leased.Job
	answer chan leased.Answer
	ticket chan leased.Ticket
}

func (m submitJob) handle(l *Loop) {
	l.nextTick++
	l.waiters[l.nextTick] = m.answer
	m.ticket <- l.nextTick
	l.step(&leased.Submit{Ticket: l.nextTick, Job: m.job})
}

// submitGuest offers a task of another holder's job to the core.
type submitGuest struct {
	guest  leased.DelegatedTask
	answer chan leased.DelegatedAnswer
	ticket chan leased.Ticket
}

func (m submitGuest) handle(l *Loop) {
	l.nextTick++
	l.guests[l.nextTick] = m.answer
	m.ticket <- l.nextTick
	l.step(&leased.SubmitDelegated{Ticket: l.nextTick, Task: m.guest})
}

// withdraw cancels a ticket.
type withdraw struct{ ticket leased.Ticket }

func (m withdraw) handle(l *Loop) {
	delete(l.waiters, m.ticket)
	delete(l.guests, m.ticket)
	l.step(&leased.Cancel{Ticket: m.ticket})
}

// runHere runs a job on this entry's core until it ends. It returns false if
// the context ended first; the job is withdrawn then.
func (l *Loop) runHere(ctx context.Context, job leased.Job) (leased.Answer, bool) {
	return await(ctx, l, func(answer chan leased.Answer, ticket chan leased.Ticket) message {
		return submitJob{job, answer, ticket}
	})
}

// runGuest runs a task of another holder's job, in the same way.
func (l *Loop) runGuest(ctx context.Context, guest leased.DelegatedTask) (leased.DelegatedAnswer, bool) {
	return await(ctx, l, func(answer chan leased.DelegatedAnswer, ticket chan leased.Ticket) message {
		return submitGuest{guest, answer, ticket}
	})
}

// await sends an offer to the loop and waits for its answer. If the context
// ends first, the offer is withdrawn.
func await[A any](ctx context.Context, l *Loop, offer func(chan A, chan leased.Ticket) message) (A, bool) {
	answer := make(chan A, 1)
	ticket := make(chan leased.Ticket, 1)
	l.send(offer(answer, ticket))
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		l.send(withdraw{<-ticket})
		var none A
		return none, false
	}
}
