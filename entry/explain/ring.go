// Package explain holds the latest decisions of an entry in memory, so that
// operators can see why a job was placed, routed or rejected as it was. The log
// contains all decisions.
package explain

import (
	"sync"
	"time"
)

// Kind is the kind of a decision.
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
	Eligible int       `json:"eligible,omitempty" doc:"Endpoints to which the task could have been sent"`
	Urgency  float64   `json:"urgency,omitempty" doc:"Inferred; larger is more urgent"`
	Reason   string    `json:"reason,omitempty"`
}

// Capacity is the maximum number of decisions in a Ring.
const Capacity = 1 << 14

// Ring is a ring buffer of the latest Capacity decisions. It is safe for
// concurrent use.
type Ring struct {
	mu        sync.Mutex
	next      int
	decisions []Decision
}

// NewRing returns an empty ring.
func NewRing() *Ring { return &Ring{decisions: make([]Decision, 0, Capacity)} }

// Add adds a decision. If the ring is full, it replaces the oldest one.
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

// ForJob returns the decisions about a job that are in the ring, oldest first.
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
