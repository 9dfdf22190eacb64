package keep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Bounds of appends.
const (
	appendTimeout = time.Second
	appendPause   = 50 * time.Millisecond // after an append without an answer
	trimTimeout   = 2 * time.Second
)

// serving is the state of an owned shard. It belongs to the runner's goroutine,
// but for append.
type serving struct {
	*Runner
	ctx      context.Context
	shard    *stored.Shard
	epoch    int64
	events   chan any // stored.Input, or an error that ends the ownership
	ticket   stored.Ticket
	replies  map[stored.Ticket]chan stored.Result
	offers   map[leased.JobID]offer
	lease    lease
	looks    []request // that wait until the ownership is confirmed
	sequence int64     // of the newest append that is on the log
	nextTime time.Time // of an append
}

// offer is an offer under way.
type offer struct {
	attempt int
	cancel  context.CancelFunc
	news    chan stored.DoneTask // holds one of each task
}

// serve owns the shard until the context ends or another process is to own it.
// An error says why the shard was lost before.
func (r *Runner) serve(ctx context.Context, t *taken) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &serving{
		Runner: r, ctx: ctx, shard: t.shard, epoch: t.epoch, events: make(chan any, inboxLength),
		replies: make(map[stored.Ticket]chan stored.Result), offers: make(map[leased.JobID]offer),
		lease: lease{confirmed: t.at},
	}
	defer s.giveUp()
	r.env.OnOwnershipChange(r.shard, true)
	defer r.env.OnOwnershipChange(r.shard, false)
	s.carryOut(s.shard.FinishReplay(time.Now()))
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-r.inbox:
			s.request(q)
		case e := <-s.events:
			if err, failed := e.(error); failed {
				return err
			}
			s.take(e)
		case <-ticker.C:
			if !r.env.ShouldOwn(r.shard) {
				r.env.Logger.Info("shard_left", zap.Int64("epoch", s.epoch), zap.String("reason", "another entry is to own it, or this one stops"))
				return nil
			}
			s.keepLease()
			s.step(&stored.Tick{})
		}
	}
}

// look answers from the shard's state, at once if that is safe.
func (s *serving) look(q request) {
	if !q.look(s.shard) && time.Since(s.lease.confirmed) > freshTime {
		s.looks = append(s.looks, q)
		s.confirm()
		return
	}
	q.reply <- stored.Stored
}

// giveUp sends those who wait to the next owner, which knows what was stored.
func (s *serving) giveUp() {
	for _, reply := range s.replies {
		reply <- stored.Uncertain
	}
	for _, q := range s.looks {
		q.reply <- stored.OtherOwner
	}
}

// take handles an event.
func (s *serving) take(event any) {
	switch e := event.(type) {
	case confirmed:
		s.confirmedAt(e)
	case stored.Input:
		s.step(e)
	}
}

func (s *serving) request(q request) {
	if q.input == nil {
		s.look(q)
		return
	}
	s.ticket++
	s.replies[s.ticket] = q.reply
	s.step(q.input(s.ticket))
}

func (s *serving) step(in stored.Input) { s.carryOut(s.shard.Step(time.Now(), in)) }

// carryOut does what the shard has decided.
func (s *serving) carryOut(out *stored.Actions) {
	for i := range out.Appends {
		go s.append(out.Appends[i], s.slot())
	}
	for _, r := range out.Replies {
		if reply := s.replies[r.Ticket]; reply != nil {
			delete(s.replies, r.Ticket)
			reply <- r.Result
		}
	}
	for _, id := range out.Withdrawals {
		if o, ok := s.offers[id]; ok {
			delete(s.offers, id)
			o.cancel()
		}
	}
	for i := range out.Offers {
		s.offer(&out.Offers[i])
	}
	for _, l := range out.DoneTasks {
		s.learned(l)
	}
	for _, before := range out.Trims {
		go s.trim(before)
	}
}

// slot returns when the next append may go.
func (s *serving) slot() time.Time {
	at := time.Now()
	if at.Before(s.nextTime) {
		at = s.nextTime
	}
	s.nextTime = at.Add(s.env.AppendInterval)
	return at
}

// append stores a batch. One batch is under way at a time.
func (s *serving) append(a stored.Append, at time.Time) {
	if !pause(s.ctx, time.Until(at)) {
		return
	}
	record, err := s.env.Codec.encode(a.Events)
	if err != nil {
		s.tell(err)
		return
	}
	sequence := s.sequence + 1
	open := false // an earlier try may be carried out yet
	for s.ctx.Err() == nil {
		sent := time.Now()
		offset, err := s.appendOnce(sequence, record)
		if err == nil {
			s.sequence = sequence
			s.tell(confirmed{at: sent})
			s.tell(&stored.Appended{Sequence: a.Sequence, Offset: offset})
			return
		}
		if _, fenced := errors.Into[*FencedError](err); fenced {
			s.tell(err)
			return
		}
		wrong, isWrong := errors.Into[*SequenceError](err)
		_, notDone := errors.Into[*RefusedError](err)
		s.env.Logger.Warn("append_failed", zap.Int64("epoch", s.epoch), zap.Int64("sequence", sequence), zap.Int("events", len(a.Events)),
			zap.Bool("may_be_done", open || !notDone && !isWrong), zap.Error(err))
		switch {
		case isWrong && !open:
			sequence = wrong.Expected
		case isWrong:
			s.tell(err) // what was stored is found by taking the shard over anew
			return
		case notDone && !open:
			s.tell(&stored.AppendRefused{Sequence: a.Sequence})
			return
		default:
			open = true
			pause(s.ctx, appendPause)
		}
	}
}

func (s *serving) appendOnce(sequence int64, record []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
	defer cancel()
	began := time.Now()
	offset, err := s.env.Log.Append(ctx, s.Runner.shard, s.epoch, sequence, record)
	s.env.ObserveAppend(appendResult(err), time.Since(began))
	return offset, err
}

func appendResult(err error) string {
	if err == nil {
		return appendStored
	}
	if _, fenced := errors.Into[*FencedError](err); fenced {
		return appendFenced
	}
	if _, notDone := errors.Into[*RefusedError](err); notDone {
		return appendRefused
	}
	return appendUnanswered
}

// tell passes an event to the runner's goroutine.
func (s *serving) tell(event any) {
	select {
	case s.events <- event:
	case <-s.ctx.Done():
	}
}

// learned passes the news of a task on to the offer of its job, if there is one.
func (s *serving) learned(l stored.DoneTask) {
	s.env.Logger.Info("task_learned", zap.String("job", string(l.Task.Job)), zap.Int("step", l.Task.Step),
		zap.Int("task", l.Task.Index), zap.Uint64("from", l.From))
	o, ok := s.offers[l.Task.Job]
	if !ok || o.news == nil {
		return
	}
	select {
	case o.news <- l:
	default: // each task is reported as done once
		s.env.Logger.Error("news_dropped", zap.String("job", string(l.Task.Job)), zap.Int("task", l.Task.Index))
	}
}

// offer hands a job to a holder in a goroutine of its own.
func (s *serving) offer(o *stored.Offer) {
	ctx, cancel := context.WithCancel(s.ctx)
	if old, ok := s.offers[o.Job.ID]; ok {
		old.cancel()
	}
	if s.lease.suspended {
		s.offers[o.Job.ID] = offer{attempt: o.Attempt, cancel: cancel}
		return
	}
	tasks := lo.SumBy(o.Job.Steps, func(step leased.Step) int { return step.Tasks })
	news := make(chan stored.DoneTask, tasks)
	s.offers[o.Job.ID] = offer{o.Attempt, cancel, news}
	attempt, job := o.Attempt, o.Job
	go func() {
		defer cancel()
		outcome := s.env.Offer(ctx, job, news)
		if ctx.Err() != nil {
			return
		}
		outcome.Job, outcome.Attempt = job.ID, attempt
		s.tell(&outcome)
	}()
}

func (s *serving) trim(before int64) {
	ctx, cancel := context.WithTimeout(s.ctx, trimTimeout)
	defer cancel()
	if err := s.env.Log.Trim(ctx, s.Runner.shard, before); err != nil {
		s.env.Logger.Warn("trim_failed", zap.Int64("before", before), zap.Error(err)) // the next one trims more
		return
	}
	s.env.Logger.Info("log_trimmed", zap.Int64("before", before))
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
