package placement

import (
	"math"
	"slices"
	"time"
)

// Host is an endpoint that has, or will have, capacity for tasks of a step.
type Host struct {
	Speed  float64
	Extra  time.Duration // fixed cost of a run here, for example of a cold start
	FreeAt time.Duration // from now until the capacity is free; 0: it is free
	Slots  int           // tasks that fit
}

// valid reports whether tasks can be placed on the host.
func (h *Host) valid() bool { return valid(h.Speed) && h.Slots > 0 && h.FreeAt >= 0 }

// Step describes the waiting tasks of a step.
type Step struct {
	// Work is the expected nominal run time of each task.
	Work []time.Duration
	// Slowest is the factor by which the slowest task of the step is expected to
	// exceed the others (see Spread.Slowest).
	Slowest float64
	// Due is the time from now until the job's answer is due.
	Due time.Duration
	// Spare leaves the fast endpoints to other jobs: each task goes to the slowest
	// endpoint where it does not delay the job beyond its due time.
	Spare bool
}

// Planner places tasks. It reuses its memory, so it is not safe for concurrent
// use. The zero value is ready for use.
type Planner struct {
	order []int
	hosts []int
	slots []int
	class []int           // of each host's speed
	ends  []time.Duration // of a task of the current work on each host
	work  time.Duration   // the current work
	// Spared is the number of tasks that the latest plan has placed on a slower
	// host than was free.
	Spared int
}

// classWidth is the width of a class of speeds, as a difference of ln(speed) (28%).
// Within a class, the end of the task decides.
const classWidth = 0.25

// None is the host of a task for which no host has capacity.
const None = -1

// Place places the tasks of a step and returns the index of the host of each
// task, or None. The longest tasks are placed first. If the host has FreeAt above
// 0, the task should wait for it, because no free host can end the task in time.
// The result is valid until the next call.
func (p *Planner) Place(step *Step, hosts []Host) []int {
	p.reset(step, hosts)
	var target time.Duration
	for n, task := range p.order {
		work := time.Duration(float64(step.Work[task]) * max(1, step.Slowest))
		p.computeEnds(work, hosts)
		best, end := p.earliest(hosts, true)
		if end > step.Due {
			if waits, then := p.earliest(hosts, false); waits != None && then <= step.Due {
				best, end = waits, then
			}
		}
		if best == None {
			break
		}
		if n == 0 {
			target = max(step.Due, end) // no other task needs to end before the longest
		}
		if step.Spare && hosts[best].FreeAt == 0 && end <= target {
			fastest := best
			if best = p.slowest(hosts, target); p.class[best] < p.class[fastest] {
				p.Spared++
			}
		}
		p.hosts[task] = best
		p.slots[best]--
	}
	return p.hosts
}

func (p *Planner) reset(step *Step, hosts []Host) {
	p.work, p.ends = -1, append(p.ends[:0], make([]time.Duration, len(hosts))...)
	p.order, p.hosts, p.slots, p.class, p.Spared = p.order[:0], p.hosts[:0], p.slots[:0], p.class[:0], 0
	for i := range step.Work {
		p.order = append(p.order, i)
		p.hosts = append(p.hosts, None)
	}
	for i := range hosts {
		slots := 0
		if hosts[i].valid() {
			slots = hosts[i].Slots
		}
		p.slots = append(p.slots, slots)
		if step.Spare && slots > 0 {
			p.class = append(p.class, int(math.Round(math.Log(hosts[i].Speed)/classWidth)))
			continue
		}
		p.class = append(p.class, 0)
	}
	if !allEqual(step.Work) {
		slices.SortStableFunc(p.order, func(a, b int) int { return int(min(max(step.Work[b]-step.Work[a], -1), 1)) })
	}
}

// computeEnds computes the ends of a task on all hosts. Most tasks of a step have
// the same work.
func (p *Planner) computeEnds(work time.Duration, hosts []Host) {
	if work == p.work {
		return
	}
	p.work = work
	for i := range hosts {
		if p.slots[i] > 0 {
			p.ends[i] = hosts[i].end(work)
		}
	}
}

func allEqual(list []time.Duration) bool {
	for _, v := range list {
		if v != list[0] {
			return false
		}
	}
	return true
}

// End returns when a task is expected to end on a host, where slowest is that of
// its step.
func (h *Host) End(work time.Duration, slowest float64) time.Duration {
	return h.end(time.Duration(float64(work) * max(1, slowest)))
}

func (h *Host) end(work time.Duration) time.Duration {
	return h.FreeAt + h.Extra + time.Duration(float64(work)/h.Speed)
}

// earliest returns the host where a task ends first, and when. If onlyFree, it leaves
// out hosts whose capacity is not free yet.
func (p *Planner) earliest(hosts []Host, onlyFree bool) (int, time.Duration) {
	best, first := None, time.Duration(math.MaxInt64)
	for i := range hosts {
		if p.slots[i] == 0 || onlyFree && hosts[i].FreeAt > 0 {
			continue
		}
		if end := p.ends[i]; end < first {
			best, first = i, end
		}
	}
	return best, first
}

// slowest returns the free host of the slowest class where a task ends by the
// target, and ends first in that class.
func (p *Planner) slowest(hosts []Host, target time.Duration) int {
	best, first := None, time.Duration(0)
	for i := range hosts {
		if p.slots[i] == 0 || hosts[i].FreeAt > 0 || best != None && p.class[i] > p.class[best] {
			continue
		}
		end := p.ends[i]
		if end <= target && (best == None || p.class[i] < p.class[best] || end < first) {
			best, first = i, end
		}
	}
	return best
}
