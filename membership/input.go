package membership

import "time"

// Input is an input of Tracker.Step.
type Input interface{ isInput() }

// List is the platform's list of VMs at a given time.
type List struct {
	AsOf      time.Time
	Entries   []Entry // without incarnations
	Endpoints []Endpoint
}

// Heartbeat is what an entry reports about itself and other entries.
type Heartbeat struct {
	From  Entry
	Known []Entry
}

// EndpointAnswered reports that an endpoint has answered a request.
type EndpointAnswered struct {
	Name    string
	Leaving bool
}

// EndpointUnresponsive reports that a request to an endpoint got no answer.
type EndpointUnresponsive struct{ Name string }

// HandoverReceived reports that this entry has taken over the jobs of other
// incarnations.
type HandoverReceived struct{ Owners []Incarnation }

// Tick updates all states that depend on the time.
type Tick struct{}

func (*List) isInput()                 {}
func (*Heartbeat) isInput()            {}
func (*EndpointAnswered) isInput()     {}
func (*EndpointUnresponsive) isInput() {}
func (*HandoverReceived) isInput()     {}
func (*Tick) isInput()                 {}
