package leased_test

import (
	"fmt"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// endpointFaults are the faults of endpoints in a simulation.
type endpointFaults struct {
	deadly     map[leased.TaskID]bool       // tasks that crash the endpoints that start them
	replaced   map[leased.EndpointID]bool   // their addresses belong to other endpoints
	broken     map[leased.EndpointID]bool   // their processes are gone, so that connections break
	takenOver  map[string]leased.EndpointID // addresses of endpoints that have replaced others
	returnsAs  returnAs
	downTime   time.Duration // from a crash to the return of the endpoint
	crashDelay time.Duration // from the start of a deadly task to the crash; 0: the Start is not answered
	crashCount int           // of endpoints
	crashes    []leased.Crash
}

// returnAs tells under which ID an endpoint returns after a crash.
type returnAs int

const (
	sameID returnAs = iota
	newID
)

func newEndpointFaults() endpointFaults {
	return endpointFaults{
		deadly: make(map[leased.TaskID]bool), replaced: make(map[leased.EndpointID]bool), broken: make(map[leased.EndpointID]bool), takenOver: make(map[string]leased.EndpointID), downTime: 3 * time.Second, crashDelay: 10 * time.Millisecond,
	}
}

// crashEndpoint crashes an endpoint, which returns after downTime without any
// state.
func (sim *simulation) crashEndpoint(id leased.EndpointID) {
	if sim.unreachable[id] || sim.replaced[id] {
		return
	}
	sim.crashCount++
	sim.unreachable[id] = true
	sim.endpoints[id].Restart(int64(1 + sim.crashCount))
	sim.after(sim.downTime, func() { sim.returnEndpoint(id) })
}

// breakPolls breaks the connections of an endpoint whose process has crashed, until it is
// back: open Holds have no reply at once.
func (sim *simulation) breakPolls(id leased.EndpointID) {
	sim.broken[id] = true
	for _, p := range sim.pendingPolls[id] {
		noReply := &leased.HoldReply{Endpoint: id, Sequence: p.sequence, Result: leased.HoldUnanswered}
		sim.after(networkDelay, func() { sim.step(p.core, noReply) })
	}
	sim.pendingPolls[id] = nil
}

func (sim *simulation) returnEndpoint(id leased.EndpointID) {
	sim.unreachable[id] = false
	if sim.returnsAs == sameID {
		return
	}
	sim.replaced[id] = true
	at := slices.IndexFunc(sim.specs, func(spec leased.Endpoint) bool { return spec.ID == id })
	spec := sim.specs[at]
	sim.specs = slices.Delete(sim.specs, at, at+1)
	spec.ID = leased.EndpointID(fmt.Sprintf("e%02d", len(sim.endpoints)))
	sim.takenOver[spec.Address] = spec.ID
	sim.addEndpoint(sim.holderOf[id], spec)
	sim.announce()
}

// otherIncarnation turns the missing reply to a request into that of another
// incarnation of the endpoint.
func otherIncarnation(noReply leased.Input) leased.Input {
	switch reply := noReply.(type) {
	case *leased.StartReply:
		reply.Result = leased.StartOtherIncarnation
	case *leased.HoldReply:
		reply.Result = leased.HoldOtherIncarnation
	}
	return noReply
}
