package endpointclient

import (
	"sync"
	"time"
)

// leases counts the attempts in flight at one endpoint and knows when the
// endpoint's leases need renewal.
type leases struct {
	mu      sync.Mutex
	running map[time.Time]int // attempts by the end of their lease
	renewed time.Time
}

func (l *leases) add(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[time.Time]int)
	}
	l.running[end]++
}

func (l *leases) remove(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[end]--
	if l.running[end] <= 0 {
		delete(l.running, end)
	}
}

func (l *leases) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running) == 0
}
