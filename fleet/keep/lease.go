package keep

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Timing of the confirmations that an owner has not been replaced.
const (
	// confirmAfter is how long after the last call that the log has answered an
	// owner with open jobs asks whether it has been replaced.
	confirmAfter = 400 * time.Millisecond
	// maxUnconfirmed is how long an owner keeps its offers without a reply from
	// the log. The next owner starts none of their tasks before that time and the
	// longest time that a run may go on after it was given up have passed
	// (ownerGrace in dispatch/leased).
	maxUnconfirmed = 1100 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation up to which an owner
	// answers, without asking the log, a query that a newer owner might answer
	// differently.
	maxConfirmationAge = time.Second
	confirmTimeout     = 500 * time.Millisecond
	confirmBackoff     = 150 * time.Millisecond // after a request without a reply
)

// lease records when the log last confirmed that the owner has not been replaced.
type lease struct {
	confirmedAt time.Time // when the latest call that was answered was sent
	confirming  bool
	nextConfirm time.Time // earliest time of the next request, after one without a reply
	suspended   bool      // offers are withdrawn until the next reply
}

// unconfirmedReply is the reply to a request that waits for a confirmation.
type unconfirmedReply struct {
	to     chan reply
	answer reply
	since  time.Time
}

// confirmation is the result of a call to the log.
type confirmation struct {
	sentAt    time.Time // zero: the call was not answered
	requested bool      // by requestConfirmation
}

// checkLease requests a confirmation if one is due. It withdraws the offers if
// there was none for too long: another owner may have offered the same jobs.
func (s *ownedShard) checkLease() {
	waiting := len(s.pendingQueries) + len(s.unconfirmedReplies)
	if len(s.offers)+waiting == 0 {
		return
	}
	if waiting > 0 {
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
			err = nil // the log checks the epoch before the sequence
		}
		if err != nil {
			s.env.Logger.Warn("shard_unconfirmed", zap.Int64("epoch", s.epoch), zap.Error(err))
			sentAt = time.Time{}
		}
		s.send(confirmation{sentAt: sentAt, requested: true})
	}()
}

// handleConfirmation handles the result of a call to the log.
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
	s.sendUnconfirmedReplies(c.sentAt)
	for _, req := range s.pendingQueries {
		req.query(s.shard)
		req.reply <- reply{result: stored.Stored}
	}
	s.pendingQueries = nil
}

// sendUnconfirmedReplies sends the replies to requests that arrived before the ownership
// was confirmed.
func (s *ownedShard) sendUnconfirmedReplies(confirmedAt time.Time) {
	s.unconfirmedReplies = slices.DeleteFunc(s.unconfirmedReplies, func(r unconfirmedReply) bool {
		if confirmedAt.Before(r.since) {
			return false
		}
		r.to <- r.answer
		return true
	})
	if len(s.unconfirmedReplies) > 0 {
		s.requestConfirmation()
	}
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

// resumeOffers offers the withdrawn jobs again.
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
