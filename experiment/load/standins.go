package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/standin/fakebalancer"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
)

// standinsTimeout is the timeout of a request to the control listener of the
// stand-ins.
const standinsTimeout = 10 * time.Second

// Standins is a client of the control listener of lovage-standin.
type Standins struct {
	address string
	client  http.Client
}

// NewStandins returns a client of the control listener at host:port.
func NewStandins(address string) *Standins {
	return &Standins{address: address, client: http.Client{Timeout: standinsTimeout}}
}

// StandinsError reports a request that the stand-ins rejected.
type StandinsError struct {
	Path   string
	Status int
	Body   string
}

func (e *StandinsError) Error() string {
	return fmt.Sprintf("%s: status %d: %s: correct the request, see /openapi.json of the control listener", e.Path, e.Status, e.Body)
}

// Starts returns the report of task starts at all endpoints.
func (s *Standins) Starts(ctx context.Context) (report fakeendpoint.StartReport, err error) {
	err = s.do(ctx, http.MethodGet, "/starts", nil, &report)
	return report, err
}

// Messages returns the counts of messages at all endpoints.
func (s *Standins) Messages(ctx context.Context) (messages fakeendpoint.Messages, err error) {
	err = s.do(ctx, http.MethodGet, "/messages", nil, &messages)
	return messages, err
}

// Endpoints lists the endpoints.
func (s *Standins) Endpoints(ctx context.Context) (list []fakeendpoint.EndpointInfo, err error) {
	err = s.do(ctx, http.MethodGet, "/endpoints", nil, &list)
	return list, err
}

// Slots returns the total number of slots of each service.
func (s *Standins) Slots(ctx context.Context) (map[string]int, error) {
	list, err := s.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	slots := make(map[string]int)
	for _, e := range list {
		slots[e.Service] += e.Slots
	}
	return slots, nil
}

// Ready returns the caller addresses of the entries that are ready.
func (s *Standins) Ready(ctx context.Context) ([]string, error) {
	var body struct {
		Ready []string `json:"ready"`
	}
	err := s.do(ctx, http.MethodGet, "/balancer", nil, &body)
	return body.Ready, err
}

// SetEndpointFault sets a fault switch of endpoints.
func (s *Standins) SetEndpointFault(ctx context.Context, req fakeendpoint.FaultRequest) (done fakeendpoint.FaultResponse, err error) {
	err = s.do(ctx, http.MethodPost, "/faults/endpoints", req, &done)
	return done, err
}

// SetBalancerFaults replaces the fault switches of the balancer.
func (s *Standins) SetBalancerFaults(ctx context.Context, settings fakebalancer.FaultSettings) error {
	return s.do(ctx, http.MethodPost, "/faults/balancer", settings, nil)
}

// SetPlatformFaults replaces the fault switches of the platform at host:port.
func SetPlatformFaults(ctx context.Context, address string, faults fakeplatform.Faults) error {
	return NewStandins(address).do(ctx, http.MethodPut, "/faults", faults, nil)
}

func (s *Standins) do(ctx context.Context, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the request")
	}
	if method == http.MethodGet {
		raw = nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "invalid control address")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "reach the stand-ins: is lovage-standin running?")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "read the response of the stand-ins")
	}
	if res.StatusCode >= http.StatusBadRequest {
		return &StandinsError{Path: path, Status: res.StatusCode, Body: string(text)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return errors.Wrap(err, "decode the response of the stand-ins")
	}
	return nil
}
