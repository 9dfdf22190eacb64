package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/estimate"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/queue"
	"lovagespread.example/dispatch/urgency"
)

// job is an admitted job. It is kept until none of its tasks runs.
type job struct {
	id         jobid.ID
	submit     *Submit
	service    string
	team       *team
	trace      string
	tasks      []task
	groups     []group
	results    [][]byte
	unfinished int // tasks without a result
	running    int
	admitted   time.Time
	longestRun time.Duration // run time of the longest task that has ended
	ended      bool
	urgency    urgency.Job
}

// task is one task of a job.
type task struct {
	group          *group
	needs          catalog.Resources
	class          estimate.Class // of the declared run time
	expected       time.Duration
	runs           *run // running attempts, newest first
	possibleStarts int  // attempts that started or may have started
	notStarted     int  // attempts that are proved not to have started
	failedAt       *executor
	avoid          *executor
	waiting        bool // in a queue, possibly while an attempt runs
	done           bool
}

// run is an attempt whose status is not known yet.
type run struct {
	job      *job
	index    int
	attempt  int
	executor *executor
	started  time.Time
	leaseEnd time.Time
	hedge    bool // is a second attempt
	hedged   bool // has a second attempt
	stopSent bool
	ended    bool // its status is known
	next     *run
}

// group holds the waiting tasks that a job has at one service.
type group struct {
	job     *job
	service *service
	item    queue.Item[*group]
	waiting []int32 // task indices; the last one is started first
}

// find returns a running attempt of a task, or nil.
func (c *Core) find(ref TaskRef, attempt int) *run {
	j := c.jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.tasks) {
		return nil
	}
	for r := j.tasks[ref.Index].runs; r != nil; r = r.next {
		if r.attempt == attempt {
			return r
		}
	}
	return nil
}

func (t *task) removeRun(r *run) {
	for at := &t.runs; *at != nil; at = &(*at).next {
		if *at == r {
			*at = r.next
			return
		}
	}
}

// enqueueAll puts all tasks of a new job into the queues. The longest task of a
// job is started first, since the answer waits for it.
func (c *Core) enqueueAll(j *job) {
	for i := range j.groups {
		g := &j.groups[i]
		slices.SortStableFunc(g.waiting, func(a, b int32) int {
			if d := cmp.Compare(j.tasks[a].expected, j.tasks[b].expected); d != 0 {
				return d
			}
			return cmp.Compare(b, a)
		})
		for _, index := range g.waiting {
			c.countWaiting(g, &j.tasks[index], 1)
		}
		g.service.queue.Push(&g.item, c.opts.Order.Key(&j.urgency))
	}
}

// enqueue puts a task at the front of its job's waiting tasks, unless it waits
// already.
func (c *Core) enqueue(j *job, index int) {
	g := j.tasks[index].group
	if j.tasks[index].waiting {
		return
	}
	g.waiting = append(g.waiting, int32(index))
	c.countWaiting(g, &j.tasks[index], 1)
	if !g.item.Queued() {
		g.service.queue.Push(&g.item, c.opts.Order.Key(&j.urgency))
	}
}

// dequeue removes the first task of a group from the queue.
func (c *Core) dequeue(g *group) {
	last := len(g.waiting) - 1
	index := g.waiting[last]
	g.waiting = g.waiting[:last]
	c.countWaiting(g, &g.job.tasks[index], -1)
	if last == 0 {
		g.service.queue.Remove(&g.item)
	}
}

// dequeueAll removes every waiting task of a job from the queues.
func (c *Core) dequeueAll(j *job) {
	for i := range j.groups {
		g := &j.groups[i]
		for len(g.waiting) > 0 {
			c.dequeue(g)
		}
	}
}

// countWaiting adds n, which is 1 or -1, to every count of waiting tasks that
// includes the task, and adjusts the backlogs.
func (c *Core) countWaiting(g *group, t *task, n int) {
	work := time.Duration(n) * t.expected
	t.waiting = n > 0
	c.waiting += n
	g.service.waiting += n
	g.service.backlog += work
	usage := g.job.team.usageOf(g.service)
	usage.backlog += work
	c.countOpen(g, n)
}

// countOpen adds n to the number of a team's tasks that wait or run at a
// service, and keeps the service's sum of team weights up to date.
func (c *Core) countOpen(g *group, n int) {
	team := g.job.team
	usage := team.usageOf(g.service)
	before := usage.open
	usage.open += n
	switch {
	case before == 0 && usage.open > 0:
		g.service.weight += team.weight
	case before > 0 && usage.open == 0:
		g.service.weight -= team.weight
	}
}
