package fleet

import (
	"context"
	"time"

	"lovagespread.example/dispatch/leased"
)

// EndpointClient carries orders to endpoints. Calls block until the endpoint has
// answered or the context ends, and are safe for concurrent use.
type EndpointClient interface {
	Start(context.Context, *leased.Start) leased.StartReply
	Stop(context.Context, *leased.Stop) leased.StopReply
	Hold(context.Context, *leased.Hold) leased.HoldReply
}

// Queue is where callers send jobs of one kind.
type Queue struct {
	Name        string
	Host        string // of the request
	PathPrefix  string // the rest of the path is the job's ID
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64 // see leased.Job
	Slack       time.Duration
	Timeout     time.Duration // longest that a caller is served; 0: no limit
	NeedsAdvice bool          // only an adviser knows which endpoints may run its steps
}

// Configuration is one version of what the operators want.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	MaxBody  int64 // bytes of a request
	MaxHead  int   // bytes of a request's headers
	HeadTime time.Duration
	IdleTime time.Duration
}

// Directory is the configuration and the endpoints that a process has learned,
// in the form in which peers pass them on. Version orders configurations.
type Directory struct {
	Version       uint64
	Configuration *Configuration
	Endpoints     []leased.Endpoint
}
