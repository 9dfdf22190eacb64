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

// engine is the control loop with the endpoint client, which call each other.
type engine struct {
	loop   *control.Loop
	client *endpointclient.Client
}

// health passes what the endpoint client sees to the membership tracker.
type health struct{ member func(membership.Input) }

func (h health) EndpointAnswered(name string, leaving bool) {
	h.member(&membership.EndpointAnswered{Name: name, Leaving: leaving})
}

func (h health) EndpointUnresponsive(name string) {
	h.member(&membership.EndpointUnresponsive{Name: name})
}

// ended observes the loop and writes the outcomes of jobs behind.
type ended struct {
	*observe.Observer
	outcomes *outcomes.Writer
}

// Answered notes the end of a job.
func (e ended) Answered(a *dispatch.Answer) {
	e.Observer.Answered(a)
	e.outcomes.Write(a)
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
		Health:      health{func(in membership.Input) { e.loop.UpdateMembership(in) }},
	})
	e.loop = control.New(control.Options{
		Core: dispatch.New(dispatch.Options{
			Rand:       rand.New(rand.NewPCG(uint64(self.Incarnation), rand.Uint64())),
			Owner:      incarnationOf(self),
			MaxWaiting: s.Limits.MaxWaitingTasks,
		}),
		Tracker:   membership.New(membership.Options{Self: self}),
		Endpoints: e.client,
		Observer:  ended{observer, writer},
	})
	return e, nil
}
