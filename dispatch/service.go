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

// Shares of the first attempts that may be added to them.
const (
	retryShare = 0.02
	retryLimit = 60
	hedgeShare = 0.01
	hedgeLimit = 60
	// hedgeRefund is what a hedge gives back that was answered first.
	hedgeRefund = 0.8
)

// defaultTimeout is the lease of a task whose service names none.
const defaultTimeout = 30 * time.Second

// service is what the core knows of one service.
type service struct {
	spec     catalog.Service
	known    bool // in the catalog in force
	index    int
	depth    int // length of the longest chain of services that wait for it
	queue    queue.Queue[*group]
	waiting  int           // tasks
	backlog  time.Duration // expected run time of the waiting tasks
	pool     *place.Pool
	runs     *estimate.Service
	patience estimate.CallerTimeout
	peers    outlier.Peers
	retries  retry.Budget
	hedges   retry.Budget
	leases   queue.FIFO[*run]
	watched  queue.Wheel[*run] // until they are overdue
	weight   int               // of the teams with open tasks here
	lacking  time.Time         // since when no endpoint can take tasks
}

// team is what the core knows of one team.
type team struct {
	index   int
	weight  int
	spec    catalog.Team
	bucket  quota.Bucket
	portion []portion // by service index
}

// portion is one team's part in one service.
type portion struct {
	clock   quota.Clock
	open    int           // tasks that wait or run
	backlog time.Duration // expected run time of the waiting tasks
}

func (t *team) at(s *service) *portion {
	for len(t.portion) <= s.index {
		t.portion = append(t.portion, portion{})
	}
	return &t.portion[s.index]
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
		c.byDepth = append(c.byDepth, s)
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

// setCatalog puts a version in force. What was learned of a service stays.
func (c *Core) setCatalog(text *catalog.Catalog) {
	c.catalog = text
	for _, s := range c.services {
		s.known = false
	}
	for _, spec := range text.Services {
		s := c.serviceOf(spec.Name)
		if s.runs == nil || s.spec.RunTime != spec.RunTime {
			s.runs = estimate.New(spec.RunTime, !c.opts.Off.has(Learning))
		}
		if spec.Timeout <= 0 {
			spec.Timeout = defaultTimeout
		}
		s.spec, s.known = spec, true
	}
	for _, spec := range text.Teams {
		c.setTeam(spec)
	}
	c.setDepths()
	c.setEndpoints(c.listed)
}

// setTeam changes a team's weight, also in the sums of the services where it
// has open tasks.
func (c *Core) setTeam(spec catalog.Team) {
	t := c.teamOf(spec.Name)
	weight := max(spec.Weight, 1)
	for _, s := range c.services {
		if t.at(s).open > 0 {
			s.weight += weight - t.weight
		}
	}
	t.spec, t.weight = spec, weight
}

// setDepths measures how deep each service lies below those that callers
// reach, and sorts the deepest to the front: others wait for them.
func (c *Core) setDepths() {
	for _, s := range c.services {
		s.depth = 0
	}
	for range c.catalog.Services {
		if !c.deepen() {
			break
		}
	}
	slices.SortStableFunc(c.byDepth, func(a, b *service) int { return b.depth - a.depth })
}

func (c *Core) deepen() (changed bool) {
	for _, spec := range c.catalog.Services {
		depth := c.services[spec.Name].depth + 1
		for _, name := range spec.DependsOn {
			if below := c.services[name]; below != nil && below.depth < depth {
				below.depth = depth
				changed = true
			}
		}
	}
	return changed
}
