package membership

import "time"

// Input is anything that Tracker.Step takes.
type Input interface{ isInput() }

// List is the platform's list of VMs as of a time.
type List struct {
	AsOf      time.Time
	Entries   []Entry // without incarnation
	Endpoints []Endpoint
}

// Heartbeat is what an entry says of itself and of others.
type Heartbeat struct {
	From  Entry
	Known []Entry
}

// EndpointAnswered says that an endpoint has answered a request.
type EndpointAnswered struct {
	Name    string
	Leaving bool
}

// EndpointUnresponsive says that a request to an endpoint got no answer.
type EndpointUnresponsive struct{ Name string }

// HandoverReceived says that this entry has taken over the jobs of other
// incarnations.
type HandoverReceived struct{ Owners []Incarnation }

// Tick lets time pass.
type Tick struct{}

func (*List) isInput()                 {}
func (*Heartbeat) isInput()            {}
func (*EndpointAnswered) isInput()     {}
func (*EndpointUnresponsive) isInput() {}
func (*HandoverReceived) isInput()     {}
func (*Tick) isInput()                 {}
