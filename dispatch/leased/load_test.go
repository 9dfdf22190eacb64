package leased_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/leased"
)

// jobKind is one kind of job in the workload of the sites of the users' platform.
type jobKind struct {
	queue     string
	priority  int
	perSecond float64
	tasks     int
	runTime   time.Duration
	value     float64
}

// siteWorkload uses 71% of the capacity of 48 endpoints that run two tasks each.
var siteWorkload = []jobKind{
	{"check", 0, 34.4, 8, 60 * time.Millisecond, 0.029},
	{"number", 1, 100, 2, 200 * time.Millisecond, 0.010},
	{"pickup", 2, 6.25, 4, 900 * time.Millisecond, 0.160},
}

// loadScenario is a workload and the faults that are injected during the window
// from windowStart to windowEnd.
type loadScenario struct {
	name           string
	loadFactor     float64 // of the job rates, during the window
	injectFaults   func(sim *simulation)
	onlyQueue      string // the queue that loadFactor applies to; empty: all
	varyTaskCounts bool   // jobs of a kind have different numbers of tasks
}

const (
	windowStart  = 2 * time.Second
	windowEnd    = 6 * time.Second
	loadDuration = 9 * time.Second
)

// outcome is the share of the value of the jobs submitted during the window that
// was answered in time: of all jobs, and of the kind with the lowest share.
type outcome struct {
	inTime, worstKind float64
	sizes             map[string]sizeCounts // by kind
}

// simulate runs the scenario with the given order of the queue.
func (sc *loadScenario) simulate(t *testing.T, seed uint64, order string) outcome {
	sim := newSimulation(t, seed, 1)
	sim.skipDoubleRunCheck = true
	sim.addEndpoints(0, 48)
	sim.cores[0].SetQueueOrder(order)
	sim.runUntil(100 * time.Millisecond)
	deadlines := make(map[leased.JobID]time.Duration)
	kinds := make(map[leased.JobID]jobKind)
	n := 0
	for _, k := range siteWorkload {
		for at := 200 * time.Millisecond; at < loadDuration; {
			rate := k.perSecond
			if at >= windowStart && at < windowEnd && (sc.onlyQueue == "" || sc.onlyQueue == k.queue) {
				rate *= sc.loadFactor
			}
			at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
			n++
			id := leased.JobID(fmt.Sprintf("%s%05d", k.queue, n))
			runTime := time.Duration(float64(k.runTime) * math.Exp(0.3*sim.rng.NormFloat64()))
			tasks := k.tasks
			if sc.varyTaskCounts {
				tasks = max(1, int(math.Round(float64(k.tasks)*math.Exp(0.4*sim.rng.NormFloat64()))))
			}
			estimate := time.Duration(float64(runTime) * math.Exp(0.3*sim.rng.NormFloat64()))
			if at >= windowStart && at < windowEnd {
				deadlines[id] = at + time.Duration(1.6*float64(runTime)) + 60*time.Millisecond
				kinds[id] = k
				sim.taskCounts[id] = tasks
			}
			sim.at(at, func() {
				sim.submitJob(0, leased.Job{
					ID: id, Service: "s", Queue: k.queue, Priority: k.priority, MaxAttempts: 3, Stretch: 1.6,
					Slack: 60 * time.Millisecond, CallerTimeout: 1500*time.Millisecond + 2*runTime,
					Steps: []leased.Step{{Tasks: tasks, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: estimate}},
				}, runTime)
			})
		}
	}
	sc.injectFaults(sim)
	sim.runUntil(loadDuration + 5*time.Second)
	return measure(sim, deadlines, kinds)
}

func measure(sim *simulation, deadlines map[leased.JobID]time.Duration, kinds map[leased.JobID]jobKind) outcome {
	valueByQueue, inTimeByQueue := make(map[string]float64), make(map[string]float64)
	for id, deadline := range deadlines {
		k := kinds[id]
		valueByQueue[k.queue] += k.value
		if a, ok := sim.answers[id]; ok && a.Verdict == leased.Completed && sim.answeredAt[id] <= deadline {
			inTimeByQueue[k.queue] += k.value
		}
	}
	o := outcome{worstKind: 1}
	var value, inTime float64
	for _, queue := range slices.Sorted(maps.Keys(valueByQueue)) {
		value += valueByQueue[queue]
		inTime += inTimeByQueue[queue]
		o.worstKind = min(o.worstKind, inTimeByQueue[queue]/valueByQueue[queue])
	}
	o.inTime = inTime / value
	o.sizes = countSizes(sim, kinds)
	return o
}

// sizeCounts counts the jobs of a kind in three size classes: the largest tenth,
// the next fifth, and all.
type sizeCounts [3]struct{ served, submitted int }

func countSizes(sim *simulation, kinds map[leased.JobID]jobKind) map[string]sizeCounts {
	byKind := make(map[string][]leased.JobID)
	for id, k := range kinds {
		byKind[k.queue] = append(byKind[k.queue], id)
	}
	counts := make(map[string]sizeCounts)
	for kind, ids := range byKind {
		slices.SortFunc(ids, func(a, b leased.JobID) int {
			return cmp.Or(cmp.Compare(sim.taskCounts[b], sim.taskCounts[a]), cmp.Compare(a, b))
		})
		tenth := len(ids) / 10
		var c sizeCounts
		for class, list := range [][]leased.JobID{ids[:tenth], ids[tenth : 3*tenth], ids} {
			c[class].submitted = len(list)
			c[class].served = lo.CountBy(list, func(id leased.JobID) bool {
				return sim.answers[id].Verdict == leased.Completed && sim.answers[id].Took > 0
			})
		}
		counts[kind] = c
	}
	return counts
}

// add adds the counts of other.
func (c *sizeCounts) add(other sizeCounts) {
	for class := range c {
		c[class].served += other[class].served
		c[class].submitted += other[class].submitted
	}
}

// servedShare returns the share of the jobs of a size class that were served.
func (c *sizeCounts) servedShare(class int) float64 {
	return float64(c[class].served) / float64(c[class].submitted)
}

func slowEndpoints(share, factor float64) func(*simulation) {
	return func(sim *simulation) {
		n := int(share * float64(len(sim.specs)))
		sim.at(windowStart, func() {
			for _, spec := range sim.specs[:n] {
				sim.endpoints[spec.ID].Speed = 1 / factor
			}
		})
		sim.at(windowEnd, func() {
			for _, spec := range sim.specs[:n] {
				sim.endpoints[spec.ID].Speed = 1
			}
		})
	}
}

func hangingEndpoints(share float64) func(*simulation) {
	return func(sim *simulation) {
		n := int(share * float64(len(sim.specs)))
		set := func(on bool) func() {
			return func() {
				for _, spec := range sim.specs[:n] {
					sim.endpoints[spec.ID].Hangs = on
				}
			}
		}
		sim.at(windowStart, set(true))
		sim.at(windowEnd, set(false))
	}
}

// loadScenarios are the workloads and faults of the heaviest days. minInTime is
// the share of the value that must be answered in time, and minGain is how much
// the adaptive order must add to ordering by the latest start alone.
var loadScenarios = []struct {
	loadScenario
	minInTime, minGain float64
}{
	{loadScenario{name: "the usual load", loadFactor: 1, injectFaults: noFaults}, 0.99, 0},
	{loadScenario{name: "a burst of all kinds, 1.8 times the usual", loadFactor: 1.8, injectFaults: noFaults}, 0.6, 0.15},
	{loadScenario{name: "a burst of one kind, three times the usual", loadFactor: 3, injectFaults: noFaults, onlyQueue: "check"}, 0.6, 0.1},
	{loadScenario{name: "17% of the endpoints 6.5 times slower", loadFactor: 1, injectFaults: slowEndpoints(0.17, 6.5)}, 0.8, -0.03},
	{loadScenario{name: "22% of the endpoints 5.5 times slower in a burst of 1.3", loadFactor: 1.3, injectFaults: slowEndpoints(0.22, 5.5)}, 0.55, 0.12},
	{loadScenario{name: "10% of the endpoints hang", loadFactor: 1, injectFaults: hangingEndpoints(0.1)}, 0.9, -0.03},
}

func noFaults(*simulation) {}

// The scenario is a burst of jobs of many sizes. The largest tenth of each kind,
// and the next fifth, must be served at least half as often as all jobs of the
// kind.
func TestLargestJobsAreServedInABurst(t *testing.T) {
	const minRatio = 0.5 // as the users require
	sc := loadScenario{name: "a burst of many sizes", loadFactor: 1.8, injectFaults: noFaults, varyTaskCounts: true}
	sums := make(map[string]sizeCounts)
	for seed := range uint64(10) { // one run has about 45 jobs of a kind
		for kind, c := range sc.simulate(t, seed, leased.Adaptive).sizes {
			sum := sums[kind]
			sum.add(c)
			sums[kind] = sum
		}
	}
	for kind, c := range sums {
		t.Logf("%s: served %.3f of the largest tenth, %.3f of the next fifth, %.3f of all", kind, c.servedShare(0), c.servedShare(1), c.servedShare(2))
		for class := range 2 {
			if c.servedShare(class) < minRatio*c.servedShare(2) {
				t.Errorf("%s: served %.3f of a class of the largest jobs, want at least half of %.3f", kind, c.servedShare(class), c.servedShare(2))
			}
		}
	}
}

// lostReplies leaves a share of the requests unanswered and executes them late.
func lostReplies(share float64) func(*simulation) {
	return func(sim *simulation) {
		sim.at(windowStart, func() { sim.lossRate = share })
		sim.at(windowEnd, func() { sim.lossRate = 0 })
	}
}

// waitFixedTimes makes a simulation wait for replies as long as if none were ever
// lost, which is how cores waited before they adapted.
func waitFixedTimes(sim *simulation) {
	sim.startTimeout = callTimeout
	for _, core := range sim.cores {
		core.IgnoreLosses()
	}
}

// The scenario is that 6% of the requests get no reply. At most a quarter of the
// value answered in time may be lost, and a tenth of it must be gained over cores
// that do not adapt to the loss. A job of eight tasks loses a request with a
// probability of a third or more, so each lost request must cost its job little.
func TestLostRepliesCostLittle(t *testing.T) {
	const seeds, minGain = 3, 0.1
	lossy := lostReplies(0.06)
	var baseline, adaptive, fixed float64
	for seed := range uint64(seeds) {
		simulate := func(faults func(*simulation)) float64 {
			sc := loadScenario{name: "6% of the requests unanswered", loadFactor: 1, injectFaults: faults}
			return sc.simulate(t, seed, leased.Adaptive).inTime / seeds
		}
		baseline += simulate(noFaults)
		adaptive += simulate(lossy)
		fixed += simulate(func(sim *simulation) { waitFixedTimes(sim); lossy(sim) })
	}
	t.Logf("in time %.3f without lost replies; with them %.3f, and %.3f with fixed times", baseline, adaptive, fixed)
	if adaptive < 0.75*baseline {
		t.Errorf("in time %.3f, want at least three quarters of %.3f", adaptive, baseline)
	}
	if adaptive < fixed+minGain {
		t.Errorf("in time %.3f, want %.1f more than %.3f with fixed times", adaptive, minGain, fixed)
	}
}

func TestQueueOrdersUnderHeavyLoad(t *testing.T) {
	const seeds = 2
	for _, sc := range loadScenarios {
		t.Run(sc.name, func(t *testing.T) {
			mean := make(map[string]outcome)
			for _, order := range leased.QueueOrders {
				var sum outcome
				for seed := range uint64(seeds) {
					o := sc.simulate(t, seed, order)
					sum.inTime += o.inTime / seeds
					sum.worstKind += o.worstKind / seeds
				}
				mean[order] = sum
				t.Logf("%-12s in time %.3f, worst kind %.3f", order, sum.inTime, sum.worstKind)
			}
			if got := mean[leased.Adaptive].inTime; got < sc.minInTime {
				t.Errorf("in time %.3f, want at least %.2f", got, sc.minInTime)
			}
			if mean[leased.Adaptive].inTime < mean[leased.ByArrival].inTime-0.02 {
				t.Errorf("in time %.3f, less than in the order of arrival (%.3f)", mean[leased.Adaptive].inTime, mean[leased.ByArrival].inTime)
			}
			if gain := mean[leased.Adaptive].inTime - mean[leased.ByLatestStart].inTime; gain < sc.minGain {
				t.Errorf("%.3f more in time than by the latest start, want at least %.2f", gain, sc.minGain)
			}
		})
	}
}

// All entries have lost power and come back, and with them the callers of the
// last second. A holder that has just been assigned its endpoints holds only some
// of them for a moment. It must not refuse callers whom all of them can serve.
func TestCallersAreNotRefusedWhileEndpointsAreTakenOver(t *testing.T) {
	const (
		endpoints, heldAtOnce = 16, 2
		takeover              = 150 * time.Millisecond // until the other endpoints answer
		jobs                  = 60                     // of two tasks: four rounds of all places
	)
	sim := newSimulation(t, 1, 1)
	for i := heldAtOnce; i < endpoints; i++ {
		sim.unreachable[leased.EndpointID(fmt.Sprintf("e%02d", i))] = true
	}
	sim.addEndpoints(0, endpoints)
	sim.at(takeover, func() { sim.unreachable = make(map[leased.EndpointID]bool) })
	sim.runUntil(10 * time.Millisecond)
	for i := range jobs {
		sim.submit(0, leased.JobID(fmt.Sprintf("j%02d", i)), 2, 27_000, 150*time.Millisecond, 1500*time.Millisecond)
		sim.runUntil(sim.now + time.Millisecond)
	}
	sim.runUntil(5 * time.Second)
	verdicts := sim.countVerdicts()
	if verdicts[leased.Rejected] > 0 || verdicts[leased.Completed] != jobs {
		t.Errorf("verdicts %v, want all %d jobs completed", verdicts, jobs)
	}
}

// The scenario is that three in ten requests get no reply. Endpoints that answer most of
// their calls must go on getting tasks: half of the value that is answered in time without
// the loss must be left. Two unanswered calls in a row prove nothing then.
func TestHeavyLossOfRepliesEmptiesNoCapacity(t *testing.T) {
	const seeds = 3
	var baseline, lossy float64
	for seed := range uint64(seeds) {
		simulate := func(faults func(*simulation)) float64 {
			sc := loadScenario{name: "30% of the requests unanswered", loadFactor: 1, injectFaults: faults}
			return sc.simulate(t, seed, leased.Adaptive).inTime / seeds
		}
		baseline += simulate(noFaults)
		lossy += simulate(func(sim *simulation) { sim.startTimeout = lossyStartTimeout; lostReplies(0.3)(sim) })
	}
	t.Logf("in time %.3f without lost replies, %.3f with them", baseline, lossy)
	if lossy < 0.5*baseline {
		t.Errorf("in time %.3f, want at least half of %.3f", lossy, baseline)
	}
}

// lossyStartTimeout is the timeout of a Start while replies are lost.
const lossyStartTimeout = 10 * time.Millisecond
