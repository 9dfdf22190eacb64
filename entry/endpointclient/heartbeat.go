package endpointclient

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/logservice/endpointapi"
)

// heartbeatInterval is the time between two checks of the leases.
const heartbeatInterval = 500 * time.Millisecond

// RunHeartbeats renews leases until the context ends. An endpoint gets a
// heartbeat only while it has a task whose lease has reached a third of its
// length. One heartbeat renews all leases of this entry at that endpoint.
func (c *Client) RunHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.renewAll(ctx)
		}
	}
}

func (c *Client) renewAll(ctx context.Context) {
	for _, e := range c.list() {
		if e.leases.due(time.Now()) && e.renewing.CompareAndSwap(false, true) {
			go c.renew(ctx, e)
		}
	}
}

func (c *Client) list() []*endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo.Values(c.endpoints)
}

// renew sends one heartbeat. Leases count as renewed from the time before it was
// sent, so that a lease at the endpoint never ends before the expiry recorded
// here.
func (c *Client) renew(ctx context.Context, e *endpoint) {
	defer e.renewing.Store(false)
	sent := time.Now()
	c.opts.Observer.Message("endpoint_heartbeat")
	load, err := c.heartbeat(ctx, e)
	if err != nil {
		c.reportUnresponsive(e)
		return
	}
	e.leases.renewAll(sent)
	c.reportAnswered(e, load.Leaving)
}

func (c *Client) heartbeat(ctx context.Context, e *endpoint) (endpointapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := json.Marshal(endpointapi.HeartbeatRequest{Entry: c.opts.Entry, LeaseMS: MaxLease.Milliseconds()})
	if err != nil {
		return endpointapi.Load{}, err
	}
	resp, err := e.post(ctx, "/v1/heartbeat", body)
	if err != nil {
		return endpointapi.Load{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return endpointapi.Load{}, &StatusError{Status: resp.StatusCode}
	}
	var response endpointapi.HeartbeatResponse
	err = json.NewDecoder(resp.Body).Decode(&response)
	return response.Load, err
}
