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

// Spacing of polls. A failed poll doubles the pollInterval up to the largest.
const (
	pollInterval    = time.Second
	maxPollInterval = 15 * time.Second
)

// Poller polls until its context ends. A failed poll changes nothing: the
// members known so far stay.
type Poller struct {
	Lister logservice.VMLister
	// Peers are asked if the platform's list cannot be read at the start.
	Peers Peers
	// FailureDomain is the one whose endpoints are wanted.
	FailureDomain string
	Sink          func(membership.Input)
	Log           *zap.Logger

	knownVersion string // version of the latest list
	latest       atomic.Pointer[platformapi.VMList]
}

// Peers gives the lists that other entries have.
type Peers interface {
	Members(ctx context.Context) (platformapi.VMList, error)
}

// Latest returns the latest list that the platform gave this entry, or nil if
// it has given none.
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

// fetchFromPeers takes the list of another entry while the platform has given none.
// What is learned is not passed on as this entry's own.
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
