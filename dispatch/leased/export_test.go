package leased

// Orders of the queue that the load tests compare.
const (
	Adaptive      = "adaptive" // the one in use
	ByLatestStart = "latest start"
	Newest        = "newest"
	ByArrival     = "arrival"
)

// Orders lists them.
var Orders = []string{Adaptive, ByLatestStart, Newest, ByArrival}

// SetOrder replaces the order of the queue; by arrival, jobs that have begun or
// are late are like all others.
func (c *Core) SetOrder(name string) {
	c.fixedOrder = name != Adaptive
	switch name {
	case Newest:
		c.waiting.orders[freshClass] = byNewest
	case ByArrival:
		c.waiting.orders = [classes]order{byArrival, byArrival, byArrival}
	}
}
