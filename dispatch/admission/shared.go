package admission

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Bands is the number of priority bands that have different factors. Lower
// priorities count as the last band.
const Bands = 6

// Band returns the band of a priority.
func Band(priority int) int { return min(max(0, priority), Bands-1) }

// SharedLoad is what a holder announces about its part of the capacity, so that all
// holders decide from the demand of all.
type SharedLoad struct {
	Capacity float64        // cores that serve the queue
	Demand   [Bands]float64 // core-seconds per second, by band
	Backlog  [Bands]float64 // core-seconds of the waiting tasks, by band
}

// maxShared bounds each quantity of a SharedLoad, in the unit of its field.
const maxShared = 1 << 24

// InvalidLoadError reports a load that no correct holder announces.
type InvalidLoadError struct {
	Field string
	Value float64
}

func (e *InvalidLoadError) Error() string {
	return fmt.Sprintf("the announced shared load is not valid: %s is %v; check the version of its sender", e.Field, e.Value)
}

// Validate returns an *InvalidLoadError if a field is out of range.
func (l *SharedLoad) Validate() error {
	invalid := func(v float64) bool { return !(v >= 0 && v <= maxShared) } // also excludes NaN
	if invalid(l.Capacity) {
		return &InvalidLoadError{"capacity", l.Capacity}
	}
	for b := range Bands {
		if invalid(l.Demand[b]) {
			return &InvalidLoadError{fmt.Sprintf("demand of band %d", b), l.Demand[b]}
		}
		if invalid(l.Backlog[b]) {
			return &InvalidLoadError{fmt.Sprintf("backlog of band %d", b), l.Backlog[b]}
		}
	}
	return nil
}

// backlogUnits is the number of announced units per core-second of backlog. Demand
// and capacity are announced in whole cores.
const backlogUnits = 10

// Encode returns the load as it is announced: the capacity followed by the demand of
// each band, and the backlog of each band, without the zeros at their ends.
func (l *SharedLoad) Encode() (demand, backlog []uint32) {
	demand = append(demand, rounded(l.Capacity))
	for b := range Bands {
		demand = append(demand, rounded(l.Demand[b]))
		backlog = append(backlog, rounded(l.Backlog[b]*backlogUnits))
	}
	return withoutZeros(demand), withoutZeros(backlog)
}

func rounded(v float64) uint32 { return uint32(math.Round(min(max(0, v), maxShared))) }

func withoutZeros(list []uint32) []uint32 {
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// DecodeLoad returns an announced load, or nil if there is none. It returns an
// *InvalidLoadError for one that no correct holder announces. Bands that this version
// does not know are added to the last one.
func DecodeLoad(demand, backlog []uint32) (*SharedLoad, error) {
	if len(demand) == 0 && len(backlog) == 0 {
		return nil, nil
	}
	if n := max(len(demand)-1, len(backlog)); n > maxBands {
		return nil, &InvalidLoadError{"number of bands", float64(n)}
	}
	var l SharedLoad
	for i, v := range demand {
		if i == 0 {
			l.Capacity = float64(v)
			continue
		}
		l.Demand[Band(i-1)] += float64(v)
	}
	for b, v := range backlog {
		l.Backlog[Band(b)] += float64(v) / backlogUnits
	}
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &l, nil
}

// maxBands bounds the number of announced bands. Newer versions may announce more than
// Bands.
const maxBands = 64

// sharedAge is the age up to which an announced load is used. Demand is an average
// over a second, and one of two announcements in this time may be lost.
const sharedAge = 600 * time.Millisecond

// sharedLoads are the newest loads of the other holders.
type sharedLoads struct {
	holders map[uint64]receivedLoad
}

type receivedLoad struct {
	SharedLoad
	at time.Time
}

// Receive replaces the load of another holder. One that is not valid counts as none.
// Not every announcement of a holder carries its load: the last one is used until it
// is sharedAge old.
func (c *Controller) Receive(at time.Time, holder uint64, load *SharedLoad) {
	if load.Validate() != nil {
		delete(c.shared.holders, holder)
		return
	}
	if c.shared.holders == nil {
		c.shared.holders = make(map[uint64]receivedLoad)
	}
	c.shared.holders[holder] = receivedLoad{*load, at}
}

// HasLoad reports whether a recent load of another holder is known.
func (c *Controller) HasLoad(now time.Time, holder uint64) bool {
	l, known := c.shared.holders[holder]
	return known && now.Sub(l.at) <= sharedAge
}

// sum returns the recent loads of the other holders together, and their number.
func (s *sharedLoads) sum(now time.Time) (total SharedLoad, holders int) {
	maps.DeleteFunc(s.holders, func(_ uint64, l receivedLoad) bool { return now.Sub(l.at) > sharedAge })
	for _, id := range slices.Sorted(maps.Keys(s.holders)) { // sums depend on the order
		l := s.holders[id]
		total.add(&l.SharedLoad)
	}
	return total, len(s.holders)
}

// add adds another load.
func (l *SharedLoad) add(other *SharedLoad) {
	l.Capacity += other.Capacity
	for b := range Bands {
		l.Demand[b] += other.Demand[b]
		l.Backlog[b] += other.Backlog[b]
	}
}

// backlog returns the backlog of all bands, in core-seconds.
func (l *SharedLoad) backlog() float64 {
	var sum float64
	for _, b := range l.Backlog {
		sum += b
	}
	return sum
}

// Announce returns the load of this holder as of the latest Update, which the caller
// announces to the other holders. Until the next one, this holder counts its own load
// as announced, so that all holders decide from the same numbers.
func (c *Controller) Announce(now time.Time) SharedLoad {
	load, err := DecodeLoad(c.own.Encode()) // as it arrives
	if load == nil || err != nil {
		load = &SharedLoad{}
	}
	c.announced = receivedLoad{*load, now}
	return *load
}

// lastAnnounced returns the load of this holder as announced, or its present load if
// it announces none.
func (c *Controller) lastAnnounced(now time.Time) SharedLoad {
	if c.announced.at.IsZero() || now.Sub(c.announced.at) > sharedAge {
		return c.own
	}
	return c.announced.SharedLoad
}

// ownLoad returns the load to announce.
func ownLoad(state *State, classes []Class) SharedLoad {
	l := SharedLoad{Capacity: state.OwnCapacity, Backlog: state.BacklogByBand}
	for i := range classes {
		l.Demand[classes[i].Band] += classes[i].Work
	}
	return l
}

// othersSize marks a class of the demand of other holders in a band of which this
// holder has observed none.
const othersSize = -1

// scaleToTotal returns the classes with the demand of all holders. Within a band, it is
// assumed to be distributed over queues and sizes as this holder observes.
func scaleToTotal(classes []Class, own, total *SharedLoad) []Class {
	classes = slices.Clone(classes)
	for i := range classes {
		if b := classes[i].Band; own.Demand[b] > 0 {
			classes[i].Work *= total.Demand[b] / own.Demand[b]
		}
	}
	for b := range Bands {
		if own.Demand[b] <= 0 && total.Demand[b] > 0 {
			classes = append(classes, Class{
				Queue: fmt.Sprintf("other holders' band %d", b), Band: b, Size: othersSize, Jobs: 1, Work: total.Demand[b], Price: bandFactor(b),
			})
		}
	}
	return classes
}
