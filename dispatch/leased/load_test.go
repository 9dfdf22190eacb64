package leased_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/leased"
)

// kindOfJob is one kind of the load that the sites of the users' platform have.
type kindOfJob struct {
	queue    string
	priority int
	perS     float64
	tasks    int
	run      time.Duration
	worth    float64
}

// siteMix asks for 71% of 48 endpoints with two places each.
var siteMix = []kindOfJob{
	{"check", 0, 34.4, 8, 60 * time.Millisecond, 0.029},
	{"number", 1, 100, 2, 200 * time.Millisecond, 0.010},
	{"pickup", 2, 6.25, 4, 900 * time.Millisecond, 0.160},
}

// pattern is a load and what goes wrong meanwhile.
type pattern struct {
	name    string
	factor  float64 // of the mix, during the trouble
	trouble func(w *world)
	only    string // the kind that the factor holds for; empty: all
	widths  bool   // jobs of a kind differ in their number of tasks
}

const (
	troubleFrom  = 2 * time.Second
	troubleUntil = 6 * time.Second
	loadLength   = 9 * time.Second
)

// outcome is the share of the worth that was answered in time, in all and of
// the worst kind of job, during the trouble.
type outcome struct {
	inTime, worst float64
	sizes         map[string]sizeCounts // by kind
}

// play runs a pattern with an order of the queue.
func (p *pattern) play(t *testing.T, seed uint64, order string) outcome {
	w := newWorld(t, seed, 1)
	w.fast = true
	w.addEndpoints(0, 48)
	w.cores[0].SetQueueOrder(order)
	w.run(100 * time.Millisecond)
	goals := make(map[leased.JobID]time.Duration)
	kinds := make(map[leased.JobID]kindOfJob)
	n := 0
	for _, k := range siteMix {
		for at := 200 * time.Millisecond; at < loadLength; {
			rate := k.perS
			if at >= troubleFrom && at < troubleUntil && (p.only == "" || p.only == k.queue) {
				rate *= p.factor
			}
			at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
			n++
			id := leased.JobID(fmt.Sprintf("%s%05d", k.queue, n))
			run := time.Duration(float64(k.run) * math.Exp(0.3*w.rng.NormFloat64()))
			tasks := k.tasks
			if p.widths {
				tasks = max(1, int(math.Round(float64(k.tasks)*math.Exp(0.4*w.rng.NormFloat64()))))
			}
			estimate := time.Duration(float64(run) * math.Exp(0.3*w.rng.NormFloat64()))
			if at >= troubleFrom && at < troubleUntil {
				goals[id] = at + time.Duration(1.6*float64(run)) + 60*time.Millisecond
				kinds[id] = k
				w.widths[id] = tasks
			}
			w.at(at, func() {
				w.submitAs(0, leased.Job{
					ID: id, Service: "s", Queue: k.queue, Priority: k.priority, MaxAttempts: 3, Stretch: 1.6,
					Slack: 60 * time.Millisecond, Patience: 1500*time.Millisecond + 2*run,
					Steps: []leased.Step{{Tasks: tasks, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: estimate}},
				}, run)
			})
		}
	}
	p.trouble(w)
	w.run(loadLength + 5*time.Second)
	return measure(w, goals, kinds)
}

func measure(w *world, goals map[leased.JobID]time.Duration, kinds map[leased.JobID]kindOfJob) outcome {
	owed, earned := make(map[string]float64), make(map[string]float64)
	for id, goal := range goals {
		k := kinds[id]
		owed[k.queue] += k.worth
		if a, ok := w.answers[id]; ok && a.Verdict == leased.Completed && w.answered[id] <= goal {
			earned[k.queue] += k.worth
		}
	}
	o := outcome{worst: 1}
	var all, got float64
	for queue := range owed {
		all += owed[queue]
		got += earned[queue]
		o.worst = min(o.worst, earned[queue]/owed[queue])
	}
	o.inTime = got / all
	o.sizes = countSizes(w, kinds)
	return o
}

// sizeCounts are the jobs of a kind: the largest tenth, the fifth below it, and
// all.
type sizeCounts [3]struct{ served, asked int }

func countSizes(w *world, kinds map[leased.JobID]kindOfJob) map[string]sizeCounts {
	byKind := make(map[string][]leased.JobID)
	for id, k := range kinds {
		byKind[k.queue] = append(byKind[k.queue], id)
	}
	counts := make(map[string]sizeCounts)
	for kind, ids := range byKind {
		slices.SortFunc(ids, func(a, b leased.JobID) int {
			return cmp.Or(cmp.Compare(w.widths[b], w.widths[a]), cmp.Compare(a, b))
		})
		tenth := len(ids) / 10
		var c sizeCounts
		for class, list := range [][]leased.JobID{ids[:tenth], ids[tenth : 3*tenth], ids} {
			c[class].asked = len(list)
			c[class].served = lo.CountBy(list, func(id leased.JobID) bool {
				return w.answers[id].Verdict == leased.Completed && w.answers[id].Took > 0
			})
		}
		counts[kind] = c
	}
	return counts
}

// add sums counts up.
func (c *sizeCounts) add(other sizeCounts) {
	for class := range c {
		c[class].served += other[class].served
		c[class].asked += other[class].asked
	}
}

// share is what is served of a class of sizes.
func (c *sizeCounts) share(class int) float64 {
	return float64(c[class].served) / float64(c[class].asked)
}

func slowEndpoints(share, factor float64) func(*world) {
	return func(w *world) {
		n := int(share * float64(len(w.specs)))
		w.at(troubleFrom, func() {
			for _, spec := range w.specs[:n] {
				w.endpoints[spec.ID].Speed = 1 / factor
			}
		})
		w.at(troubleUntil, func() {
			for _, spec := range w.specs[:n] {
				w.endpoints[spec.ID].Speed = 1
			}
		})
	}
}

func hangingEndpoints(share float64) func(*world) {
	return func(w *world) {
		n := int(share * float64(len(w.specs)))
		set := func(on bool) func() {
			return func() {
				for _, spec := range w.specs[:n] {
					w.endpoints[spec.ID].Hangs = on
				}
			}
		}
		w.at(troubleFrom, set(true))
		w.at(troubleUntil, set(false))
	}
}

// The patterns of the heaviest days: what is asked for and what goes wrong.
// least is the share of the worth that must be answered in time, and gain what
// the order in use must add to ordering by the latest start alone.
var patterns = []struct {
	pattern
	least, gain float64
}{
	{pattern{name: "the usual load", factor: 1, trouble: noTrouble}, 0.99, 0},
	{pattern{name: "a burst of all kinds, 1.8 times the usual", factor: 1.8, trouble: noTrouble}, 0.6, 0.15},
	{pattern{name: "a burst of one kind, three times the usual", factor: 3, trouble: noTrouble, only: "check"}, 0.6, 0.1},
	{pattern{name: "17% of the endpoints 6.5 times slower", factor: 1, trouble: slowEndpoints(0.17, 6.5)}, 0.8, -0.03},
	{pattern{name: "22% of the endpoints 5.5 times slower in a burst of 1.3", factor: 1.3, trouble: slowEndpoints(0.22, 5.5)}, 0.55, 0.12},
	{pattern{name: "10% of the endpoints hang", factor: 1, trouble: hangingEndpoints(0.1)}, 0.9, -0.03},
}

func noTrouble(*world) {}

// The pattern: a burst of jobs of many sizes. The largest tenth of each kind,
// and the fifth below it, must be served at least half as often as the kind.
func TestLargestJobsAreServedInABurst(t *testing.T) {
	const least = 0.5 // as the users ask
	p := pattern{name: "a burst of many sizes", factor: 1.8, trouble: noTrouble, widths: true}
	sums := make(map[string]sizeCounts)
	for seed := range uint64(10) { // a kind has some 45 jobs in one
		for kind, c := range p.play(t, seed, leased.Adaptive).sizes {
			sum := sums[kind]
			sum.add(c)
			sums[kind] = sum
		}
	}
	for kind, c := range sums {
		t.Logf("%s: served %.3f of the largest tenth, %.3f of the fifth below it, %.3f of all", kind, c.share(0), c.share(1), c.share(2))
		for class := range 2 {
			if c.share(class) < least*c.share(2) {
				t.Errorf("%s: served %.3f of a class of the largest, want half of %.3f", kind, c.share(class), c.share(2))
			}
		}
	}
}

// lostAnswers lets a share of the orders go unanswered and be carried out late.
func lostAnswers(share float64) func(*world) {
	return func(w *world) {
		w.at(troubleFrom, func() { w.lose = share })
		w.at(troubleUntil, func() { w.lose = 0 })
	}
}

// The pattern: orders of which 6% get no answer. It may cost a quarter of what
// is answered in time.
func TestLostAnswersCostLittle(t *testing.T) {
	calm := (&pattern{name: "the usual load", factor: 1, trouble: noTrouble}).play(t, 1, leased.Adaptive)
	lossy := (&pattern{name: "6% of the orders unanswered", factor: 1, trouble: lostAnswers(0.06)}).play(t, 1, leased.Adaptive)
	t.Logf("in time %.3f without and %.3f with lost answers", calm.inTime, lossy.inTime)
	if lossy.inTime < 0.75*calm.inTime {
		t.Errorf("in time %.3f, want three quarters of %.3f", lossy.inTime, calm.inTime)
	}
}

func TestOrderOfTheQueueUnderHeavyLoad(t *testing.T) {
	const seeds = 2
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			mean := make(map[string]outcome)
			for _, order := range leased.QueueOrders {
				var sum outcome
				for seed := range uint64(seeds) {
					o := p.play(t, seed, order)
					sum.inTime += o.inTime / seeds
					sum.worst += o.worst / seeds
				}
				mean[order] = sum
				t.Logf("%-12s in time %.3f, worst kind %.3f", order, sum.inTime, sum.worst)
			}
			if got := mean[leased.Adaptive].inTime; got < p.least {
				t.Errorf("in time %.3f, want %.2f", got, p.least)
			}
			if mean[leased.Adaptive].inTime < mean[leased.ByArrival].inTime-0.02 {
				t.Errorf("in time %.3f, less than in the order of arrival (%.3f)", mean[leased.Adaptive].inTime, mean[leased.ByArrival].inTime)
			}
			if gain := mean[leased.Adaptive].inTime - mean[leased.ByLatestStart].inTime; gain < p.gain {
				t.Errorf("%.3f more in time than by the latest start, want %.2f", gain, p.gain)
			}
		})
	}
}
