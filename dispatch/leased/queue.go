package leased

import (
	"cmp"
	"slices"
	"time"
)

// queue keeps the jobs that have tasks without a place. Jobs that can still
// reach their goal come first, by the time at which they must start; then, by
// their arrival, those that cannot. A job that has begun never falls behind:
// its places are wasted until its last task has one.
type queue struct {
	onTime []*job // by latestStart
	late   []*job // by arrival
}

func (q *queue) len() int { return len(q.onTime) + len(q.late) }

// add puts a job into the queue; one that is there already stays.
func (q *queue) add(j *job) {
	if j.queued {
		return
	}
	j.queued = true
	j.isLate = false
	q.onTime = insert(q.onTime, j, byLatestStart)
}

func (q *queue) remove(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	if j.isLate {
		q.late = remove(q.late, j, byArrival)
		return
	}
	q.onTime = remove(q.onTime, j, byLatestStart)
}

// age moves jobs that cannot reach their goal any more behind the others.
func (q *queue) age(now time.Time) {
	moved := false
	for _, j := range q.onTime {
		if !j.latestStart.Before(now) {
			break
		}
		if !j.begun {
			j.isLate = true
			q.late = insert(q.late, j, byArrival)
			moved = true
		}
	}
	if moved {
		q.onTime = slices.DeleteFunc(q.onTime, func(j *job) bool { return j.isLate })
	}
}

// walk visits the jobs in order until visit returns false. Visit may remove
// the job that it is given.
func (q *queue) walk(visit func(*job) bool) {
	if walkList(&q.onTime, visit) {
		walkList(&q.late, visit)
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

func byArrival(a, b *job) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID))
}

func insert(list []*job, j *job, order func(a, b *job) int) []*job {
	at, _ := slices.BinarySearchFunc(list, j, order)
	return slices.Insert(list, at, j)
}

func remove(list []*job, j *job, order func(a, b *job) int) []*job {
	at, found := slices.BinarySearchFunc(list, j, order)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
