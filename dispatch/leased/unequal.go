package leased

import (
	"errors"
	"maps"
	"slices"
	"time"

	"lovagespread.example/dispatch/placement"
)

const (
	// speedReviewInterval is the interval at which priors are renewed and the speeds
	// are compared.
	speedReviewInterval = 200 * time.Millisecond
	// slowerThanKind is by how much (a logarithm) an endpoint must be slower than its
	// kind for its speed to fade, because it gets too few tasks to show that it has
	// recovered.
	slowerThanKind = 0.5
	// speedFadeTime is the time constant of that fading.
	speedFadeTime = 4 * time.Second
)

// unequal is the state of placement on endpoints of different speeds. It is
// learned from the ends of runs, and is lost with the process.
type unequal struct {
	mode       placementMode
	kinds      placement.Kinds
	spreads    map[string]*placement.Spread   // by queue
	contrasts  map[string]*placement.Contrast // by service
	reviewedAt time.Time
	counts     PlacementCounts
	together
	// oracle returns the exact nominal run time of a task in mode placeByOracle.
	oracle func(TaskID) time.Duration
}

// placementMode selects how tasks are placed. Tests compare the modes.
type placementMode uint8

const (
	placeBySpeed     placementMode = iota // in production
	placeSingly                           // each task by itself
	placeOnFirstFree                      // on the first endpoint with free capacity
	placeByOracle                         // speeds and run times are known exactly
)

// PlacementCounts counts decisions about endpoints of different speeds.
type PlacementCounts struct {
	Active   int    // services whose endpoints differ clearly
	Together uint64 // steps whose tasks were placed together
	Spared   uint64 // tasks placed on a slower endpoint than was free
	Waited   uint64 // decisions to wait for a fast endpoint
	Moved    uint64 // stragglers started again elsewhere
	Changed  uint64 // sudden changes of an endpoint's speed
	Ignored  uint64 // observations that were not positive and finite
}

func newUnequal() unequal {
	return unequal{spreads: make(map[string]*placement.Spread), contrasts: make(map[string]*placement.Contrast)}
}

// speedsDiffer reports whether the endpoints of a service differ clearly.
func (c *Core) speedsDiffer(service string) bool {
	if c.unequal.mode != placeBySpeed {
		return c.unequal.mode == placeByOracle
	}
	contrast := c.unequal.contrasts[service]
	return contrast != nil && contrast.Active()
}

// spread returns the run time distribution of a queue.
func (c *Core) spread(queue string) *placement.Spread {
	s := c.unequal.spreads[queue]
	if s == nil {
		s = &placement.Spread{}
		c.unequal.spreads[queue] = s
	}
	return s
}

// nominalTime returns the expected run time of a task on an endpoint of speed 1.
func (c *Core) nominalTime(t *task) time.Duration {
	if !c.speedsDiffer(t.job.Service) {
		return c.expectedTime(t.job.Queue, t.step.Estimate)
	}
	return c.workOf(t, c.usualWork(t))
}

// workOf returns the nominal run time of a task, where usual is that of its step.
func (c *Core) workOf(t *task, usual time.Duration) time.Duration {
	if c.unequal.mode == placeByOracle {
		return c.unequal.oracle(t.id)
	}
	if t.work > 0 { // an earlier run has shown it
		return t.work
	}
	return usual
}

// usualWork returns the nominal run time of the tasks of a task's step: that of the
// done ones or, if there are too few, the estimate as corrected for its queue.
func (c *Core) usualWork(t *task) time.Duration {
	if work, known := siblingWork(t, ""); known {
		return work
	}
	return time.Duration(c.spread(t.job.Queue).Nominal(float64(t.step.Estimate)))
}

// slowness returns the factor by which tasks run longer on an endpoint than
// expected.
func (c *Core) slowness(e *endpoint) float64 {
	if c.speedsDiffer(e.Service) {
		return 1 / e.speed.Factor()
	}
	return e.slowness()
}

// learnSpeed learns from a run that is done. Runs that were counted before their
// end, and runs that contain a cold start, are left out.
func (c *Core) learnSpeed(e *endpoint, r *run, took time.Duration) {
	t := r.task
	if c.unequal.mode == placeByOracle {
		return
	}
	if took <= 0 || t.step.Estimate <= 0 {
		c.unequal.counts.Ignored++
		return
	}
	if r.slownessCounted || e.Cold > 0 || t.step.Rack != "" && !e.hasLabel(t.step.Rack) {
		return
	}
	siblings, known := siblingWork(t, e.ID)
	c.observeSpeed(e, t, took)
	work := time.Duration(float64(took) * e.speed.Factor())
	t.work, t.workedOn = work, e.ID
	s := c.spread(t.job.Queue)
	c.countIgnored(s.ObserveRun(work.Seconds(), t.step.Estimate.Seconds()))
	if known {
		c.countIgnored(s.ObserveSibling(work.Seconds(), siblings.Seconds()))
	}
}

// observeSpeed updates the speed of an endpoint by the run time of a task, compared
// with its siblings on other endpoints or, if none is known, with its estimate. It
// reports whether the speed has changed suddenly.
func (c *Core) observeSpeed(e *endpoint, t *task, took time.Duration) bool {
	nominal, known := siblingWork(t, e.ID)
	if !known {
		nominal = time.Duration(c.spread(t.job.Queue).Nominal(float64(t.step.Estimate)))
	}
	changed, err := e.speed.Observe(placement.Observation{
		Took: took.Seconds(), Nominal: nominal.Seconds(), Siblings: known, Repeated: e.observedJob == t.id.Job,
	})
	e.observedJob = t.id.Job
	c.countIgnored(err)
	if changed {
		c.unequal.counts.Changed++
		if c.speedsDiffer(e.Service) {
			c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_speed_changed", "runs in a row were much longer or shorter than expected"))
		}
	}
	return changed
}

func (c *Core) countIgnored(err error) {
	var invalid *placement.InvalidObservationError
	if errors.As(err, &invalid) {
		c.unequal.counts.Ignored++
	}
}

const (
	// minSiblings is how many siblings must be done before a task is compared with
	// them. A single one may be a task of the heavy tail.
	minSiblings = 2
	maxSiblings = 32 // that are read for a comparison, for jobs of many hundred tasks
)

// siblingWork returns the mean nominal run time of the done tasks of a step that
// did not run on the excluded endpoint. It is the harmonic mean, on which a task of
// the heavy tail has little effect.
func siblingWork(t *task, exclude EndpointID) (time.Duration, bool) {
	var rate float64
	n := 0
	tasks := stepOf(t)
	for i := 0; i < len(tasks) && n < maxSiblings; i++ {
		other := &tasks[i]
		if other != t && other.state == doneTask && other.work > 0 && other.workedOn != exclude {
			rate += 1 / float64(other.work)
			n++
		}
	}
	if n < minSiblings {
		return 0, false
	}
	return time.Duration(float64(n) / rate), true
}

// reviewSpeeds renews the priors of all endpoints and decides for each service
// whether its endpoints differ clearly.
func (c *Core) reviewSpeeds() {
	passed := c.now.Sub(c.unequal.reviewedAt)
	if passed < speedReviewInterval || c.unequal.mode == placeByOracle {
		return
	}
	c.unequal.reviewedAt = c.now
	u := &c.unequal
	u.kinds.Reset()
	for _, e := range c.endpointList {
		u.kinds.Add(e.Service, e.Labels, &e.speed)
	}
	for _, contrast := range u.contrasts {
		contrast.Reset()
	}
	for _, e := range c.endpointList {
		p := u.kinds.Prior(e.Service, e.Labels)
		e.speed.SetPrior(p)
		if e.speed.Log() < p.Log-slowerThanKind {
			e.speed.Fade(min(1, passed.Seconds()/speedFadeTime.Seconds()))
		}
		if u.contrasts[e.Service] == nil {
			u.contrasts[e.Service] = &placement.Contrast{}
		}
		u.contrasts[e.Service].Add(&e.speed)
	}
	c.compareSpeeds()
}

// compareSpeeds decides for each service whether its endpoints differ clearly.
func (c *Core) compareSpeeds() {
	c.unequal.counts.Active = 0
	for _, service := range slices.Sorted(maps.Keys(c.unequal.contrasts)) {
		contrast := c.unequal.contrasts[service]
		if contrast.Update() && c.unequal.mode == placeBySpeed {
			event := "speeds_equal"
			if contrast.Active() {
				event = "speeds_differ"
			}
			c.out.EndpointEvents = append(c.out.EndpointEvents, EndpointEvent{Event: event, Reason: "the endpoints of the service " + service})
		}
		if contrast.Active() {
			c.unequal.counts.Active++
		}
	}
}
