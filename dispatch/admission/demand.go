package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Time constants of the averages. Rates must follow bursts of a few seconds. The
// sizes of a queue's jobs change slowly, and a holder sees only tens of jobs per
// second.
const (
	rateTime  = time.Second
	shapeTime = 20 * time.Second
)

// minRateAge is the shortest time over which a rate is computed. After a restart,
// callers return at once, which is not a lasting demand.
const minRateAge = time.Second

// sizeBounds are the upper bounds of the size classes, as work ÷ mean work of the
// queue. Neighbouring bounds differ by a factor of about the square root of 2.
var sizeBounds = [...]float64{0.5, 0.71, 1, 1.41, 2, 2.83}

const sizeClasses = len(sizeBounds) + 1

func sizeClass(ratio float64) int {
	for i, bound := range sizeBounds {
		if ratio < bound {
			return i
		}
	}
	return len(sizeBounds)
}

// decaying is a sum whose terms decay exponentially.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time, constant time.Duration) float64 {
	if d.sum == 0 || !now.After(d.at) {
		return d.sum
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/constant.Seconds())
}

func (d *decaying) add(now time.Time, constant time.Duration, amount float64) {
	d.sum = d.value(now, constant) + amount
	d.at = now
}

// queueDemand is the observed demand of a queue. Amounts of work are kept as the
// callers have stated them and corrected when they are used, so that a queue that
// misstates run times is corrected in full once its run times are observed.
type queueDemand struct {
	name        string
	priority    int
	correction  float64 // run time ÷ stated run time
	first       time.Time
	work        decaying // arrived core-seconds, for the rate
	count, size decaying // jobs and their core-seconds, for the mean
	classCount  [sizeClasses]decaying
	classSize   [sizeClasses]decaying
	admitted    [sizeClasses]float64 // admitted share, from the latest Update
}

func (q *queueDemand) observe(now time.Time, j *Job) {
	if q.first.IsZero() {
		q.first = now
	}
	q.priority, q.correction = j.Priority, j.Correction
	stated := j.Work / j.Correction
	q.work.add(now, rateTime, stated)
	q.count.add(now, shapeTime, 1)
	q.size.add(now, shapeTime, stated)
	class := sizeClass(j.Work / q.mean())
	q.classCount[class].add(now, shapeTime, 1)
	q.classSize[class].add(now, shapeTime, stated)
}

// mean returns the mean work of the queue's jobs, in core-seconds.
func (q *queueDemand) mean() float64 {
	if q.count.sum == 0 || q.size.sum == 0 {
		return 1
	}
	return q.correction * q.size.sum / q.count.sum // both have decayed since the same time
}

// rate returns the arriving work in core-seconds per second.
func (q *queueDemand) rate(now time.Time) float64 {
	age := max(now.Sub(q.first), minRateAge).Seconds()
	tau := rateTime.Seconds()
	return q.correction * q.work.value(now, rateTime) / (tau * (1 - math.Exp(-age/tau)))
}

// classes appends the demand of each size class that was observed.
func (q *queueDemand) classes(now time.Time, list []Class) []Class {
	rate, total := q.rate(now), q.size.value(now, shapeTime)
	for i := range sizeClasses {
		size, count := q.classSize[i].value(now, shapeTime), q.classCount[i].value(now, shapeTime)
		if size <= 0 || count <= 0 || total <= 0 {
			continue
		}
		work := q.correction * size / count
		list = append(list, Class{
			Queue: q.name, Band: Band(q.priority), Size: i, Jobs: count, Work: rate * size / total,
			Price: Price(q.priority, work, work, q.mean()),
		})
	}
	return list
}

// demand is the observed demand of all queues.
type demand struct {
	queues   map[string]*queueDemand
	arrivals decaying // jobs of all queues
}

func (d *demand) observe(now time.Time, j *Job) {
	d.arrivals.add(now, rateTime, 1)
	d.queue(j.Queue).observe(now, j)
}

// queueRetention is how long a queue without arrivals is kept, which bounds the
// number of queues. It exceeds the time constants of both averages.
const queueRetention = time.Minute

func (d *demand) queue(name string) *queueDemand {
	q := d.queues[name]
	if q == nil {
		q = &queueDemand{name: name, correction: 1}
		for i := range q.admitted {
			q.admitted[i] = 1
		}
		d.queues[name] = q
	}
	return q
}

// classes returns the demand by queue and size class, sorted by queue.
func (d *demand) classes(now time.Time) []Class {
	var list []Class
	for name, q := range d.queues {
		if now.Sub(q.work.at) > queueRetention {
			delete(d.queues, name)
			continue
		}
		list = q.classes(now, list)
	}
	slices.SortFunc(list, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Size, b.Size))
	})
	return list
}
