package leased

import (
	"cmp"
	"slices"
	"time"
)

// class is the part of the queue that a job is in; lower ones go first.
type class int

const (
	// begunClass has jobs with a task that was started: their places are
	// wasted until the last task has one. Those with a failed run that cannot
	// be answered in time any more are late instead: they may be hopeless.
	begunClass class = iota
	// freshClass has jobs that can still be answered in time.
	freshClass
	// lateClass has those that cannot.
	lateClass
	classes
)

// order compares the jobs of a class; the one that goes first is less.
type order func(a, b *job) int

// queue keeps the jobs that have tasks without a place, by class.
type queue struct {
	lists  [classes][]*job
	orders [classes]order
	begun  []*job // jobs of the fresh class that have begun since
	// newestFirst says that fresh jobs go in reverse order of arrival.
	newestFirst bool
}

// Bounds of the time that the queue takes to be served between which the
// order of fresh jobs changes.
const (
	overloadEnter = 200 * time.Millisecond
	overloadLeave = 60 * time.Millisecond
)

// newQueue returns an empty queue. Fresh jobs go by the time at which they
// must start. That order fails in overload: every job is started at the last
// moment and ends a little late. Then the newest goes first, which has most
// time to spare; the deficit falls on a few that become late.
func newQueue() queue {
	return queue{orders: [classes]order{byLatestStart, byLatestStart, byArrival}}
}

// adaptOrder changes the order of fresh jobs to the time that the queue takes to
// be served.
func (q *queue) adaptOrder(service time.Duration) {
	switch {
	case !q.newestFirst && service > overloadEnter:
		q.setFreshOrder(true, byNewest)
	case q.newestFirst && service < overloadLeave:
		q.setFreshOrder(false, byLatestStart)
	}
}

func (q *queue) setFreshOrder(newestFirst bool, by order) {
	q.settle()
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

// add puts a job into the queue; one that is there already stays.
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
	if len(list) > 0 && list[0] == j { // most often: nothing has to move up
		list[0] = nil
		q.lists[j.class] = list[1:]
		return
	}
	at, found := slices.BinarySearchFunc(list, j, q.orders[j.class])
	if found {
		q.lists[j.class] = slices.Delete(list, at, at+1)
	}
}

// markBegun notes that a job of the queue has begun.
func (q *queue) markBegun(j *job) {
	if j.queued && j.class != begunClass {
		q.begun = append(q.begun, j)
	}
}

// settle moves jobs that have begun to their class.
func (q *queue) settle() {
	for _, j := range q.begun {
		if j.queued && j.class != begunClass && !j.failed {
			q.remove(j)
			j.queued = true
			q.insert(j, begunClass)
		}
	}
	q.begun = q.begun[:0]
}

// demoteLate moves jobs that cannot be answered in time any more behind the others.
func (q *queue) demoteLate(now time.Time) {
	q.settle()
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

// walk visits the jobs in order until visit returns false. Visit may remove
// the job that it is given.
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
