package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lovagespread.example/catalog"
	"pgregory.net/rapid"
)

func newPool(endpoints, slots, racks int) *Pool {
	p := &Pool{}
	rackList := make([]*Rack, racks)
	for i := range rackList {
		rackList[i] = &Rack{}
	}
	for i := range endpoints {
		p.Add(&Endpoint{Name: fmt.Sprint(i), Slots: slots, Rack: rackList[i%racks]})
	}
	return p
}

// TestPickIsLeastLoadedOfBestTier compares the choice of Spread with a scan over
// all endpoints after random changes.
func TestPickIsLeastLoadedOfBestTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		p := newPool(6, slots, 2)
		rng := rand.New(rand.NewPCG(1, 2))
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			e := p.all[rapid.IntRange(0, len(p.all)-1).Draw(t, "endpoint")]
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				p.SetTier(e, Tier(rapid.IntRange(0, numTiers).Draw(t, "tier")))
			case 1:
				if e.Running > 0 {
					e.Release(catalog.Resources{})
				}
			case 2:
				p.SetSlots(e, rapid.IntRange(1, slots).Draw(t, "slots"))
			default:
				got, _ := Spread{}.Pick(p, Request{}, rng)
				want := leastLoaded(p)
				if (got == nil) != (want == nil) || got != nil && (got.Tier != want.Tier || got.Running != want.Running) {
					t.Fatalf("picked %+v, want one like %+v", got, want)
				}
				if got != nil {
					got.Allocate(catalog.Resources{})
				}
			}
		}
	})
}

func leastLoaded(p *Pool) (found *Endpoint) {
	for _, e := range p.all {
		if e.Tier == Excluded || e.Running >= e.Slots {
			continue
		}
		if found == nil || e.Tier < found.Tier || e.Tier == found.Tier && e.Running < found.Running {
			found = e
		}
	}
	return found
}

func TestTasksSpreadOverRacks(t *testing.T) {
	p := newPool(32, 8, 4)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 64 {
		e, _ := Spread{}.Pick(p, Request{}, rng)
		e.Allocate(catalog.Resources{})
	}
	for _, e := range p.all[:4] {
		if e.Rack.Running < 14 || e.Rack.Running > 18 {
			t.Errorf("rack has %d of 64 tasks, want about 16", e.Rack.Running)
		}
	}
}

func TestAvoidedEndpointIsNotPicked(t *testing.T) {
	p := newPool(2, 8, 1)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		if e, _ := (Spread{}).Pick(p, Request{Avoid: p.all[0]}, rng); e != p.all[1] {
			t.Fatalf("picked %v, want the only other endpoint", e)
		}
	}
}
