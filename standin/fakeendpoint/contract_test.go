package fakeendpoint_test

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"lovagespread.example/standin/endpointcontract"
	"lovagespread.example/standin/fakeendpoint"
)

const slots = 3

func TestContract(t *testing.T) {
	endpointcontract.Test(t, func() endpointcontract.EndpointUnderTest {
		starts := fakeendpoint.NewStarts()
		e := fakeendpoint.New(fakeendpoint.Options{
			Name:    "e-1",
			Service: "resize",
			Slots:   slots,
			Worker:  &fakeendpoint.Worker{Name: "w-1"},
			Starts:  starts,
		})
		return endpointcontract.EndpointUnderTest{
			Service: "resize",
			Slots:   slots,
			Serve:   func(l net.Listener) { _ = http.Serve(l, e.Handler()) },
			Payload: payload,
			Leave:   func() { e.SetLeaving(true) },
			Starts: func(job string, index int) int {
				return starts.Count(fakeendpoint.TaskKey{Job: job, Index: index})
			},
		}
	})
}

func payload(run time.Duration) json.RawMessage {
	raw, err := json.Marshal(fakeendpoint.Payload{RunMS: float64(run) / float64(time.Millisecond)})
	if err != nil {
		panic(err)
	}
	return raw
}
