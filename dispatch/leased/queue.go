package leased

import (
	"cmp"
	"slices"
	"time"
)

// class is the scheduling class of a queued job; lower classes go first.
type class int

const (
	// begunClass contains jobs of which a task was started: the capacity that
	// they use is wasted until their last task is started. Jobs with a failed or
	// lost run that can no longer be answered in time belong to lateClass instead,
	// because they may never succeed.
	begunClass class = iota
	// freshClass contains jobs that can still be answered in time.
	freshClass
	// lateClass contains jobs that can no longer be answered in time.
	lateClass
	classes
)

// order compares two jobs of a class; the job that goes first is less.
type order func(a, b *job) int

// queue contains the jobs with tasks that wait for a free endpoint, by class.
type queue struct {
	lists  [classes][]*job
	orders [classes]order
	begun  []*job // jobs that have begun but are not in begunClass yet
	// newestFirst reports whether fresh jobs go in reverse order of arrival.
	newestFirst bool
}

// Service times of the queue at which the order of fresh jobs changes. They
// differ, for hysteresis.
const (
	overloadEnter = 200 * time.Millisecond
	overloadLeave = 60 * time.Millisecond
)

// newQueue returns an empty queue. Fresh jobs are ordered by their latest start.
// That order fails under overload, because every job is started at the last
// moment and ends slightly late. Under overload the newest job goes first, which
// has the most time left, so only a few jobs become late.
func newQueue() queue {
	return queue{orders: [classes]order{byLatestStart, byLatestStart, byArrival}}
}

// adaptOrder selects the order of fresh jobs by the service time of the queue.
// While capacity is recovered, any queue is a backlog in which the newest jobs have
// the best chance.
func (q *queue) adaptOrder(service time.Duration, recovering bool) {
	switch {
	case !q.newestFirst && (service > overloadEnter || recovering && service > overloadLeave):
		q.setFreshOrder(true, byNewest)
	case q.newestFirst && service < overloadLeave:
		q.setFreshOrder(false, byLatestStart)
	}
}

func (q *queue) setFreshOrder(newestFirst bool, by order) {
	q.moveBegun()
	q.newestFirst = newestFirst
	q.orders[freshClass] = by
	slices.SortFunc(q.lists[freshClass], by)
}

func (q *queue) len() int {
	n := 0
	for _, list := range q.lists {
		n += len(list)
	}
	return n
}

// add inserts a job unless it is queued already.
func (q *queue) add(j *job, now time.Time) {
	if j.queued {
		return
	}
	j.queued = true
	q.insert(j, classOf(j, now))
}

func classOf(j *job, now time.Time) class {
	switch {
	case j.failed && j.latestStart.Before(now):
		return lateClass
	case j.begun:
		return begunClass
	case j.latestStart.Before(now):
		return lateClass
	}
	return freshClass
}

func (q *queue) insert(j *job, c class) {
	j.class = c
	at, _ := slices.BinarySearchFunc(q.lists[c], j, q.orders[c])
	q.lists[c] = slices.Insert(q.lists[c], at, j)
}

func (q *queue) remove(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	list := q.lists[j.class]
	if len(list) > 0 && list[0] == j { // the usual case: no other job is moved
		list[0] = nil
		q.lists[j.class] = list[1:]
		return
	}
	// Delegated tasks of one job have equal keys, so the search finds the first of
	// them. A job that stays in the list although it is not queued makes walk loop
	// forever.
	at, _ := slices.BinarySearchFunc(list, j, q.orders[j.class])
	for ; at < len(list); at++ {
		if list[at] == j {
			q.lists[j.class] = slices.Delete(list, at, at+1)
			return
		}
	}
}

// markBegun records that a queued job has begun.
func (q *queue) markBegun(j *job) {
	if j.queued && j.class != begunClass {
		q.begun = append(q.begun, j)
	}
}

// moveBegun moves jobs that have begun to begunClass.
func (q *queue) moveBegun() {
	for _, j := range q.begun {
		if j.queued && j.class != begunClass && !j.failed {
			q.remove(j)
			j.queued = true
			q.insert(j, begunClass)
		}
	}
	q.begun = q.begun[:0]
}

// demoteLate moves fresh jobs that can no longer be answered in time to
// lateClass.
func (q *queue) demoteLate(now time.Time) {
	q.moveBegun()
	var late []*job
	q.lists[freshClass] = slices.DeleteFunc(q.lists[freshClass], func(j *job) bool {
		if !j.latestStart.Before(now) {
			return false
		}
		late = append(late, j)
		return true
	})
	for _, j := range late {
		q.insert(j, lateClass)
	}
}

// walk visits the jobs in order until visit returns false. The function visit
// may remove the job that it is given.
func (q *queue) walk(visit func(*job) bool) {
	for c := range q.lists {
		if !walkList(&q.lists[c], visit) {
			return
		}
	}
}

func walkList(list *[]*job, visit func(*job) bool) bool {
	for i := 0; i < len(*list); {
		j := (*list)[i]
		if !visit(j) {
			return false
		}
		if j.queued {
			i++
		}
	}
	return true
}

func byLatestStart(a, b *job) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID))
}

func byNewest(a, b *job) int {
	return cmp.Or(b.arrived.Compare(a.arrived), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID))
}

func byArrival(a, b *job) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
}
