// Package vmlist polls the platform's list of VMs for the membership tracker.
package vmlist

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/entry/wait"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/membership"
)

// Bounds of the poll interval. Each failed poll doubles the interval.
const (
	pollInterval    = time.Second
	maxPollInterval = 15 * time.Second
)

// Poller polls the list until its context ends. A failed poll leaves the known
// members unchanged.
type Poller struct {
	Lister logservice.VMLister
	// Peers are asked for the list if the platform's list cannot be read at the
	// start.
	Peers Peers
	// FailureDomain is the failure domain whose endpoints are listed.
	FailureDomain string
	Sink          func(membership.Input)
	Log           *zap.Logger

	knownVersion string // version of the latest list
	latest       atomic.Pointer[platformapi.VMList]
}

// Peers returns the list of VMs of another entry.
type Peers interface {
	Members(ctx context.Context) (platformapi.VMList, error)
}

// Latest returns the latest list that this entry has read from the platform, or
// nil if it has read none.
func (p *Poller) Latest() *platformapi.VMList { return p.latest.Load() }

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	delay := pollInterval
	for ctx.Err() == nil {
		delay = p.nextDelay(delay, p.poll(ctx))
		wait.For(ctx, delay/2+rand.N(delay/2))
	}
}

func (p *Poller) nextDelay(delay time.Duration, err error) time.Duration {
	if err == nil {
		return pollInterval
	}
	return min(2*delay, maxPollInterval)
}

func (p *Poller) poll(ctx context.Context) error {
	list, err := p.Lister.VMs(ctx, logservice.VMQuery{EndpointsIn: p.FailureDomain, Known: p.knownVersion})
	if err != nil {
		p.Log.Warn("the list of VMs cannot be read, the known members stay", zap.Error(err))
		p.fetchFromPeers(ctx)
		return err
	}
	if list.Unchanged {
		return nil
	}
	p.knownVersion = list.Version
	p.latest.Store(&list.VMList)
	p.Sink(toMembershipList(list.VMList))
	return nil
}

// fetchFromPeers uses the list of another entry while the platform has returned
// none. Latest does not return that list, so this entry does not pass it on as its
// own.
func (p *Poller) fetchFromPeers(ctx context.Context) {
	if p.Latest() != nil {
		return
	}
	list, err := p.Peers.Members(ctx)
	if err != nil {
		p.Log.Warn("no other entry has a list of VMs", zap.Error(err))
		return
	}
	list.VMs = slices.DeleteFunc(list.VMs, func(vm platformapi.VM) bool {
		return vm.Role == platformapi.RoleEndpoint && vm.FailureDomain != p.FailureDomain
	})
	p.Sink(toMembershipList(list))
}

func toMembershipList(list platformapi.VMList) *membership.List {
	out := &membership.List{AsOf: list.AsOf}
	for i := range list.VMs {
		vm := &list.VMs[i]
		switch vm.Role {
		case platformapi.RoleEntry:
			out.Entries = append(out.Entries, entryOf(vm))
		case platformapi.RoleEndpoint:
			out.Endpoints = append(out.Endpoints, endpointOf(vm))
		}
	}
	return out
}

func entryOf(vm *platformapi.VM) membership.Entry {
	return membership.Entry{
		Name:          vm.Name,
		Address:       vm.Address,
		Region:        vm.Region,
		FailureDomain: vm.FailureDomain,
		State:         stateOf(vm.State),
	}
}

func endpointOf(vm *platformapi.VM) membership.Endpoint {
	return membership.Endpoint{
		Name:          vm.Name,
		Address:       vm.Address,
		Service:       vm.Service,
		Slots:         vm.Slots,
		Region:        vm.Region,
		FailureDomain: vm.FailureDomain,
		Rack:          vm.Rack,
		Worker:        vm.Worker,
		MilliCores:    vm.MilliCores,
		MemoryMiB:     vm.MemoryMiB,
		Accelerators:  vm.Accelerators,
		State:         stateOf(vm.State),
	}
}

func stateOf(s platformapi.VMState) membership.State {
	if s == platformapi.VMLeaving {
		return membership.Leaving
	}
	return membership.Live
}
