package endpointclient

import (
	"context"

	"lovagespread.example/dispatch"
)

// Stop sends a request to stop a task, in a new goroutine. A lost request is not
// retried, because the task ends with its lease.
func (c *Client) Stop(s dispatch.Stop) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.opts.Observer.Stopped(s)
		c.stop(s)
	}()
}

func (c *Client) stop(s dispatch.Stop) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	path := "/v1/tasks/" + taskID(s.Task.Job.String(), s.Task.Index, s.Attempt) + "/stop"
	resp, err := c.endpoint(s.Endpoint, s.Address).post(ctx, path, nil)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}
