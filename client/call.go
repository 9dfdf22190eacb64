package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
)

// replyMargin is how long a reply may take in addition to Options.Wait.
const replyMargin = 5 * time.Second

// reply holds the response body of one request. All fields are nil if the job is
// still running.
type reply struct {
	answer  *callerapi.Answer
	ids     *callerapi.IDsResponse
	problem *callerapi.Problem
}

// permanent reports whether a retry is pointless.
func (r reply) permanent() bool {
	return r.problem != nil && r.problem.Status < http.StatusInternalServerError && r.problem.RetryAfterMS == 0
}

func (r reply) retryAfter() time.Duration {
	if r.problem == nil {
		return 0
	}
	return time.Duration(r.problem.RetryAfterMS) * time.Millisecond
}

// problemError returns the error for a reply that carries no IDs.
func (r reply) problemError() error {
	if r.problem == nil {
		return &ReplyError{Status: http.StatusAccepted}
	}
	return r.problem
}

// call makes one request. After an error it is unknown whether the request took
// effect.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Wait+replyMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.opts.URL+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	}
	resp, err := c.opts.HTTPClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	return parseReply(method, resp, data)
}

func parseReply(method string, resp *http.Response, data []byte) (reply, error) {
	var r reply
	var target any
	switch {
	case resp.Header.Get("Content-Type") == callerapi.ProblemMediaType:
		r.problem = &callerapi.Problem{}
		target = r.problem
	case resp.StatusCode == http.StatusAccepted:
		return r, nil
	case resp.StatusCode != http.StatusOK:
		return r, &ReplyError{Status: resp.StatusCode}
	case method == http.MethodPost:
		r.ids = &callerapi.IDsResponse{}
		target = r.ids
	default:
		r.answer = &callerapi.Answer{}
		target = r.answer
	}
	if err := json.Unmarshal(data, target); err != nil {
		return reply{}, err
	}
	return r, nil
}
