package entry

import (
	"math/rand/v2"

	"github.com/samber/do/v2"

	"lovagespread.example/dispatch"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/endpointclient"
	"lovagespread.example/entry/observe"
	"lovagespread.example/entry/outcomes"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/wire"
	"lovagespread.example/membership"
)

// engine holds the control loop and the endpoint client, which refer to each
// other.
type engine struct {
	loop   *control.Loop
	client *endpointclient.Client
}

// healthReporter forwards endpoint health observed by the endpoint client to the
// membership tracker.
type healthReporter struct{ report func(membership.Input) }

func (h healthReporter) EndpointAnswered(name string, leaving bool) {
	h.report(&membership.EndpointAnswered{Name: name, Leaving: leaving})
}

func (h healthReporter) EndpointUnresponsive(name string) {
	h.report(&membership.EndpointUnresponsive{Name: name})
}

// outcomeRecorder observes the control loop and queues the outcomes of ended jobs
// for writing to the log.
type outcomeRecorder struct {
	*observe.Observer
	outcomes *outcomes.Writer
}

// Answered records the end of a job and queues its outcome.
func (r outcomeRecorder) Answered(a *dispatch.Answer) {
	r.Observer.Answered(a)
	r.outcomes.Write(a)
}

func newEngine(i do.Injector) (*engine, error) {
	s := do.MustInvoke[settings.Settings](i)
	self, err := do.Invoke[membership.Entry](i)
	if err != nil {
		return nil, err
	}
	observer, err := do.Invoke[*observe.Observer](i)
	if err != nil {
		return nil, err
	}
	writer, err := do.Invoke[*outcomes.Writer](i)
	if err != nil {
		return nil, err
	}
	e := &engine{}
	e.client = endpointclient.New(endpointclient.Options{
		Entry:       incarnationOf(self).String(),
		Connections: s.Limits.ConnectionsPerEndpoint,
		Dialer:      wire.Dialer{Network: do.MustInvoke[wire.Network](i)},
		Observer:    observer,
		Report:      func(service string, outcome dispatch.Input) { e.loop.ReportOutcome(service, outcome) },
		Health:      healthReporter{func(in membership.Input) { e.loop.UpdateMembership(in) }},
	})
	e.loop = control.New(control.Options{
		Core: dispatch.New(dispatch.Options{
			Rand:       rand.New(rand.NewPCG(uint64(self.Incarnation), rand.Uint64())),
			Owner:      incarnationOf(self),
			MaxWaiting: s.Limits.MaxWaitingTasks,
		}),
		Tracker:   membership.New(membership.Options{Self: self}),
		Endpoints: e.client,
		Observer:  outcomeRecorder{observer, writer},
	})
	return e, nil
}
