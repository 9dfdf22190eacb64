package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/logservice/platformapi"
)

// Timeouts and limits of a Client.
const (
	DefaultTimeout = 5 * time.Second // for one request, in addition to its wait
	MaxWait        = 30 * time.Second
	maxReplyBytes  = 16 << 20
	maxErrorBytes  = 4 << 10
	// safeReadLimit is a number of records that always fit into a reply, even if
	// all of them have the maximum size. base64 encodes 3 bytes as 4; the factor 2
	// allows for that.
	safeReadLimit   = maxReplyBytes / (2 * platformapi.MaxRecordBytes)
	idleConnections = 4
	// idleTimeout is short because an idle connection may stop working unnoticed,
	// and a new one is cheap.
	idleTimeout = 5 * time.Second
)

// Options are the parameters of a Client.
type Options struct {
	URL        string        // base URL, such as http://10.0.0.1:9000
	Token      string        // bearer token; empty: none is sent
	HTTPClient *http.Client  // nil: a new client
	Timeout    time.Duration // for one request, in addition to its wait; 0: DefaultTimeout
}

// Client calls the platform's HTTP API. It never sends a write twice. It is safe
// for concurrent use.
type Client struct {
	base    *url.URL
	token   string
	http    *http.Client
	timeout time.Duration
}

var (
	_ Log         = (*Client)(nil)
	_ VMLister    = (*Client)(nil)
	_ UsageReader = (*Client)(nil)
)

// NewClient returns a client. It does no I/O.
func NewClient(opts Options) (*Client, error) {
	base, err := url.Parse(opts.URL)
	if err != nil {
		return nil, errors.Wrap(err, "platform URL: write it as http://10.0.0.1:9000")
	}
	if base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, errors.Errorf("platform URL %q: write it as http://10.0.0.1:9000", opts.URL)
	}
	c := &Client{base: base, token: opts.Token, http: opts.HTTPClient, timeout: opts.Timeout}
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport(), CheckRedirect: refuseRedirect}
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	return c, nil
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
}

// refuseRedirect prevents a redirect from sending a write a second time to
// another URL.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Append implements Log. Its error is a *RefusedError, an *UnavailableError
// or an *UnknownOutcomeError.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	operation := "append to stream " + stream
	if err := checkBatch(operation, records); err != nil {
		return 0, err
	}
	body, err := json.Marshal(platformapi.AppendRequest{Records: records})
	if err != nil {
		return 0, errors.Wrap(err, operation)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reply platformapi.AppendResponse
	sent, err := c.send(ctx, operation, apiCall{method: http.MethodPost, url: c.logURL(stream, nil), body: body}, &reply)
	if err == nil {
		return reply.FirstOffset, nil
	}
	return 0, writeError(operation, sent, err)
}

// writeError returns the error that says whether a failed write may have taken
// effect.
func writeError(operation string, sent bool, err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return err
	}
	if !sent {
		return &UnavailableError{Operation: operation, Cause: err}
	}
	return &UnknownOutcomeError{Operation: operation, Cause: err}
}

func checkBatch(operation string, records [][]byte) error {
	if len(records) == 0 || len(records) > platformapi.MaxBatchRecords {
		detail := fmt.Sprintf("%d records in a batch of 1 to %d", len(records), platformapi.MaxBatchRecords)
		return &RefusedError{Operation: operation, Status: http.StatusBadRequest, Detail: detail}
	}
	for _, record := range records {
		if len(record) > platformapi.MaxRecordBytes {
			detail := fmt.Sprintf("a record of %d bytes, at most %d", len(record), platformapi.MaxRecordBytes)
			return &RefusedError{Operation: operation, Status: http.StatusRequestEntityTooLarge, Detail: detail}
		}
	}
	return nil
}

// Read implements Log. Its error is a *RefusedError or an *UnavailableError. If
// the reply is too large, Read repeats the request with a lower limit.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformapi.ReadResponse, error) {
	response, err := c.readOnce(ctx, stream, from, limit, wait)
	var large *replyTooLargeError
	if errors.As(err, &large) {
		return c.readOnce(ctx, stream, from, min(limit, safeReadLimit), wait)
	}
	return response, err
}

func (c *Client) readOnce(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformapi.ReadResponse, error) {
	wait = min(wait, MaxWait)
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var reply platformapi.ReadResponse
	err := c.get(ctx, "read stream "+stream, c.logURL(stream, query), &reply)
	return reply, err
}

// Usage implements UsageReader. Its error is a *RefusedError or an
// *UnavailableError.
func (c *Client) Usage(ctx context.Context) (platformapi.UsageReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reply platformapi.UsageReport
	err := c.get(ctx, "read usage", c.base.JoinPath("v1", "usage"), &reply)
	return reply, err
}

func (c *Client) logURL(stream string, query url.Values) *url.URL {
	u := c.base.JoinPath("v1", "log", url.PathEscape(stream))
	u.RawQuery = query.Encode()
	return u
}

func (c *Client) get(ctx context.Context, operation string, u *url.URL, reply any) error {
	_, err := c.send(ctx, operation, apiCall{method: http.MethodGet, url: u}, reply)
	var refused *RefusedError
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return &UnavailableError{Operation: operation, Cause: err}
}

// apiCall is one request.
type apiCall struct {
	method string
	url    *url.URL
	body   []byte
}

// send makes one request and decodes the reply. sent is false if no byte of the
// request can have reached the platform.
func (c *Client) send(ctx context.Context, operation string, call apiCall, reply any) (sent bool, err error) {
	response, sent, err := c.exchange(ctx, call, nil)
	if err != nil {
		return sent, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return true, statusError(operation, response)
	}
	return true, decode(response.Body, reply)
}

// exchange makes one request with additional headers. The caller must close the
// body of the response.
func (c *Client) exchange(ctx context.Context, call apiCall, header http.Header) (response *http.Response, sent bool, err error) {
	ctx, trace := traceConnection(ctx)
	request, err := http.NewRequestWithContext(ctx, call.method, call.url.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, false, err
	}
	// Without GetBody, net/http cannot resend a write on its own.
	request.GetBody = nil
	maps.Copy(request.Header, header)
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err = c.http.Do(request)
	if err != nil {
		return nil, trace.connected(), err
	}
	return response, true, nil
}

// replyTooLargeError reports that a reply exceeds maxReplyBytes.
type replyTooLargeError struct{}

func (*replyTooLargeError) Error() string {
	return fmt.Sprintf("the reply exceeds %d bytes: ask for fewer records", maxReplyBytes)
}

func decode(body io.Reader, reply any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxReplyBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxReplyBytes {
		return &replyTooLargeError{}
	}
	return json.Unmarshal(text, reply)
}

// statusError maps a status to an error. With a 4xx status the platform
// guarantees that nothing was changed; any other status says nothing about the
// effect of the request.
func statusError(operation string, response *http.Response) error {
	detail := errorDetail(response.Body)
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		return &RefusedError{Operation: operation, Status: response.StatusCode, Detail: detail}
	}
	return errors.Errorf("status %d: %s", response.StatusCode, detail)
}

func errorDetail(body io.Reader) string {
	text, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		return "no detail"
	}
	var parsed platformapi.ErrorBody
	if json.Unmarshal(text, &parsed) == nil && parsed.Error != "" {
		return parsed.Error
	}
	return strings.TrimSpace(string(text))
}

func refusalRemedy(status int) string {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return "correct the platform token"
	case http.StatusTooManyRequests:
		return "try again later, with fewer appends per second"
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return "send smaller or fewer records"
	case http.StatusNotFound:
		return "correct the platform URL"
	}
	return "correct the request"
}
