package dispatch

import (
	"slices"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/estimate"
	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/place"
	"lovagespread.example/dispatch/queue"
	"lovagespread.example/dispatch/quota"
	"lovagespread.example/dispatch/retry"
)

// Parameters of the retry and hedge budgets. A share is relative to the number
// of first attempts.
const (
	retryShare = 0.02
	retryLimit = 60
	hedgeShare = 0.01
	hedgeLimit = 60
	// hedgeRefund is the part of a hedge's cost that is refunded if the hedge
	// returns the result first.
	hedgeRefund = 0.8
)

// defaultTimeout is the lease of a task whose service sets no timeout.
const defaultTimeout = 30 * time.Second

// service is the state of one service.
type service struct {
	spec            catalog.Service
	known           bool // in the current catalog
	index           int
	depth           int // length of the longest chain of services that depend on it
	queue           queue.Queue[*group]
	waiting         int           // tasks
	backlog         time.Duration // expected run time of the waiting tasks
	pool            *place.Pool
	runs            *estimate.Service
	callerTimeout   estimate.CallerTimeout
	peers           outlier.Peers
	retries         retry.Budget
	hedges          retry.Budget
	leases          queue.FIFO[*run]
	overdueChecks   queue.Wheel[*run] // by the time when they become overdue
	weight          int               // sum over the teams with open tasks here
	noEndpointSince time.Time         // zero: an endpoint is usable or no task waits
}

// team is the state of one team.
type team struct {
	index  int
	weight int
	spec   catalog.Team
	bucket quota.Bucket
	usage  []teamUsage // by service index
}

// teamUsage is the use of one service by one team.
type teamUsage struct {
	clock   quota.Clock
	open    int           // tasks that wait or run
	backlog time.Duration // expected run time of the waiting tasks
}

func (t *team) usageOf(s *service) *teamUsage {
	for len(t.usage) <= s.index {
		t.usage = append(t.usage, teamUsage{})
	}
	return &t.usage[s.index]
}

func (c *Core) serviceOf(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			index:   len(c.services),
			pool:    &place.Pool{},
			retries: retry.NewBudget(retryShare, retryLimit),
			hedges:  retry.NewBudget(hedgeShare, hedgeLimit),
		}
		c.services[name] = s
		c.servicesByDepth = append(c.servicesByDepth, s)
	}
	return s
}

func (c *Core) teamOf(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{index: len(c.teams), weight: 1}
		c.teams[name] = t
	}
	return t
}

// setCatalog applies a version of the configuration. The run-time estimates of a
// service are kept unless its configured run time changes.
func (c *Core) setCatalog(in *SetCatalog) {
	next := in.Catalog
	c.catalog = next
	c.setEvacuated(next.Evacuated, in.Late)
	for _, s := range c.services {
		s.known = false
	}
	for _, spec := range next.Services {
		s := c.serviceOf(spec.Name)
		if s.runs == nil || s.spec.RunTime != spec.RunTime {
			s.runs = estimate.New(spec.RunTime, !c.opts.Disabled.has(Learning))
		}
		if spec.Timeout <= 0 {
			spec.Timeout = defaultTimeout
		}
		s.spec, s.known = spec, true
	}
	for _, spec := range next.Teams {
		c.setTeam(spec)
	}
	c.setDepths()
	c.setEndpoints(c.lastEndpoints)
}

// setTeam changes a team's weight, also in the weight sums of the services where
// it has open tasks.
func (c *Core) setTeam(spec catalog.Team) {
	t := c.teamOf(spec.Name)
	weight := max(spec.Weight, 1)
	for _, s := range c.services {
		if t.usageOf(s).open > 0 {
			s.weight += weight - t.weight
		}
	}
	t.spec, t.weight = spec, weight
}

// setDepths computes the depth of each service in the dependency graph and sorts
// the services by it. The deepest come first, since others wait for them.
func (c *Core) setDepths() {
	for _, s := range c.services {
		s.depth = 0
	}
	for range c.catalog.Services {
		if !c.updateDepths() {
			break
		}
	}
	slices.SortStableFunc(c.servicesByDepth, func(a, b *service) int { return b.depth - a.depth })
}

// updateDepths raises the depth of each dependency above that of the services
// that depend on it, and reports whether any depth changed.
func (c *Core) updateDepths() (changed bool) {
	for _, spec := range c.catalog.Services {
		depth := c.services[spec.Name].depth + 1
		for _, name := range spec.DependsOn {
			if dependency := c.services[name]; dependency != nil && dependency.depth < depth {
				dependency.depth = depth
				changed = true
			}
		}
	}
	return changed
}
