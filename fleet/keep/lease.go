package keep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Times of being sure of a shard.
const (
	// confirmAfter is how long after the latest call that the log has answered
	// an owner with open jobs asks whether it has been replaced.
	confirmAfter = 400 * time.Millisecond
	// maxUnconfirmed is how long an owner lets its jobs run without an answer. The next
	// owner starts none of their tasks before a lease of the endpoints and half
	// a second more have passed.
	maxUnconfirmed = 1100 * time.Millisecond
	// maxAnswerAge is how old an answer may be that the next owner could give
	// otherwise.
	maxAnswerAge   = time.Second
	confirmTimeout = 500 * time.Millisecond
	confirmBackoff = 150 * time.Millisecond // after one without an answer
)

// lease is how sure an owner is that it has not been replaced.
type lease struct {
	confirmedAt time.Time // the latest call that was answered was sent then
	confirming  bool
	nextConfirm time.Time // not before then, after a call without an answer
	suspended   bool      // offers are withdrawn until the next answer
}

// confirmation is the end of a call to the log, sent at a time. A zero time says
// that it got no answer.
type confirmation struct {
	sentAt    time.Time
	requested bool // by confirm
}

// checkLease asks for a confirmation where one is due, and withdraws the offers
// when there is none for too long: another owner may have offered the same jobs.
func (s *ownedShard) checkLease() {
	if len(s.offers)+len(s.pendingQueries) == 0 {
		return
	}
	if len(s.pendingQueries) > 0 {
		s.requestConfirmation()
	}
	age := time.Since(s.lease.confirmedAt)
	if age > confirmAfter {
		s.requestConfirmation()
	}
	if age > maxUnconfirmed && !s.lease.suspended && len(s.offers) > 0 {
		s.suspendOffers()
	}
}

// requestConfirmation asks the log whether the epoch is still the newest one.
func (s *ownedShard) requestConfirmation() {
	if s.lease.confirming || time.Now().Before(s.lease.nextConfirm) {
		return
	}
	s.lease.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
		defer cancel()
		sentAt := time.Now()
		err := s.env.Log.Open(ctx, s.Runner.shard, s.epoch)
		if _, fenced := errors.Into[*FencedError](err); fenced {
			s.send(err)
			return
		}
		if _, wrongSequence := errors.Into[*SequenceError](err); wrongSequence {
			err = nil // an epoch that is too low is refused before
		}
		if err != nil {
			s.env.Logger.Warn("shard_unconfirmed", zap.Int64("epoch", s.epoch), zap.Error(err))
			sentAt = time.Time{}
		}
		s.send(confirmation{sentAt: sentAt, requested: true})
	}()
}

// handleConfirmation takes the end of a call to the log.
func (s *ownedShard) handleConfirmation(c confirmation) {
	if c.requested {
		s.lease.confirming = false
	}
	if c.sentAt.IsZero() {
		s.lease.nextConfirm = time.Now().Add(confirmBackoff)
		return
	}
	if c.sentAt.After(s.lease.confirmedAt) {
		s.lease.confirmedAt = c.sentAt
	}
	s.resumeOffers()
	for _, req := range s.pendingQueries {
		req.query(s.shard)
		req.reply <- stored.Stored
	}
	s.pendingQueries = nil
}

// suspendOffers withdraws all offers.
func (s *ownedShard) suspendOffers() {
	s.env.Logger.Warn("offers_suspended", zap.Int64("epoch", s.epoch), zap.Int("jobs", len(s.offers)),
		zap.Duration("unconfirmed_ms", time.Since(s.lease.confirmedAt)))
	s.lease.suspended = true
	for _, o := range s.offers {
		o.cancel()
	}
}

// resumeOffers offers anew what was withdrawn.
func (s *ownedShard) resumeOffers() {
	if !s.lease.suspended {
		return
	}
	s.lease.suspended = false
	attempts := make(map[leased.JobID]int, len(s.offers))
	for id, o := range s.offers {
		attempts[id] = o.attempt
	}
	for id, attempt := range attempts {
		s.step(&stored.Outcome{Job: id, Attempt: attempt, Lost: true, Begun: true})
	}
}
