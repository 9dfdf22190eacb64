// Package explain keeps the latest decisions of an entry, so that operators
// can ask why a job went where it did. The log holds all of them.
package explain

import (
	"sync"
	"time"
)

// Kind is what was decided.
type Kind string

// Kinds of decisions.
const (
	Place  Kind = "place"
	Stop   Kind = "stop"
	Lost   Kind = "lost"
	Reject Kind = "reject"
	Route  Kind = "route"
	End    Kind = "end"
)

// Decision is one decision about a job.
type Decision struct {
	Time     time.Time `json:"time"`
	Job      string    `json:"job" doc:"Label of the job, as in the log"`
	Kind     Kind      `json:"kind"`
	Task     int       `json:"task"`
	Attempt  int       `json:"attempt,omitempty"`
	Endpoint string    `json:"endpoint,omitempty"`
	Eligible int       `json:"eligible,omitempty" doc:"Endpoints that could have taken the task"`
	Urgency  float64   `json:"urgency,omitempty" doc:"Inferred; larger is more urgent"`
	Reason   string    `json:"reason,omitempty"`
}

// Capacity is the number of decisions kept.
const Capacity = 1 << 14

// Ring holds the latest Capacity decisions. It is safe for concurrent use.
type Ring struct {
	mu        sync.Mutex
	next      int
	decisions []Decision
}

// NewRing returns an empty ring.
func NewRing() *Ring { return &Ring{decisions: make([]Decision, 0, Capacity)} }

// Add keeps a decision in place of the oldest.
func (r *Ring) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.decisions) < Capacity {
		r.decisions = append(r.decisions, d)
		return
	}
	r.decisions[r.next] = d
	r.next = (r.next + 1) % Capacity
}

// ForJob returns the kept decisions about a job, oldest first.
func (r *Ring) ForJob(job string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []Decision{}
	for i := range r.decisions {
		if d := r.decisions[(r.next+i)%len(r.decisions)]; d.Job == job {
			list = append(list, d)
		}
	}
	return list
}
