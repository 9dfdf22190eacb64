package endpointclient

import (
	"sync"
	"time"
)

// renewalAge is the age of a lease from which it is renewed.
const renewalAge = MaxLease / 3

// lease is the lease of one attempt in flight.
type lease struct {
	deadline time.Time // the attempt is given up
	expiry   time.Time // the endpoint stops the task unless the lease is renewed
}

// leases are those of the attempts in flight at one endpoint.
type leases struct {
	mu   sync.Mutex
	held map[*lease]struct{}
}

// add grants a lease that ends at the given time.
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

// due reports whether some lease must be renewed to reach its end.
func (l *leases) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lease := range l.held {
		if lease.expiry.Before(lease.deadline) && lease.expiry.Sub(now) < MaxLease-renewalAge {
			return true
		}
	}
	return false
}

// renewAll notes that a heartbeat sent at the given time has renewAll all
// leases granted before it.
func (l *leases) renewAll(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lease := range l.held {
		lease.expiry = expiryOf(sent, lease.deadline)
	}
}

func expiryOf(now, deadline time.Time) time.Time {
	if limit := now.Add(MaxLease); limit.Before(deadline) {
		return limit
	}
	return deadline
}
