package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
)

// Sizes for which the target of a placement decision is defined.
const (
	benchEndpoints = 640
	benchSlots     = 8
	benchWaiting   = 10_000
	benchJobTasks  = 20
)

type benchCore struct {
	*Core
	issuer *jobid.Issuer
	now    time.Time
	active []Start
}

func newBenchCore(b *testing.B) *benchCore {
	issuer, err := jobid.NewIssuer(1, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
	if err != nil {
		b.Fatal(err)
	}
	c := &benchCore{Core: New(Options{Rand: rand.New(rand.NewPCG(1, 2)), MaxWaiting: 10 * benchWaiting, Disabled: Admission}), issuer: issuer, now: epoch}
	c.Step(epoch, &SetCatalog{Catalog: &catalog.Catalog{Services: []catalog.Service{
		{Name: "valuation", Idempotent: true, Slots: benchSlots, RunTime: 200 * time.Millisecond, Timeout: time.Minute},
	}}})
	list := make([]Endpoint, benchEndpoints)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprintf("e%03d", i), Service: "valuation", Slots: benchSlots, Rack: fmt.Sprintf("r%02d", i/8), Worker: fmt.Sprintf("w%03d", i)}
	}
	c.Step(epoch, &SetEndpoints{Endpoints: list})
	for c.waiting < benchWaiting {
		c.submit()
	}
	return c
}

func (c *benchCore) submit() {
	id, _ := c.issuer.Issue(c.now, time.Hour)
	tasks := make([]TaskSpec, benchJobTasks)
	for i := range tasks {
		tasks[i].Declared = time.Duration(50+10*i) * time.Millisecond
	}
	ready := c.Step(c.now, &Submit{ID: id, Team: fmt.Sprintf("t%d", id.Sequence%130), Service: "valuation", Tasks: tasks})
	c.active = append(c.active, ready.Starts...)
}

// finish ends a random running task, so that one waiting task starts.
func (c *benchCore) finish(rng *rand.Rand, in *Done) {
	i := rng.IntN(len(c.active))
	in.Task, in.Attempt = c.active[i].Task, c.active[i].Attempt
	c.now = c.now.Add(20 * time.Microsecond)
	ready := c.Step(c.now, in)
	c.active[i] = c.active[len(c.active)-1]
	c.active = append(c.active[:len(c.active)-1], ready.Starts...)
}

// BenchmarkDecision measures one reply and the resulting placement, with 640
// endpoints of 8 slots and 10,000 waiting tasks. Submissions that refill the
// queue are not measured.
func BenchmarkDecision(b *testing.B) {
	c := newBenchCore(b)
	rng := rand.New(rand.NewPCG(3, 4))
	done := &Done{RunTime: 200 * time.Millisecond, Result: []byte("{}")}
	b.ReportAllocs()
	for b.Loop() {
		c.finish(rng, done)
		if c.waiting < benchWaiting {
			b.StopTimer()
			for c.waiting < benchWaiting+100*benchJobTasks {
				c.submit()
			}
			b.StartTimer()
		}
	}
}

// BenchmarkSubmit measures the admission of a waiting job of 20 tasks.
func BenchmarkSubmit(b *testing.B) {
	c := newBenchCore(b)
	b.ReportAllocs()
	for b.Loop() {
		c.submit()
		if c.waiting > 9*benchWaiting {
			b.StopTimer()
			c = newBenchCore(b)
			b.StartTimer()
		}
	}
}
