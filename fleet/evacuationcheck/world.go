package evacuationcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Sizes of the model.
const (
	endpointsPerDomain = 4
	endpointsPerCell   = 2
	cellsPerDomain     = endpointsPerDomain / endpointsPerCell
	networkDelay       = 300 * time.Microsecond // one way
)

// domains are the failure domains. Operators evacuate the first two.
var domains = []string{"a", "b", "c"}

// endpointNumbers are the numbers in the names of each domain's endpoints. They are
// chosen so that the endpoints are drained one after the other until nearly the end
// of the drain: a violation by less than a third of the drain would not be seen with
// numbers 0 to 3 in domain a, the last of which is drained after a sixth.
var endpointNumbers = map[string][endpointsPerDomain]int{"a": {1, 6, 8, 10}, "b": {0, 3, 8, 10}, "c": {0, 5, 6, 8}}

// entryDomains are the failure domains of the entries.
var entryDomains = []string{"a", "a", "b", "b", "c"}

var epoch = time.Unix(1_800_000_000, 0)

// world is the state of the model.
type world struct {
	Options
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	sequence  int
	store     store
	entries   []*entry // the newest incarnation of each
	past      []*entry // earlier incarnations
	endpoints []*endpoint
	byID      map[leased.EndpointID]*endpoint
	linkCuts  [][]cut  // by pair of entries, see link
	storeLink [][]link // state of the store as seen by each entry, by time
	lossRate  float64  // share of requests to endpoints that are lost
	lastInc   cells.Incarnation
	lastJob   int
	starts    []start
	result    Result
}

// start is a Start that an entry has sent.
type start struct {
	by     *entry
	domain string
	at     time.Duration
}

func newWorld(o Options) *world {
	w := &world{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 8)), byID: make(map[leased.EndpointID]*endpoint)}
	w.store.append(0, 0, "config", "{}")
	for _, domain := range domains {
		for _, n := range endpointNumbers[domain] {
			w.addEndpoint(domain, fmt.Sprintf("%s-%d", domain, n))
		}
	}
	w.linkCuts = make([][]cut, len(entryDomains)*len(entryDomains))
	w.storeLink = make([][]link, len(entryDomains))
	w.entries = make([]*entry, len(entryDomains))
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) logf(format string, args ...any) {
	if w.Log != nil {
		w.Log(w.now, fmt.Sprintf(format, args...))
	}
}

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// cut is a time during which two entries exchange nothing.
type cut struct{ from, to time.Duration }

// linkOf returns the cuts between two entries.
func (w *world) linkOf(a, b int) *[]cut {
	return &w.linkCuts[min(a, b)*len(entryDomains)+max(a, b)]
}

// connected reports whether two entries were connected for a whole time.
func (w *world) connected(a, b int, from, to time.Duration) bool {
	for _, c := range *w.linkOf(a, b) {
		if c.from <= to && from < c.to {
			return false
		}
	}
	return true
}

func (w *world) linked(a, b int) bool { return w.connected(a, b, w.now, w.now) }

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) at(at time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at, w.sequence, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) runUntil(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// find returns the live entry with an incarnation, or nil.
func (w *world) find(id cells.Incarnation) *entry {
	for _, e := range w.entries {
		if e != nil && e.alive && e.self.Incarnation == id {
			return e
		}
	}
	return nil
}
