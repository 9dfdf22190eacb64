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
	URL        string       // URL of the balancer, such as http://10.0.0.1:8080
	Token      string       // token of the team; empty: none is sent
	HTTPClient *http.Client // nil: a new client
	// Wait is how long one request waits for the answer. The default is
	// DefaultWait.
	Wait time.Duration
	// IDBatchSize is the number of job IDs that one request obtains. The default
	// is DefaultIDBatchSize.
	IDBatchSize int
	// GiveUpAfter is how long the client retries without a sign that the job is
	// still running. It also limits the time for obtaining job IDs. The default is
	// DefaultGiveUpAfter.
	GiveUpAfter time.Duration
	// MaxRetries limits how often a job is resubmitted under a new ID after a
	// refusal that gives a retry time. The default is DefaultMaxRetries.
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

// Client calls the caller API. It is safe for concurrent use.
type Client struct {
	opts Options
	ids  idPool
}

// New returns a client. It does no I/O.
func New(opts Options) *Client { return &Client{opts: opts.withDefaults()} }

// Bounds of the backoff between requests.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Do runs a job and returns its complete answer. The package comment describes
// the errors. If the context ends early, the job continues to run.
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

// mayResubmit reports whether the job may be resubmitted under a new ID and after
// which delay: err must prove that the job was not run and give a retry time.
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

// run submits a job under one ID until its outcome is known or the client gives
// up.
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

// sleep waits for d plus a random delay of up to half of d. It returns false if
// the context ends first.
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
