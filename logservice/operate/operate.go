// Package operate publishes changes of the configuration for operators. Both
// lovagectl and an entry's administration API use it.
package operate

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice/follow"
)

// Request asks for one change.
type Request struct {
	Author string  // operator
	Origin string  // origin of the change, for errors
	Base   *uint64 // version that the change must follow; nil: the one in force
	// ChangeID publishes a change again; Base must be that of the first time.
	// Empty: a new change.
	ChangeID string
	DryRun   bool // check the change and publish nothing
	// Body returns the change on the version in force.
	Body func(current *catalog.Catalog) change.Body
}

// Result tells what became of a change.
type Result struct {
	ChangeID string  `json:"change_id"`
	Base     uint64  `json:"base"`
	Version  uint64  `json:"version"`
	Accepted bool    `json:"accepted"`
	Seconds  float64 `json:"seconds"` // from the append to the verdict
}

// IncompleteError says that the log has forgotten part of the configuration.
type IncompleteError struct{}

func (e *IncompleteError) Error() string {
	return "the log has forgotten part of the configuration: restore it with lovagectl restore, or wait for a snapshot of an entry"
}

// BaseError says that a base can't be that of the change.
type BaseError struct {
	What    string
	Current uint64
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("%s: give a base from 0 to %d, the version in force", e.What, e.Current)
}

// Publisher publishes changes. It is safe for concurrent use.
type Publisher struct {
	follower *follow.Follower
	log      *zap.Logger
}

// New returns a publisher that works through a follower. The log gets an audit
// record for each change.
func New(follower *follow.Follower, log *zap.Logger) *Publisher {
	return &Publisher{follower: follower, log: log}
}

// Publish checks the whole resulting configuration, appends the change and
// waits for its fate. Besides the errors of follow.Follower.Publish it returns
// a *tomlcheck.Problems, a *change.NoChangeError, an *IncompleteError or a
// *BaseError; then nothing was written.
func (p *Publisher) Publish(ctx context.Context, r Request) (Result, error) {
	status := p.follower.Status()
	if !status.Complete {
		return Result{}, &IncompleteError{}
	}
	base, err := r.resolveBase(status.LogVersion)
	if err != nil {
		return Result{}, err
	}
	body := r.Body(status.Catalog)
	if base == status.LogVersion {
		if _, err := change.Prepare(r.Origin, status.Catalog, body); err != nil {
			return Result{}, err
		}
	}
	c := change.Change{ID: r.ChangeID, Base: base, Author: r.Author, Time: time.Now().UTC(), Body: body}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	result := Result{ChangeID: c.ID, Base: base}
	if r.DryRun {
		return result, nil
	}
	begin := time.Now()
	result.Version, err = p.follower.Publish(ctx, c)
	result.Seconds = time.Since(begin).Seconds()
	result.Accepted = err == nil
	p.audit(c, result, err)
	return result, err
}

func (r *Request) resolveBase(current uint64) (uint64, error) {
	switch {
	case r.Base == nil && r.ChangeID != "":
		return 0, &BaseError{What: "a change published again needs its base", Current: current}
	case r.Base == nil:
		return current, nil
	case *r.Base > current:
		return 0, &BaseError{What: fmt.Sprintf("base %d is still to come", *r.Base), Current: current}
	}
	return *r.Base, nil
}

func (p *Publisher) audit(c change.Change, result Result, err error) {
	p.log.Info("audit",
		zap.String("operator", c.Author),
		zap.String("action", string(c.Body.Kind())),
		zap.String("change", c.ID),
		zap.Uint64("base", c.Base),
		zap.Bool("accepted", result.Accepted),
		zap.Error(err),
	)
}
