package leased

import (
	"math"
	"time"

	"lovagespread.example/dispatch/outlier"
)

// EndpointID identifies an endpoint; an endpoint that starts again may keep it.
type EndpointID string

// Endpoint is what is announced of an endpoint.
type Endpoint struct {
	ID            EndpointID
	Address       string // host:port
	Service       string
	FailureDomain string
	Capacity      Demand
	Labels        []string // kind and rack among them
	Leaving       bool     // gets no new work
	Cold          time.Duration
	Born          int64  // start of its incarnation, milliseconds since 1970; 0: not told
	Cell          string // whose holder holds it
}

type runState uint8

const (
	starting runState = iota // ordered, not confirmed
	running
	stopping // a Stop was sent, the end is not listed yet
)

// run is a run of a task that may be at work on an endpoint.
type run struct {
	id        TaskID
	number    int
	at        *endpoint
	task      *task // nil: nobody claims it
	state     runState
	demand    Demand
	expects   time.Duration
	sent      time.Time // of the latest order
	began     time.Time
	confirmed time.Time // by the endpoint; zero: not yet
	tries     int       // of the Start
	seen      time.Time // claimless since
	percent   int
	listed    time.Time // when the percent was told
	listedBy  uint64    // sequence of the newest Hold whose answer lists it
	reason    string    // of the Stop
	unknown   bool      // found on the endpoint: its demand is not known
	stopped   time.Time // a Stop was answered; zero: not yet
	blamed    bool      // its endpoint was blamed for its slowness
	mute      bool      // every try of the Start stayed without an answer
}

// endpoint is an endpoint that the core holds.
type endpoint struct {
	Endpoint
	token    int64
	held     bool      // a look under the token has told what runs
	touched  bool      // its Hold may be due
	looked   time.Time // when the newest Hold that was answered was sent
	wantLook bool      // a Hold that does not wait is due
	// unresolved are starts that were given up without an answer: they may be
	// carried out yet, also by a later incarnation.
	unresolved []unresolved
	dropped    bool // no longer announced: kept until nothing runs
	runs       map[TaskID]*run
	used       Demand
	room       *roomIndex
	position   int              // in the room index
	orphans    int              // runs whose demand is not known
	lastSeen   int64            // number of the newest end that was listed
	noted      int64            // number that the newest answered Hold took note of
	unreported map[int64]TaskID // ends that must not be taken note of yet

	clock     time.Duration // of the endpoint at clockAt
	clockAt   time.Time     // zero: unknown
	leaseSent time.Time     // newest order that may have extended the lease

	sequence uint64 // of the newest Hold
	inFlight bool
	holdSent time.Time
	holdWait time.Duration // that the Hold in flight asked for
	holdSeen int64         // LastSeen of the Hold in flight
	nextHold time.Time
	idleFrom time.Time

	silent   int // calls without an answer, in a row
	pausedTo time.Time
	fences   int // refusals in a row for a higher token
	record   outlier.Record
	speed    float64 // moving average of ln(run time / expected)
	speedN   int
}

// Weights of learning an endpoint's speed.
const (
	speedGain    = 0.1
	minSpeedRuns = 3 // before a learned speed counts
	// A run that is longer by this much (a logarithm: twice as long) counts for
	// more than others.
	suddenly   = 0.7
	suddenGain = 0.6
	slowMemory = 4 * time.Second
)

func (e *endpoint) free() Demand { return e.Capacity.minus(e.used) }

// now returns the endpoint's clock, never ahead of the truth by more than the
// way of the answer that told it.
func (e *endpoint) now(now time.Time) time.Duration {
	return e.clock + now.Sub(e.clockAt)
}

func (e *endpoint) learnClock(now time.Time, clock time.Duration) {
	if clock <= 0 {
		return
	}
	e.clock = clock
	e.clockAt = now
}

// until returns the end of a lease that starts now, on the endpoint's clock;
// 0 if that clock is not known.
func (e *endpoint) until(now time.Time, lease time.Duration) time.Duration {
	if e.clockAt.IsZero() {
		return 0
	}
	return e.now(now) + lease
}

// slowness is the factor by which tasks run longer here than expected.
func (e *endpoint) slowness() float64 {
	if e.speedN < minSpeedRuns {
		return 1
	}
	return math.Exp(e.speed)
}

func (e *endpoint) learnSpeed(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(expected))
	e.speedN++
	gain := max(speedGain, 1/float64(e.speedN))
	if ratio-e.speed > suddenly {
		gain = suddenGain
		e.speedN = max(e.speedN, minSpeedRuns)
	}
	e.speed += (ratio - e.speed) * gain
}

// forgetSlowness lets what was learned of a slow endpoint fade, as it gets too
// little work to show that it has recovered.
func (e *endpoint) forgetSlowness(passed time.Duration) {
	if e.speed > suddenly/2 {
		e.speed *= 1 - float64(passed)/float64(slowMemory)
	}
}

// usable reports whether new tasks may be started.
func (e *endpoint) usable(now time.Time) bool {
	return e.held && !e.dropped && !e.Leaving && e.orphans == 0 && e.silent == 0 &&
		!now.Before(e.pausedTo) && e.record.Health() != outlier.Ejected
}

func (e *Endpoint) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

func (e *endpoint) add(r *run) {
	e.runs[r.id] = r
	e.used = e.used.plus(r.demand)
	e.room.note(e)
	if r.unknown {
		e.orphans++
	}
}

func (e *endpoint) remove(r *run) {
	delete(e.runs, r.id)
	e.used = e.used.minus(r.demand)
	e.room.note(e)
	if r.unknown {
		e.orphans--
	}
}

func (e *endpoint) note(event, reason string) Note {
	return Note{Event: event, Endpoint: e.ID, Reason: reason, Token: e.token, Runs: len(e.runs)}
}
