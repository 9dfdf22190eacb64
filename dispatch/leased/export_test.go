package leased

// Orders of the queue that the load tests compare.
const (
	Adaptive      = "adaptive" // the one in use
	ByLatestStart = "latest start"
	NewestFirst   = "newest"
	ByArrival     = "arrival"
)

// QueueOrders lists them.
var QueueOrders = []string{Adaptive, ByLatestStart, NewestFirst, ByArrival}

// SetQueueOrder replaces the order of the queue; by arrival, jobs that have begun or
// are late are like all others.
func (c *Core) SetQueueOrder(name string) {
	c.fixedOrder = name != Adaptive
	switch name {
	case NewestFirst:
		c.waiting.orders[freshClass] = byNewest
	case ByArrival:
		c.waiting.orders = [classes]order{byArrival, byArrival, byArrival}
	}
}
