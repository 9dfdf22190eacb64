package leased

import (
	"hash/fnv"
	"math"
	"time"

	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/placement"
)

// EndpointID identifies an endpoint. An endpoint may keep it when it restarts.
type EndpointID string

// Endpoint describes an endpoint as announced.
type Endpoint struct {
	ID            EndpointID
	Address       string // host:port
	Service       string
	FailureDomain string
	Capacity      Demand
	Labels        []string      // including its kind and rack
	Leaving       bool          // gets no new tasks, except as in leaving.go
	Remaining     time.Duration // least time until a leaving endpoint is gone, when the record was written; 0: unknown
	Cold          time.Duration // cold start time, added to the expected run time of a task
	Born          int64         // incarnation start, in milliseconds since 1970, by the endpoint's own word once it has answered; 0: unknown
	Cell          string        // the holder of the cell holds the endpoint
}

type runState uint8

const (
	runStarting runState = iota // a Start was sent, but is not confirmed yet
	runRunning
	runStopping // a Stop was sent, but the run is not listed as ended yet
)

// run is a run of a task that may be active on an endpoint.
type run struct {
	id              TaskID
	number          int
	incarnation     int64 // of the endpoint that runs it, as Born of that
	endpoint        *endpoint
	task            *task // nil: no task claims the run
	state           runState
	demand          Demand
	expected        time.Duration
	sent            time.Time     // when the newest Start or Stop was sent
	address         string        // to which the Start was sent
	began           time.Time     // when the newest Start was sent, or the run was found
	confirmed       time.Time     // when the endpoint confirmed the run; zero: not yet
	tries           int           // how often the Start was sent
	token           int64         // of the newest Start
	unclaimedSince  time.Time     // when the run was found or revoked
	percent         int           // progress
	beganClock      time.Duration // earliest reading of the endpoint's clock that the run is known to have seen; 0: none
	age             time.Duration // when the progress was listed; of a run that was found, a lower bound
	foundPercent    int           // progress when the run was found; 0 if it was started here
	ageFound        time.Duration // when the run was found, by its progress since; 0 if unknown or started here
	listedBy        uint64        // sequence number of the newest Hold whose reply lists the run
	reason          string        // of the Stop
	demandUnknown   bool          // the run was found on the endpoint
	stopAnswered    time.Time     // when a Stop was answered; zero: not yet
	slownessCounted bool          // the slow run was counted against its endpoint
	suspect         bool          // of a task that may have crashed an endpoint
	startUnanswered bool          // no Start was answered, or an earlier copy of a refused one was not
	restarted       bool          // another incarnation answers and has not listed the run
	leaseLimit      time.Time     // of a run without a task: its lease is extended no further
}

// identity identifies the run among those of all holders.
func (r *run) identity() RunID {
	return RunID{Number: r.number, Endpoint: r.endpoint.ID, Incarnation: r.incarnation}
}

// endpoint is an endpoint that the core holds.
type endpoint struct {
	Endpoint
	token int64
	// announcedBorn is Born of the newest record. Any client of the store may have
	// written that, so it only makes the endpoint be asked.
	announcedBorn int64
	answeredAt    string    // address at which the newest Hold was answered
	lastAnswer    time.Time // when that was
	// storedStart is when the newest Start of a stored job's task was sent, and
	// storedUnanswered when the newest of those was that got no reply.
	storedStart, storedUnanswered time.Time
	held                          bool      // a Hold under the token was answered, so the active runs are known
	dirty                         bool      // a Hold may be due
	addedAt                       time.Time // when the endpoint was assigned to this core
	polledAt                      time.Time // when the newest answered Hold was sent
	// listedClock is the reading of the endpoint's clock in the newest list of
	// its runs; 0: none in this incarnation.
	listedClock time.Duration
	pollWanted  bool // a Hold with no wait is due
	// unresolvedStarts are Starts that were given up without a reply. The
	// endpoint may still execute them, even a later incarnation of it.
	unresolvedStarts []unresolvedStart
	dropped          bool // no longer announced; removed once nothing runs
	evacuated        bool // gets no new tasks, because its failure domain is evacuated
	shortLease       bool // gets no new tasks, because a run there must not be renewed
	runs             runList
	used             Demand
	freeIndex        *freeIndex
	position         int                // in the freeIndex
	unknownDemands   int                // number of runs with unknown demand
	suspects         int                // number of runs that are suspect
	lastSeen         int64              // number of the newest ended run that was listed
	acknowledged     int64              // LastSeen of the newest answered Hold
	unreported       map[int64]TaskID   // ended runs that must not be acknowledged yet
	discarded        map[int64]struct{} // ended runs that must not be acknowledged before the lease has expired
	lostRuns         []lostRun          // until it is known whether the endpoint has crashed
	lostAt           time.Time          // when the newest of them was lost

	clock                time.Duration // reading of the endpoint's clock at clockAt
	clockAt              time.Time     // zero: the clock is unknown
	clockReadingInterval time.Duration // age at which the reading is renewed while nothing runs
	leaseSent            time.Time     // when the newest request that may have extended the lease was sent
	leaseEnds            time.Time     // until when it may last, by that request and earlier ones

	sequence   uint64        // of the newest Hold
	inFlight   bool          // the newest Hold is not answered yet
	readsClock bool          // the newest Hold serves only to read the clock
	holdSent   time.Time     // when the newest Hold was sent
	holdWait   time.Duration // wait requested by the newest Hold
	holdSeen   int64         // LastSeen of the newest Hold
	nextHold   time.Time     // no Hold is sent before
	idleSince  time.Time

	holdRefused     bool      // the newest Hold was refused, so the next one extends no lease
	unanswered      int       // consecutive requests without a reply
	unansweredSince time.Time // when the first of them was counted
	tolerated       int       // how many of them are put down to chance
	pausedUntil     time.Time // no task is started before
	fencedCount     int       // consecutive refusals because of a higher token
	departure       departure
	record          outlier.Record
	logSlowness     float64 // moving average of ln(run time / expected)
	slownessRuns    int
	speed           placement.Speed // used only while speeds differ (unequal.go)
	observedJob     JobID           // whose run updated it last
}

// Parameters of the moving average of an endpoint's slowness.
const (
	slownessGain    = 0.1
	minSlownessRuns = 3 // runs before the average counts
	// A run that exceeds the average by jumpThreshold (a logarithm: twice as
	// long) has the weight jumpGain.
	jumpThreshold     = 0.7
	jumpGain          = 0.6
	slownessDecayTime = 4 * time.Second
)

func (e *endpoint) free() Demand { return e.Capacity.minus(e.used) }

const (
	// slowestClockPercent is the least speed of an endpoint's clock: it may be 2% slow.
	slowestClockPercent = 98
	// maxClockAge bounds the age of the reading of an idle endpoint's clock. A lease
	// from a reading of that age is 0.1 s shorter than it could be on a correct clock.
	maxClockAge = 5 * time.Second
	// clockReadingSpread is the time over which endpoints whose clocks were read at
	// the same time are polled again.
	clockReadingSpread = time.Second
)

// earliestClock returns a lower bound of the endpoint's clock.
func (e *endpoint) earliestClock(now time.Time) time.Duration {
	return e.clock + now.Sub(e.clockAt)*slowestClockPercent/100
}

// clockReadingDue reports whether the endpoint's clock should be read. A Hold that
// brought no reading is not repeated at once.
func (e *endpoint) clockReadingDue(now time.Time) bool {
	if e.dropped || e.clockAt.IsZero() {
		return false
	}
	return now.Sub(later(e.clockAt, e.holdSent)) >= e.clockReadingInterval
}

// clockReadingInterval returns the age at which the reading of an endpoint's clock is
// renewed. It differs between endpoints, so that they are not all polled at once.
func clockReadingInterval(id EndpointID) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(id))
	return maxClockAge - time.Duration(h.Sum32())%clockReadingSpread
}

func (e *endpoint) updateClock(now time.Time, clock time.Duration) {
	if clock <= 0 {
		return
	}
	e.clock = clock
	e.clockAt = now
}

// age returns for how long a run was active, or has been since it was found, when the
// endpoint last listed its runs. The endpoint's own clock decides, so that neither a list that was
// delayed on its way nor a holder that read it late makes the run look slow.
// While the endpoint has reported no readings, it is the time since the Start.
func (e *endpoint) age(r *run, now time.Time) time.Duration {
	if r.beganClock <= 0 || e.listedClock < r.beganClock {
		return now.Sub(r.began)
	}
	return min(e.listedClock-r.beganClock, maxRunAge)
}

// maxRunAge bounds the age of a run, so that a hundred times as much is a valid
// duration. An executor's clock may have any reading of up to years.
const maxRunAge = 30 * 24 * time.Hour

// observeClock records a reading of the endpoint's clock at which the run was
// active. Replies may overtake each other, so the earliest reading counts.
func (r *run) observeClock(clock time.Duration) {
	if clock > 0 && (r.beganClock == 0 || clock < r.beganClock) {
		r.beganClock = clock
	}
}

// leaseEnd returns the end of a lease that starts now, on the endpoint's clock,
// or 0 if that clock is unknown. A slow clock reaches it within the lease, however old
// its reading is.
func (e *endpoint) leaseEnd(now time.Time, lease time.Duration) time.Duration {
	if e.clockAt.IsZero() {
		return 0
	}
	return e.earliestClock(now) + lease
}

// slowness returns the factor by which tasks run longer here than expected.
func (e *endpoint) slowness() float64 {
	if e.slownessRuns < minSlownessRuns {
		return 1
	}
	return math.Exp(e.logSlowness)
}

func (e *endpoint) observeRunTime(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(expected))
	e.slownessRuns++
	gain := max(slownessGain, 1/float64(e.slownessRuns))
	if ratio-e.logSlowness > jumpThreshold {
		gain = jumpGain
		e.slownessRuns = max(e.slownessRuns, minSlownessRuns)
	}
	e.logSlowness += (ratio - e.logSlowness) * gain
}

// decaySlowness reduces the slowness of a slow endpoint over time, because it
// gets too few tasks to show that it has recovered.
func (e *endpoint) decaySlowness(passed time.Duration) {
	if e.logSlowness > jumpThreshold/2 {
		e.logSlowness *= 1 - float64(passed)/float64(slownessDecayTime)
	}
}

// usable reports whether new tasks may be started on the endpoint.
func (e *endpoint) usable(now time.Time) bool {
	return e.held && e.described() && !e.dropped && !e.holdRefused && !e.evacuated && !e.shortLease && !e.Leaving && e.unknownDemands == 0 && len(e.discarded) == 0 && e.unanswered <= e.tolerated &&
		!now.Before(e.pausedUntil) && e.record.Health() != outlier.Ejected
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
	e.runs = append(e.runs, r)
	e.used = e.used.plus(r.demand)
	e.freeIndex.update(e)
	if r.demandUnknown {
		e.unknownDemands++
	}
	if r.suspect {
		e.suspects++
	}
}

func (e *endpoint) remove(r *run) {
	e.runs.remove(r)
	e.used = e.used.minus(r.demand)
	e.freeIndex.update(e)
	if r.demandUnknown {
		e.unknownDemands--
	}
	if r.suspect {
		e.suspects--
	}
}

func (e *endpoint) note(event, reason string) EndpointEvent {
	return EndpointEvent{Event: event, Endpoint: e.ID, Reason: reason, Token: e.token, Runs: len(e.runs)}
}
