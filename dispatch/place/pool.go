package place

import "lovagespread.example/catalog"

// Pool holds the endpoints of one service.
type Pool struct {
	// Needs are the resources of a typical task. An endpoint whose worker does
	// not have them free is not available.
	Needs catalog.Resources

	all       []*Endpoint
	tiers     [numTiers]tierIndex
	available int // endpoints that can take a typical task
	slots     int // slots of all endpoints that are not excluded
	running   int // running tasks on all endpoints
}

// tierIndex holds the available endpoints of one tier.
type tierIndex struct {
	byLoad [][]*Endpoint // indexed by the number of running tasks
	count  int
}

// All returns the endpoints of the pool.
func (p *Pool) All() []*Endpoint { return p.all }

// Available returns the number of endpoints that can take a typical task now.
func (p *Pool) Available() int { return p.available }

// Slots returns the number of slots of all endpoints that are not excluded.
func (p *Pool) Slots() int { return p.slots }

// Running returns the number of running tasks on the pool's endpoints.
func (p *Pool) Running() int { return p.running }

// Add adds an endpoint to the pool.
func (p *Pool) Add(e *Endpoint) {
	e.pool = p
	p.all = append(p.all, e)
	p.running += e.Running
	if e.Rack != nil {
		e.Rack.Slots += e.Slots
		e.Rack.Running += e.Running
	}
	if e.Tier != Excluded {
		p.slots += e.Slots
	}
	p.update(e)
}

// SetSlots sets the number of slots of an endpoint of the pool.
func (p *Pool) SetSlots(e *Endpoint, slots int) {
	if e.Tier != Excluded {
		p.slots += slots - e.Slots
	}
	if e.Rack != nil {
		e.Rack.Slots += slots - e.Slots
	}
	e.Slots = slots
	p.update(e)
}

// SetTier sets the tier of an endpoint of the pool.
func (p *Pool) SetTier(e *Endpoint, t Tier) {
	if e.Tier == t {
		return
	}
	if e.Tier == Excluded {
		p.slots += e.Slots
	}
	if t == Excluded {
		p.slots -= e.Slots
	}
	e.Tier = t
	p.update(e)
}

func (p *Pool) update(e *Endpoint) {
	available := e.Tier != Excluded && e.Running < e.Slots && e.Worker.Fits(p.Needs)
	if e.indexed {
		if available && e.indexedTier == e.Tier && e.indexedLoad == e.Running {
			return
		}
		p.remove(e)
	}
	if available {
		p.insert(e)
	}
}

func (p *Pool) insert(e *Endpoint) {
	t := &p.tiers[e.Tier]
	for len(t.byLoad) <= e.Running {
		t.byLoad = append(t.byLoad, nil)
	}
	e.indexed, e.indexedTier, e.indexedLoad, e.position = true, e.Tier, e.Running, len(t.byLoad[e.Running])
	t.byLoad[e.indexedLoad] = append(t.byLoad[e.indexedLoad], e)
	t.count++
	p.available++
}

func (p *Pool) remove(e *Endpoint) {
	t := &p.tiers[e.indexedTier]
	level := t.byLoad[e.indexedLoad]
	last := level[len(level)-1]
	level[e.position] = last
	last.position = e.position
	level[len(level)-1] = nil
	t.byLoad[e.indexedLoad] = level[:len(level)-1]
	t.count--
	p.available--
	e.indexed = false
}
