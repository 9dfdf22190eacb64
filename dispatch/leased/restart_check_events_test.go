package leased_test

import "time"

// timeline is a queue of events. It is a heap of its own because container/heap
// allocates memory for each event, which takes a tenth of the time of an exploration.
type timeline []event

func (l timeline) before(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].sequence < l[j].sequence
}

func (l *timeline) push(e event) {
	*l = append(*l, e)
	q := *l
	for i := len(q) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q[i], q[parent] = q[parent], q[i]
		i = parent
	}
}

func (l *timeline) pop() event {
	q := *l
	first, last := q[0], len(q)-1
	q[0] = q[last]
	q[last] = event{}
	q = q[:last]
	*l = q
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(q) {
			return first
		}
		if child+1 < len(q) && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			return first
		}
		q[i], q[child] = q[child], q[i]
		i = child
	}
}

func (w *restartWorld) at(at time.Duration, do func()) {
	w.sequence++
	w.events.push(event{at, w.sequence, do})
}

func (w *restartWorld) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// afterwards is after for a delivery that matters although the job is answered.
func (w *restartWorld) afterwards(d time.Duration, do func()) {
	w.late++
	w.after(d, func() { w.late--; do() })
}

func (w *restartWorld) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); w.after(d, again) }
	w.after(d, again)
}
