package usersplatform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakeexecutor"
)

// Labels are the kinds of executors. Each failure domain has executors of all kinds, in turn.
var Labels = []string{"a", "b"}

func (d *Deployment) addExecutor(ctx context.Context, domain, n int) error {
	x := &Executor{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.ServeHTTP(w, r) })
	listener, err := d.serve(handler)
	if err != nil {
		return err
	}
	x.Listener = listener
	id := fmt.Sprintf("i-%s%02d", domainName(domain), n)
	x.Executor = fakeexecutor.New(fakeexecutor.Options{
		ID: id, Address: listener.Addr().String(), Service: serviceName, Zone: domainName(domain),
		Capacity: leased.Demand{MilliCores: executorMilliCores, MemoryMiB: executorMemoryMiB}, Work: d.workOf,
		Labels: []string{Labels[n%len(Labels)]},
		OnStart: func(task leased.TaskID, labels []string) {
			if d.opts.OnStart != nil {
				d.opts.OnStart(domainName(domain), leased.EndpointID(id), labels, task)
			}
		},
	})
	d.Executors = append(d.Executors, x)
	if err := x.Announce(d.Store, "ready"); err != nil {
		return err
	}
	go d.sendHeartbeats(ctx, x)
	return nil
}

// WithExecutorStates calls f with the states of all executors at one time.
func (d *Deployment) WithExecutorStates(f func([]*leasedtest.Endpoint)) {
	var states []*leasedtest.Endpoint
	var add func(i int)
	add = func(i int) {
		if i == len(d.Executors) {
			f(states)
			return
		}
		d.Executors[i].WithState(func(e *leasedtest.Endpoint) {
			states = append(states, e)
			add(i + 1)
		})
	}
	add(0)
}

func (d *Deployment) sendHeartbeats(ctx context.Context, x *Executor) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Announce fails only if the record cannot be encoded, and the same
			// record was encoded in addExecutor.
			_ = x.Announce(d.Store, "ready")
		}
	}
}
