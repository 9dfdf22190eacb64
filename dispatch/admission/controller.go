package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Conditions under which a shortage begins and ends. They differ, for hysteresis.
// Backlogs are times: core-seconds of the waiting tasks ÷ cores.
const (
	enterBacklog  = 150 * time.Millisecond
	enterDemand   = 1.05                  // demand ÷ capacity
	enterArrivals = 20                    // decayed number of jobs; fewer say nothing about a lasting demand
	enterDuration = 60 * time.Millisecond // for which all must hold
	leaveBacklog  = 20 * time.Millisecond
	leaveDemand   = 0.95
	leaveDuration = 500 * time.Millisecond // for which both must hold
)

// Parameters of the backlog's feedback on the capacity that is filled.
const (
	targetBacklog = 60 * time.Millisecond  // keeps endpoints busy between two ticks
	feedbackTime  = 300 * time.Millisecond // in which a deviation is to be corrected
	biasTime      = 3 * time.Second        // in which the bias follows a backlog that is twice its target
	minBias       = 0.5
	maxBias       = 3
	minFilled     = 0.2 // of the capacity
	maxFilled     = 1.5
)

// State describes the capacity and the queue of a holder at a time.
type State struct {
	Now      time.Time
	Capacity float64 // cores that serve the queue, with idle ones that others have announced
	Free     float64 // idle cores
	Backlog  float64 // core-seconds of the waiting tasks
	// OwnCapacity is Capacity without the idle cores of holders that share their load.
	OwnCapacity   float64
	BacklogByBand [Bands]float64 // Backlog by priority band, in core-seconds
}

func (s *State) valid() bool {
	for _, v := range []float64{s.Capacity, s.Free, s.Backlog} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return s.Capacity > 0
}

func (s *State) backlogTime() time.Duration {
	return time.Duration(s.Backlog / s.Capacity * float64(time.Second))
}

// Controller decides on the jobs of one holder. It keeps nothing that a restart
// could lose: demand is observed anew within seconds. It is not safe for
// concurrent use.
type Controller struct {
	demand     demand
	short      bool
	since      time.Time // when the conditions to enter or leave a shortage were first met
	shortage   float64   // demand ÷ capacity
	threshold  float64   // price from which jobs are admitted in full
	bias       float64   // lasting correction of the observed demand
	updatedAt  time.Time
	admissible []Share // admitted share of each queue, sorted by queue
	shared     sharedLoads
	holders    int          // other holders whose load counts
	own        SharedLoad   // as of the latest Update
	announced  receivedLoad // what this holder has announced last
}

// New returns a controller that has observed nothing.
func New() *Controller {
	return &Controller{demand: demand{queues: make(map[string]*queueDemand)}}
}

// Short reports whether capacity is short.
func (c *Controller) Short() bool { return c.short }

// Shortage returns the observed demand ÷ capacity.
func (c *Controller) Shortage() float64 { return c.shortage }

// Threshold returns the price from which jobs are admitted in full; 0: all are.
func (c *Controller) Threshold() float64 { return c.threshold }

// Arrive observes the arrival of a job. It returns false for a job whose
// quantities are not finite, which is ignored.
func (c *Controller) Arrive(now time.Time, j *Job) bool {
	if !j.valid() {
		return false
	}
	c.demand.observe(now, j)
	return true
}

// Update updates shortage and threshold. While other holders share their loads, both
// follow from the demand, the backlog and the capacity of all. A state without
// capacity ends a shortage, because admission control can't help there.
func (c *Controller) Update(state State) {
	if !state.valid() {
		c.short, c.shortage, c.threshold, c.own = false, 0, 0, SharedLoad{}
		return
	}
	classes := c.demand.classes(state.Now)
	c.own = ownLoad(&state, classes)
	local, localClasses := state, classes
	var others SharedLoad
	if others, c.holders = c.shared.sum(state.Now); c.holders > 0 {
		total := c.lastAnnounced(state.Now)
		total.add(&others)
		classes = scaleToTotal(classes, &c.own, &total)
		state.Capacity, state.Backlog = total.Capacity, total.backlog()
		if !state.valid() {
			c.short, c.shortage, c.threshold = false, 0, 0
			return
		}
	}
	var work float64
	for _, class := range classes {
		work += class.Work
	}
	c.shortage = work / state.Capacity
	c.updateShort(&state)
	if !c.short {
		c.threshold, c.bias = 0, 1
		return
	}
	fill := WaterFill(state.Capacity*c.filled(&state), classes)
	if c.holders > 0 {
		limitToLocal(&fill, &local, localClasses)
	}
	c.apply(classes, fill)
}

// limitToLocal lowers the shares of a holder whose queue is too long to what its own
// capacity, and idle cores that others have announced, can serve. It would reject the
// rest later, after they have waited. The threshold stays that of all holders.
func limitToLocal(fill *Fill, local *State, classes []Class) {
	deviation := (local.backlogTime() - targetBacklog).Seconds()
	if deviation <= 0 {
		return
	}
	filled := max(1-deviation/feedbackTime.Seconds(), minFilled)
	for i, share := range WaterFill(local.Capacity*filled, classes).Shares {
		fill.Shares[i] = min(fill.Shares[i], share)
	}
}

// filled returns the share of the capacity up to which WaterFill admits observed
// demand. The bias corrects lasting errors of the observed demand. One cause is that
// overestimated jobs are rejected more often: the run times of those admitted exceed
// their estimates on average, so that the correction of estimates is too large.
func (c *Controller) filled(state *State) float64 {
	deviation := (targetBacklog - state.backlogTime()).Seconds()
	if elapsed := state.Now.Sub(c.updatedAt); elapsed > 0 && elapsed < time.Second {
		change := min(max(deviation/targetBacklog.Seconds(), -1), 1) * elapsed.Seconds() / biasTime.Seconds()
		c.bias = min(max(c.bias*(1+change), minBias), maxBias)
	}
	c.updatedAt = state.Now
	return c.bias * min(max(1+deviation/feedbackTime.Seconds(), minFilled), maxFilled)
}

// updateShort enters or leaves a shortage once the conditions have held for long
// enough. Without a lasting demand, a backlog drains by itself, and jobs are
// answered late rather than not at all.
func (c *Controller) updateShort(state *State) {
	backlog := state.backlogTime()
	// All holders together must have seen enough arrivals.
	arrivals := c.demand.arrivals.value(state.Now, rateTime) * float64(1+c.holders)
	lasting := c.shortage >= enterDemand && arrivals >= enterArrivals
	met, duration := backlog > enterBacklog && lasting, enterDuration
	if c.short {
		met, duration = backlog < leaveBacklog && c.shortage < leaveDemand, leaveDuration
	}
	if !met {
		c.since = time.Time{}
		return
	}
	if c.since.IsZero() {
		c.since = state.Now
	}
	if state.Now.Sub(c.since) >= duration {
		c.short = !c.short
		c.since = time.Time{}
	}
}

// apply stores the admitted shares by queue and size class.
func (c *Controller) apply(classes []Class, fill Fill) {
	c.threshold = fill.Threshold
	c.admissible = c.admissible[:0]
	served, all := make(map[string]float64), make(map[string]float64)
	for i, class := range classes {
		if class.Size == othersSize {
			continue
		}
		c.demand.queues[class.Queue].admitted[class.Size] = fill.Shares[i]
		served[class.Queue] += class.Jobs * fill.Shares[i]
		all[class.Queue] += class.Jobs
	}
	for queue := range all {
		c.admissible = append(c.admissible, Share{queue, served[queue] / all[queue]})
	}
	slices.SortFunc(c.admissible, func(a, b Share) int { return cmp.Compare(a.Queue, b.Queue) })
}

// Offer decides on a job that was just submitted: it returns nil to admit it, or
// why it is rejected.
func (c *Controller) Offer(state State, j *Job) *Rejection {
	if !c.short || j.Protected || !j.valid() || !state.valid() {
		return nil
	}
	if state.Backlog == 0 && j.Cores <= state.Free {
		return nil
	}
	if draw(j, "admit") < c.share(j) {
		return nil
	}
	return c.reject(j, false)
}

// share returns the admitted share of the jobs like j.
func (c *Controller) share(j *Job) float64 {
	q := c.demand.queue(j.Queue)
	return q.admitted[sizeClass(j.Work/q.mean())]
}

// Plan returns the waiting jobs to reject because they, or jobs of a higher price,
// could not start in time. The result is sorted by the cost of rejection.
func (c *Controller) Plan(state State, jobs []Job) []*Rejection {
	if !c.short || !state.valid() {
		return nil
	}
	list := make([]*priced, 0, len(jobs))
	for i := range jobs {
		j := &jobs[i]
		if j.valid() {
			list = append(list, &priced{j, c.price(j), draw(j, "admit") < QueueFloor})
		}
	}
	out := excess(&state, list)
	slices.SortFunc(out, compareCost)
	rejections := make([]*Rejection, len(out))
	for i, j := range out {
		rejections[i] = c.reject(j.Job, true)
	}
	return rejections
}

func (c *Controller) price(j *Job) float64 {
	return Price(j.Priority, j.Work, j.Remaining, c.demand.queue(j.Queue).mean())
}

// Reject returns the rejection of a job that was admitted before, for another
// reason than the plan.
func (c *Controller) Reject(j *Job) *Rejection { return c.reject(j, true) }

func (c *Controller) reject(j *Job, excess bool) *Rejection {
	return &Rejection{
		Job: j.ID, Shortage: c.shortage, Threshold: c.threshold, Price: c.price(j), Excess: excess,
		Instead: slices.Clone(c.admissible), RetryAfter: retryAfter(j, c.shortage),
	}
}
