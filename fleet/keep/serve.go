package keep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Timing of appends and trims.
const (
	appendTimeout = time.Second
	appendBackoff = 50 * time.Millisecond // after an append without a reply
	trimTimeout   = 2 * time.Second
)

// ownedShard is the state of a shard that is owned. Only the runner's goroutine
// uses it, except for appendBatch.
type ownedShard struct {
	*Runner
	ctx                context.Context
	shard              *stored.Shard
	epoch              int64
	events             chan any // confirmation, stored.Input, or an error that ends the ownership
	ticket             stored.Ticket
	replies            map[stored.Ticket]request
	offers             map[leased.JobID]activeOffer
	lease              lease
	pendingQueries     []request          // they wait until the ownership is confirmed
	unconfirmedReplies []unconfirmedReply // they wait until the ownership is confirmed
	sequence           int64              // of the last append that is on the log
	nextAppend         time.Time          // earliest time of the next append
}

// activeOffer is an offer that has not ended.
type activeOffer struct {
	attempt int
	cancel  context.CancelFunc
	updates *Updates // nil: the offer is suspended
}

// serve owns the shard until the context ends or another process should own it.
// It returns an error if the shard was lost before that.
func (r *Runner) serve(ctx context.Context, taken *takeover) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &ownedShard{
		Runner: r, ctx: ctx, shard: taken.shard, epoch: taken.epoch, events: make(chan any, queueSize),
		replies: make(map[stored.Ticket]request), offers: make(map[leased.JobID]activeOffer),
		lease: lease{confirmedAt: taken.startedAt}, sequence: taken.sequence,
	}
	defer s.release()
	r.env.OnOwnershipChange(r.shard, true)
	defer r.env.OnOwnershipChange(r.shard, false)
	s.perform(s.shard.FinishReplay(time.Now()))
	ticker := time.NewTicker(ownershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case req := <-r.inbox:
			s.handleRequest(req)
		case e := <-s.events:
			if err, failed := e.(error); failed {
				return err
			}
			s.handleEvent(e)
		case <-ticker.C:
			if !r.env.ShouldOwn(r.shard) {
				r.env.Logger.Info("shard_left", zap.Int64("epoch", s.epoch), zap.String("reason", "another entry should own it, or this one is stopping"))
				return nil
			}
			s.checkLease()
			s.step(&stored.Tick{})
		}
	}
}

// answerQuery answers from the shard's state once it is known not to be outdated.
func (s *ownedShard) answerQuery(req request) {
	if time.Since(s.lease.confirmedAt) > maxConfirmationAge { // a newer owner may know other jobs
		s.pendingQueries = append(s.pendingQueries, req)
		s.requestConfirmation()
		return
	}
	req.query(s.shard)
	req.reply <- reply{result: stored.Stored}
}

// release tells waiting callers to ask the next owner, which knows what was
// stored.
func (s *ownedShard) release() {
	for _, req := range s.replies {
		req.reply <- reply{result: stored.Uncertain}
	}
	for _, req := range s.pendingQueries {
		req.reply <- reply{result: stored.OtherOwner}
	}
	for _, r := range s.unconfirmedReplies {
		r.to <- reply{result: stored.OtherOwner}
	}
}

// handleEvent handles a confirmation or an input of the shard.
func (s *ownedShard) handleEvent(event any) {
	switch e := event.(type) {
	case confirmation:
		s.handleConfirmation(e)
	case stored.Input:
		s.step(e)
	}
}

func (s *ownedShard) handleRequest(req request) {
	if req.input == nil {
		s.answerQuery(req)
		return
	}
	s.ticket++
	s.replies[s.ticket] = req
	s.step(req.input(s.ticket))
}

func (s *ownedShard) step(in stored.Input) { s.perform(s.shard.Step(time.Now(), in)) }

// perform carries out the actions of the shard.
func (s *ownedShard) perform(out *stored.Actions) {
	for i := range out.Appends {
		go s.append(out.Appends[i], s.reserveAppend())
	}
	for i := range out.Replies {
		r := &out.Replies[i]
		if req, waits := s.replies[r.Ticket]; waits {
			delete(s.replies, r.Ticket)
			s.reply(req, r)
		}
	}
	for _, id := range out.Withdrawals {
		if o, ok := s.offers[id]; ok {
			delete(s.offers, id)
			o.cancel()
		}
	}
	for i := range out.Offers {
		s.startOffer(&out.Offers[i])
	}
	for _, update := range out.Updates {
		s.forwardUpdate(update)
	}
	for _, before := range out.Trims {
		go s.trim(before)
	}
}

// reply answers a request. A result that rests on what the shard does not know is
// held back until the ownership is confirmed: a newer owner may know it.
func (s *ownedShard) reply(req request, r *stored.Reply) {
	answer := reply{r.Result, r.State, r.Progress}
	if !r.Unconfirmed || req.maxConfirmationAge > 0 && time.Since(s.lease.confirmedAt) <= req.maxConfirmationAge {
		req.reply <- answer
		return
	}
	s.unconfirmedReplies = append(s.unconfirmedReplies, unconfirmedReply{req.reply, answer, time.Now()})
	s.requestConfirmation()
}

// reserveAppend returns the time at which the next append may be sent.
func (s *ownedShard) reserveAppend() time.Time {
	at := time.Now()
	if at.Before(s.nextAppend) {
		at = s.nextAppend
	}
	s.nextAppend = at.Add(s.env.AppendInterval)
	return at
}

// append stores a batch. One batch is in flight at a time.
func (s *ownedShard) append(a stored.Append, at time.Time) {
	if !sleep(s.ctx, time.Until(at)) {
		return
	}
	record, err := s.env.Codec.encode(a.Events)
	if err != nil {
		s.send(err)
		return
	}
	sequence := s.sequence + 1
	uncertain := false // an earlier attempt may still be carried out
	for s.ctx.Err() == nil {
		sent := time.Now()
		offset, err := s.tryAppend(sequence, record)
		if err == nil {
			s.sequence = sequence
			s.send(confirmation{sentAt: sent})
			s.send(&stored.Appended{Sequence: a.Sequence, Offset: offset})
			return
		}
		if _, fenced := errors.Into[*FencedError](err); fenced {
			s.send(err)
			return
		}
		sequenceError, wrongSequence := errors.Into[*SequenceError](err)
		_, refused := errors.Into[*RefusedError](err)
		s.env.Logger.Warn("append_failed", zap.Int64("epoch", s.epoch), zap.Int64("sequence", sequence), zap.Int("events", len(a.Events)),
			zap.Bool("may_be_done", uncertain || !refused && !wrongSequence), zap.Error(err))
		switch {
		case wrongSequence && !uncertain:
			sequence = sequenceError.Expected
		case wrongSequence:
			s.send(err) // taking the shard over again shows what was stored
			return
		case refused && !uncertain:
			s.send(&stored.AppendRefused{Sequence: a.Sequence})
			return
		default:
			uncertain = true
			sleep(s.ctx, appendBackoff)
		}
	}
}

func (s *ownedShard) tryAppend(sequence int64, record []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
	defer cancel()
	start := time.Now()
	offset, err := s.env.Log.Append(ctx, s.Runner.shard, s.epoch, sequence, record)
	s.env.ObserveAppend(appendResult(err), time.Since(start))
	return offset, err
}

func appendResult(err error) string {
	if err == nil {
		return appendStored
	}
	if _, fenced := errors.Into[*FencedError](err); fenced {
		return appendFenced
	}
	if _, refused := errors.Into[*RefusedError](err); refused {
		return appendRefused
	}
	return appendUnanswered
}

// send sends an event to the runner's goroutine.
func (s *ownedShard) send(event any) {
	select {
	case s.events <- event:
	case <-s.ctx.Done():
	}
}

// forwardUpdate forwards an update to the offer of its job, if there is one.
func (s *ownedShard) forwardUpdate(u stored.TaskUpdate) {
	s.env.Logger.Info("task_learned", zap.String("job", string(u.Task.Job)), zap.Int("step", u.Task.Step), zap.Int("task", u.Task.Index),
		zap.Bool("done", u.Progress.Done), zap.Int("failures", u.Progress.Failures), zap.Int("crashes", u.Progress.Crashes.Total()), zap.Uint64("from", u.From))
	if o, ok := s.offers[u.Task.Job]; ok && o.updates != nil {
		o.updates.Add(u)
	}
}

// startOffer offers a job to a holder in a separate goroutine.
func (s *ownedShard) startOffer(o *stored.Offer) {
	ctx, cancel := context.WithCancel(s.ctx)
	if old, ok := s.offers[o.Job.ID]; ok {
		old.cancel()
	}
	if s.lease.suspended {
		s.offers[o.Job.ID] = activeOffer{attempt: o.Attempt, cancel: cancel}
		return
	}
	updates := NewUpdates()
	s.offers[o.Job.ID] = activeOffer{o.Attempt, cancel, updates}
	attempt, job := o.Attempt, o.Job
	go func() {
		defer cancel()
		outcome := s.env.Offer(ctx, job, updates)
		if ctx.Err() != nil {
			return
		}
		outcome.Job, outcome.Attempt = job.ID, attempt
		s.send(&outcome)
	}()
}

func (s *ownedShard) trim(before int64) {
	ctx, cancel := context.WithTimeout(s.ctx, trimTimeout)
	defer cancel()
	if err := s.env.Log.Trim(ctx, s.Runner.shard, before); err != nil {
		s.env.Logger.Warn("trim_failed", zap.Int64("before", before), zap.Error(err)) // the next trim covers these records
		return
	}
	s.env.Logger.Info("log_trimmed", zap.Int64("before", before))
}

func sleep(ctx context.Context, d time.Duration) bool {
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
