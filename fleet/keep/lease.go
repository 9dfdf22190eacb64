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
	// ownTime is how long an owner lets its jobs run without an answer. The next
	// owner starts none of their tasks before a lease of the endpoints and half
	// a second more have passed.
	ownTime = 1100 * time.Millisecond
	// freshTime is how old an answer may be that the next owner could give
	// otherwise.
	freshTime      = time.Second
	confirmTimeout = 500 * time.Millisecond
	confirmPause   = 150 * time.Millisecond // after one without an answer
)

// lease is how sure an owner is that it has not been replaced.
type lease struct {
	confirmed  time.Time // the latest call that was answered was sent then
	confirming bool
	nextAsk    time.Time // not before then, after a call without an answer
	suspended  bool      // offers are withdrawn until the next answer
}

// confirmed is the end of a call to the log, sent at a time. A zero time says
// that it got no answer.
type confirmed struct {
	at    time.Time
	asked bool // by confirm
}

// keepLease asks for a confirmation where one is due, and withdraws the offers
// when there is none for too long: another owner may have offered the same jobs.
func (s *serving) keepLease() {
	if len(s.offers)+len(s.looks) == 0 {
		return
	}
	if len(s.looks) > 0 {
		s.confirm()
	}
	age := time.Since(s.lease.confirmed)
	if age > confirmAfter {
		s.confirm()
	}
	if age > ownTime && !s.lease.suspended && len(s.offers) > 0 {
		s.suspend()
	}
}

// confirm asks the log whether the epoch is still the newest one.
func (s *serving) confirm() {
	if s.lease.confirming || time.Now().Before(s.lease.nextAsk) {
		return
	}
	s.lease.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
		defer cancel()
		sent := time.Now()
		err := s.env.Log.Open(ctx, s.Runner.shard, s.epoch)
		if _, fenced := errors.Into[*FencedError](err); fenced {
			s.tell(err)
			return
		}
		if _, isWrong := errors.Into[*SequenceError](err); isWrong {
			err = nil // an epoch that is too low is refused before
		}
		if err != nil {
			s.env.Logger.Warn("shard_unconfirmed", zap.Int64("epoch", s.epoch), zap.Error(err))
			sent = time.Time{}
		}
		s.tell(confirmed{at: sent, asked: true})
	}()
}

// confirmedAt takes the end of a call to the log.
func (s *serving) confirmedAt(c confirmed) {
	if c.asked {
		s.lease.confirming = false
	}
	if c.at.IsZero() {
		s.lease.nextAsk = time.Now().Add(confirmPause)
		return
	}
	if c.at.After(s.lease.confirmed) {
		s.lease.confirmed = c.at
	}
	s.resume()
	for _, q := range s.looks {
		q.look(s.shard)
		q.reply <- stored.Stored
	}
	s.looks = nil
}

// suspend withdraws all offers.
func (s *serving) suspend() {
	s.env.Logger.Warn("offers_suspended", zap.Int64("epoch", s.epoch), zap.Int("jobs", len(s.offers)),
		zap.Duration("unconfirmed_ms", time.Since(s.lease.confirmed)))
	s.lease.suspended = true
	for _, o := range s.offers {
		o.cancel()
	}
}

// resume offers anew what was withdrawn.
func (s *serving) resume() {
	if !s.lease.suspended {
		return
	}
	s.lease.suspended = false
	again := make(map[leased.JobID]int, len(s.offers))
	for id, o := range s.offers {
		again[id] = o.attempt
	}
	for id, attempt := range again {
		s.step(&stored.Outcome{Job: id, Attempt: attempt, Lost: true, Begun: true})
	}
}
