package admission

import (
	"cmp"
	"slices"
)

// Floors that water-filling keeps.
const (
	// QueueFloor is the share of each queue's work that is served, as long as the
	// floors of all queues together fit into the capacity.
	QueueFloor = 0.1
	// SizeFloor is the share of a size class that is served, as a ratio to what its
	// queue would be served without this floor. Users require half for the largest
	// tenth of the jobs; the rest is a margin for the noise of short bursts.
	SizeFloor = 0.6
)

// Class is the demand of the jobs of one size class of a queue.
type Class struct {
	Queue string
	Band  int
	Size  int
	Jobs  float64 // relative number of jobs within the queue
	Work  float64 // core-seconds per second
	Price float64 // value per core-second
}

// Fill is the result of water-filling.
type Fill struct {
	Threshold float64   // price of the last class that is fully or partly served above its floor; 0: all are served
	Shares    []float64 // served share of each class
}

// WaterFill returns the shares of the classes that use the given capacity, in
// core-seconds per second, with the highest value: classes are served in order of
// price, and each keeps its floor.
func WaterFill(capacity float64, classes []Class) Fill {
	floors := make([]float64, len(classes))
	for i := range floors {
		floors[i] = QueueFloor
	}
	order := byPrice(classes)
	fill := fillAbove(capacity, classes, order, floors)
	if raiseFloors(floors, classes, fill.Shares) {
		fill = fillAbove(capacity, classes, order, floors)
	}
	return fill
}

// byPrice returns the indexes of the classes, the highest price first.
func byPrice(classes []Class) []int {
	order := make([]int, len(classes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(classes[b].Price, classes[a].Price),
			cmp.Compare(classes[a].Queue, classes[b].Queue), cmp.Compare(classes[a].Size, classes[b].Size))
	})
	return order
}

// fillAbove serves the floors first, scaled down if they exceed the capacity, and
// then the classes in order. The floors of queues go before what is added to them
// for size classes.
func fillAbove(capacity float64, classes []Class, order []int, floors []float64) Fill {
	fill := Fill{Shares: make([]float64, len(classes))}
	var base, extra float64
	for i := range classes {
		base += QueueFloor * classes[i].Work
		extra += (floors[i] - QueueFloor) * classes[i].Work
	}
	left := max(0, capacity)
	baseScale := scaleTo(left, base)
	left -= base * baseScale
	extraScale := scaleTo(left, extra)
	left -= extra * extraScale
	for i := range classes {
		fill.Shares[i] = QueueFloor*baseScale + (floors[i]-QueueFloor)*extraScale
	}
	for len(order) > 0 {
		n := samePrice(classes, order)
		var rest float64
		for _, i := range order[:n] {
			rest += (1 - fill.Shares[i]) * classes[i].Work
		}
		served := scaleTo(left, rest)
		if served < 1 && fill.Threshold == 0 {
			fill.Threshold = classes[order[0]].Price
		}
		for _, i := range order[:n] {
			fill.Shares[i] += served * (1 - fill.Shares[i])
		}
		left -= served * rest
		order = order[n:]
	}
	return fill
}

// samePrice returns how many of the first classes have the same price. They are
// served alike.
func samePrice(classes []Class, order []int) int {
	const tolerance = 1e-9
	n := 1
	for n < len(order) && classes[order[0]].Price-classes[order[n]].Price <= tolerance {
		n++
	}
	return n
}

// scaleTo returns the factor, at most 1, by which an amount fits into the capacity.
func scaleTo(capacity, amount float64) float64 {
	if amount <= capacity {
		return 1
	}
	return max(0, capacity) / amount
}

// raiseFloors raises floors to SizeFloor of the served share of their queue. It
// returns false if none was too low.
func raiseFloors(floors []float64, classes []Class, shares []float64) bool {
	served, all := make(map[string]float64), make(map[string]float64)
	for i, c := range classes {
		served[c.Queue] += c.Jobs * shares[i]
		all[c.Queue] += c.Jobs
	}
	raised := false
	for i, c := range classes {
		if want := SizeFloor * served[c.Queue] / all[c.Queue]; want > floors[i] && want > shares[i] {
			floors[i] = want
			raised = true
		}
	}
	return raised
}
