package fleet

import (
	"context"
	"time"

	"lovagespread.example/dispatch/leased"
)

// EndpointClient sends requests to endpoints. Calls block until the endpoint has
// answered or the context is done. They are safe for concurrent use.
type EndpointClient interface {
	Start(context.Context, *leased.Start) leased.StartReply
	Stop(context.Context, *leased.Stop) leased.StopReply
	Hold(context.Context, *leased.Hold) leased.HoldReply
}

// Queue describes the queue that accepts one kind of jobs.
type Queue struct {
	Name        string
	Host        string // of the request
	PathPrefix  string // the rest of the path is the job's ID
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64 // see leased.Job
	Slack       time.Duration
	Timeout     time.Duration // maximum time for which a caller is served; 0: no limit
	NeedsAdvice bool          // a recommendation service decides which endpoints may run its steps
}

// WaitedBefore returns how long at least a caller has waited before a request, by
// earlier requests for the same job that broke off: a caller who comes back has
// less time left than the queue gives to a new one.
func (q *Queue) WaitedBefore(callerTimeout time.Duration) time.Duration {
	return max(0, q.Timeout-callerTimeout)
}

// Configuration is a version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	Services []string // names of all services; those of the queues may be missing
	MaxBody  int64    // maximum size of a request in bytes
	MaxHead  int      // maximum size of a request's headers in bytes
	HeadTime time.Duration
	IdleTime time.Duration
}

// services returns the names of the services.
func (c *Configuration) services() map[string]bool {
	names := make(map[string]bool)
	if c == nil {
		return names
	}
	for _, name := range c.Services {
		names[name] = true
	}
	for i := range c.Queues {
		names[c.Queues[i].Service] = true
	}
	return names
}

// Directory is the configuration and the endpoints that a process has received,
// in the form in which peers exchange them. A higher Version replaces the
// configuration of a lower one.
type Directory struct {
	Version       uint64
	Configuration *Configuration
	Endpoints     []leased.Endpoint
	Evacuations   *Evacuations // nil: not known
}
