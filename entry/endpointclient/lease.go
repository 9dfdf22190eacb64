package endpointclient

import (
	"sync"
	"time"
)

// renewalAge is the age at which a lease is renewed.
const renewalAge = MaxLease / 3

// lease is the lease of one attempt in flight.
type lease struct {
	deadline time.Time // the client stops waiting for the attempt
	expiry   time.Time // the endpoint stops the task unless the lease is renewed
}

// leases holds the leases of the attempts in flight at one endpoint.
type leases struct {
	mu   sync.Mutex
	held map[*lease]struct{}
}

// add grants a lease that can be renewed until the deadline.
func (l *leases) add(now, deadline time.Time) *lease {
	granted := &lease{deadline: deadline, expiry: expiryOf(now, deadline)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = make(map[*lease]struct{})
	}
	l.held[granted] = struct{}{}
	return granted
}

func (l *leases) remove(removed *lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, removed)
}

func (l *leases) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) == 0
}

// due reports whether a lease must be renewed now to last until its deadline.
func (l *leases) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for held := range l.held {
		if held.expiry.Before(held.deadline) && held.expiry.Sub(now) < MaxLease-renewalAge {
			return true
		}
	}
	return false
}

// renewAll records that a heartbeat sent at the given time has renewed all
// leases granted before it.
func (l *leases) renewAll(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for held := range l.held {
		held.expiry = expiryOf(sent, held.deadline)
	}
}

func expiryOf(now, deadline time.Time) time.Time {
	if limit := now.Add(MaxLease); limit.Before(deadline) {
		return limit
	}
	return deadline
}
