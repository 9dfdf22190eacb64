package endpointclient

import (
	"sync"
	"time"
)

// renewalAge is the age of a lease from which it is renewed.
const renewalAge = MaxLease / 3

// lease is the lease of one attempt in flight.
type lease struct {
	end     time.Time // the attempt is given up
	granted time.Time // the endpoint stops the task unless the lease is renewed
}

// leases are those of the attempts in flight at one endpoint.
type leases struct {
	mu   sync.Mutex
	held map[*lease]struct{}
}

// add grants a lease that ends at the given time.
func (l *leases) add(now, end time.Time) *lease {
	granted := &lease{end: end, granted: grant(now, end)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = make(map[*lease]struct{})
	}
	l.held[granted] = struct{}{}
	return granted
}

func (l *leases) remove(one *lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, one)
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
	for one := range l.held {
		if one.granted.Before(one.end) && one.granted.Sub(now) < MaxLease-renewalAge {
			return true
		}
	}
	return false
}

// renewed notes that a heartbeat sent at the given time has renewed all
// leases granted before it.
func (l *leases) renewed(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for one := range l.held {
		one.granted = grant(sent, one.end)
	}
}

func grant(now, end time.Time) time.Time {
	if limit := now.Add(MaxLease); limit.Before(end) {
		return limit
	}
	return end
}
