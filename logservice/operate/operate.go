// Package operate publishes configuration changes on behalf of operators, for
// lovagectl.
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

// Request describes one change to publish.
type Request struct {
	Author string  // operator
	Origin string  // source of the change, such as a file; used in errors
	Base   *uint64 // version on which the change is based; nil: the version in force
	// ChangeID is the ID of an earlier change that is published again. Base must
	// then be the base of that change. If ChangeID is empty, the change is new.
	ChangeID string
	DryRun   bool // check the change without publishing it
	// Body returns the body of the change, given the version in force.
	Body func(current *catalog.Catalog) change.Body
}

// Result is the outcome of a published change.
type Result struct {
	ChangeID string  `json:"change_id"`
	Base     uint64  `json:"base"`
	Version  uint64  `json:"version"`
	Accepted bool    `json:"accepted"`
	Seconds  float64 `json:"seconds"` // from the append until the outcome was known
}

// IncompleteError reports that records of the configuration are missing from the
// log.
type IncompleteError struct{}

func (e *IncompleteError) Error() string {
	return "the log no longer retains part of the configuration: restore it with lovagectl restore, or wait for a snapshot from an entry"
}

// BaseError reports that the base of a change is missing or invalid.
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

// New returns a publisher that publishes through follower. It writes an audit
// record for each change to log.
func New(follower *follow.Follower, log *zap.Logger) *Publisher {
	return &Publisher{follower: follower, log: log}
}

// Publish checks the complete resulting configuration, appends the change and
// waits for its outcome. In addition to the errors of follow.Follower.Publish it
// returns a *tomlcheck.Problems, a *change.NoChangeError, a *change.TooLargeError,
// an *IncompleteError or a *BaseError; in these cases nothing was written.
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
		return 0, &BaseError{What: "a change that is published again needs its base", Current: current}
	case r.Base == nil:
		return current, nil
	case *r.Base > current:
		return 0, &BaseError{What: fmt.Sprintf("base %d is a future version", *r.Base), Current: current}
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
