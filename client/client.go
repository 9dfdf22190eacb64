package client

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"lovagespread.example/client/callerapi"
)

// Defaults of Options.
const (
	DefaultWait        = 30 * time.Second
	DefaultIDBatchSize = 32
	DefaultGiveUpAfter = 30 * time.Second
	DefaultMaxRetries  = 5
)

// Options are the parameters of a Client.
type Options struct {
	URL        string // of the balancer, as in http://10.0.0.1:8080
	Token      string // of the team; empty: none
	HTTPClient *http.Client
	// Wait is how long one request waits for the answer. Default DefaultWait.
	Wait time.Duration
	// IDBatchSize is the number of job IDBatchSize obtained at once. Default DefaultIDs.
	IDBatchSize int
	// GiveUpAfter is how long the client asks for an answer that it gets no news
	// of. Default DefaultGiveUp.
	GiveUpAfter time.Duration
	// MaxRetries bounds the submissions of one job under new IDs after refusals
	// that say when to come back. Default DefaultRetries.
	MaxRetries int
}

func (o Options) withDefaults() Options {
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{}
	}
	if o.Wait == 0 {
		o.Wait = DefaultWait
	}
	if o.IDBatchSize == 0 {
		o.IDBatchSize = DefaultIDBatchSize
	}
	if o.GiveUpAfter == 0 {
		o.GiveUpAfter = DefaultGiveUpAfter
	}
	if o.MaxRetries == 0 {
		o.MaxRetries = DefaultMaxRetries
	}
	o.URL = strings.TrimSuffix(o.URL, "/")
	return o
}

// Client is safe for concurrent use.
type Client struct {
	opts Options
	ids  idPool
}

// New returns a client. It does no I/O.
func New(opts Options) *Client { return &Client{opts: opts.withDefaults()} }

// Pauses between requests about one job.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Do runs a job and returns its whole answer. See the package comment for the
// errors. When the context ends early the job goes on.
func (c *Client) Do(ctx context.Context, job callerapi.Job) (*callerapi.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, &NotSubmittedError{Cause: err}
	}
	var lastErr error
	for attempt := range c.opts.MaxRetries + 1 {
		id, err := c.ids.take(ctx, c)
		if err != nil {
			return nil, &NotSubmittedError{Cause: err}
		}
		answer, err := c.run(ctx, id, body)
		after, resubmit := c.mayResubmit(err)
		if !resubmit {
			return answer, err
		}
		lastErr = err
		if attempt == c.opts.MaxRetries || !sleep(ctx, after) {
			break
		}
	}
	return nil, lastErr
}

// mayResubmit reports whether an error proves that the job was not run and
// invites another try under a new ID, and after which time.
func (c *Client) mayResubmit(err error) (after time.Duration, resubmit bool) {
	var p *callerapi.Problem
	if !errors.As(err, &p) {
		return 0, false
	}
	if p.Execution != callerapi.NotRun || p.RetryAfterMS <= 0 {
		return 0, false
	}
	return time.Duration(p.RetryAfterMS) * time.Millisecond, true
}

// run submits one job under one ID until its fate is known or given up.
func (c *Client) run(ctx context.Context, id *jobID, body []byte) (*callerapi.Answer, error) {
	s := &submission{client: c, id: id, body: body, neverDelivered: true, lastContact: time.Now(), backoff: minBackoff}
	for {
		if done := s.attempt(ctx); done {
			return s.answer, s.err
		}
		if time.Since(s.lastContact) > c.opts.GiveUpAfter {
			return nil, &OutcomeUnknownError{ID: id.text, Cause: s.err}
		}
		if !sleep(ctx, s.nextDelay()) {
			return nil, &OutcomeUnknownError{ID: id.text, Cause: ctx.Err()}
		}
	}
}

// sleep waits for about the given time. It returns false if the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
