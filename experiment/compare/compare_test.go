package compare

import (
	"math/rand/v2"
	"testing"
	"time"
)

// shorten limits a scenario to the given duration at its first load.
func shorten(s *Scenario, duration time.Duration) *Scenario {
	s.Duration = duration
	s.phases = []phase{{duration, s.phases[0].load}}
	return s
}

func TestSameSeedGivesSameRun(t *testing.T) {
	a := Run(shorten(Load80(), 3500*time.Millisecond), Inferred(), 7)
	b := Run(shorten(Load80(), 3500*time.Millisecond), Inferred(), 7)
	if a.Messages != b.Messages || a.InTimeWork != b.InTimeWork || a.All.Slowdown(0.99) != b.All.Slowdown(0.99) {
		t.Fatalf("two runs differ: %v and %v", a.Messages, b.Messages)
	}
	if a.All.Complete == 0 {
		t.Fatal("no job was completed")
	}
}

// TestGuaranteesHoldUnderFaults checks that every job ends and no
// non-idempotent task starts twice, in scenarios with faults, cancellations and
// overload.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	for _, scenario := range []func() *Scenario{Faults, RackLoss, Cancellations, Metastable} {
		s := shorten(scenario(), 6*time.Second)
		if s.Name == RackLoss().Name {
			s.scheduleFaults = func(run *sim, _ *rand.Rand) { run.at(4*time.Second, func() { run.failRack("rack-3") }) }
		}
		r := Run(s, Inferred(), 1)
		if r.DoubleStarts != 0 || r.Unanswered != 0 {
			t.Errorf("%s: %d double starts, %d jobs without an answer", s.Name, r.DoubleStarts, r.Unanswered)
		}
		if r.All.Complete == 0 {
			t.Errorf("%s: no job was completed", s.Name)
		}
	}
}

func TestIdealRunUsesAllSlots(t *testing.T) {
	tasks := make([]Task, 5)
	for i := range tasks {
		tasks[i].RunTime = time.Duration(1+i) * time.Second
	}
	if got := idealRun(tasks, 5); got != 5*time.Second {
		t.Errorf("5 slots: %v", got)
	}
	if got := idealRun(tasks, 2); got != 8*time.Second {
		t.Errorf("2 slots: %v, want 8s", got)
	}
}
