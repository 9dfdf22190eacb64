package client

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovagespread.example/client/callerapi"
)

// expiryMargin is the minimum remaining lifetime of an ID that is used.
const expiryMargin = time.Minute

// batch is the state shared by the IDs that one request obtained from one entry.
type batch struct{ discarded atomic.Bool }

// discard makes the unused IDs of the batch unusable, because their owner is not
// available.
func (b *batch) discard() { b.discarded.Store(true) }

// jobID is an issued job ID. It is valid for one job.
type jobID struct {
	text   string
	expiry time.Time
	batch  *batch
}

func (id *jobID) usable(now time.Time) bool {
	return !id.batch.discarded.Load() && now.Add(expiryMargin).Before(id.expiry)
}

// idPool holds IDs that were obtained ahead of time.
type idPool struct {
	mu     sync.Mutex
	unused []*jobID
}

// take returns an unused ID. It obtains a new batch if there is none.
func (p *idPool) take(ctx context.Context, c *Client) (*jobID, error) {
	for {
		if id := p.pop(time.Now()); id != nil {
			return id, nil
		}
		ids, err := c.obtainIDs(ctx)
		if err != nil {
			return nil, err
		}
		p.push(ids)
	}
}

func (p *idPool) pop(now time.Time) *jobID {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.unused) > 0 {
		last := len(p.unused) - 1
		id := p.unused[last]
		p.unused = p.unused[:last]
		if id.usable(now) {
			return id
		}
	}
	return nil
}

func (p *idPool) push(ids []*jobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unused = append(p.unused, ids...)
}

// obtainIDs requests a batch of IDs and retries until it succeeds, the error is
// permanent or GiveUpAfter has passed.
func (c *Client) obtainIDs(ctx context.Context) ([]*jobID, error) {
	body, err := json.Marshal(callerapi.IDsRequest{Count: c.opts.IDBatchSize})
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(c.opts.GiveUpAfter)
	backoff := minBackoff
	for {
		reply, err := c.call(ctx, http.MethodPost, "/v1/job-ids", body)
		if err == nil && reply.ids != nil {
			return newBatch(reply.ids), nil
		}
		if err == nil {
			err = reply.problemError()
		}
		if reply.permanent() || time.Now().After(deadline) || !sleep(ctx, max(backoff, reply.retryAfter())) {
			return nil, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// newBatch returns the IDs in reverse order, because pop takes the last one
// first. IDs with a short lifetime are not subject to the margin: otherwise, an
// ID whose lifetime is shorter than the margin could never be used.
func newBatch(r *callerapi.IDsResponse) []*jobID {
	shared := &batch{}
	expiry := r.ExpiresAt
	if time.Until(expiry) < 2*expiryMargin {
		expiry = expiry.Add(expiryMargin)
	}
	ids := make([]*jobID, len(r.IDs))
	for i, text := range r.IDs {
		ids[len(ids)-1-i] = &jobID{text: text, expiry: expiry, batch: shared}
	}
	return ids
}
