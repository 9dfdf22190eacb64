package leased

import (
	"time"

	"lovagespread.example/dispatch/blame"
)

// JobID is the identifier that a caller has chosen for a job.
type JobID string

// TaskID identifies a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// RunID identifies a run of a task among the runs of all holders. Holders number
// runs independently of each other, so two runs may have the same number; one
// incarnation of an endpoint runs each number at most once.
type RunID struct {
	Number      int
	Endpoint    EndpointID // empty: not known, as in reports of earlier versions
	Incarnation int64      // start of the endpoint's incarnation, in milliseconds since 1970; 0: not known
}

// Same reports whether two identifiers stand for the same run. One without an
// endpoint stands for any run with its number.
func (r RunID) Same(o RunID) bool {
	return r == o || r.Number == o.Number && (r.Endpoint == "" || o.Endpoint == "")
}

// CountedRun is a run of a stored job that counts against its task.
type CountedRun struct {
	ID     RunID
	Failed bool      // false: its endpoint was lost
	Cause  LossCause // of the loss
}

// Demand is an amount of an endpoint's resources.
type Demand struct {
	MilliCores   int
	MemoryMiB    int
	Accelerators int
}

func (d Demand) plus(o Demand) Demand {
	return Demand{d.MilliCores + o.MilliCores, d.MemoryMiB + o.MemoryMiB, d.Accelerators + o.Accelerators}
}

func (d Demand) minus(o Demand) Demand {
	return Demand{d.MilliCores - o.MilliCores, d.MemoryMiB - o.MemoryMiB, d.Accelerators - o.Accelerators}
}

// Within reports whether the demand fits into the free resources.
func (d Demand) Within(free Demand) bool {
	return d.MilliCores <= free.MilliCores && d.MemoryMiB <= free.MemoryMiB && d.Accelerators <= free.Accelerators
}

// Step is a group of equal tasks of a job.
type Step struct {
	Tasks          int
	Demand         Demand // of one task
	Estimate       time.Duration
	After          []int  // steps that must be done first
	Label          string // required of the endpoint; empty: none
	Rack           string // location of the data; empty: anywhere
	MaxPerEndpoint int    // maximum tasks of the step on one endpoint; 0: unlimited
}

// Job is a caller's request to run tasks.
type Job struct {
	ID          JobID
	Spec        string // opaque, passed to the endpoints
	Service     string
	Queue       string // jobs of a queue have similar run times
	Priority    int    // 0 goes first among jobs that are equally urgent
	MaxAttempts int    // a task that has failed this often fails its job
	// The answer is due after Stretch times the expected run time plus Slack.
	Stretch float64
	Slack   time.Duration
	// CallerTimeout is how much longer the caller waits.
	CallerTimeout time.Duration
	Steps         []Step
	// Resubmitted reports that the job was submitted before, possibly to another
	// holder: it may have active runs that this holder cannot see.
	Resubmitted bool
	// OnlyHolder reports that the holder is the only one that had a resubmitted job
	// before, in its present incarnation. So it knows all runs of the job.
	OnlyHolder bool
	// Movable reports that the submitter sends the job to another holder if it is
	// returned with Moved. It does so once.
	Movable bool
	// Stored reports that the job outlives its caller: it waits for free
	// capacity without a deadline, and the ends of its runs are reported before
	// endpoints may forget them.
	Stored bool
	// Offer identifies the owner's offer of a stored job; newer offers have higher numbers.
	// 0: the owner is of an earlier version.
	Offer uint64
	// Waited is how long the caller has waited already: since a stored job was
	// accepted, or by earlier requests and at other holders.
	Waited   time.Duration
	Progress []TaskProgress // of a stored job, from earlier runs
}

// TaskProgress is the known state of a task from earlier runs.
type TaskProgress struct {
	Step, Index int
	Done        bool
	Failures    int          // runs that failed
	Crashes     blame.Record // of endpoints that ran the task
	Losses      int          // endpoints that were lost with the task for a reason that is not known
	LastRun     int          // highest run number
	Checkpoint  string       // newest checkpoint
	// Superseded is the number up to which runs are superseded: the task was allowed to
	// start again although they might have ended unseen, so their ends do not count.
	Superseded int
	// JobEnded reports that the job has ended: no task of it is started again.
	JobEnded bool
	// Discarded reports, in the answer to a report, that the end of the run does not count.
	Discarded bool
	// Counted lists the runs that Failures, Crashes and Losses count. It is set in
	// snapshots only, to recognize reports that are repeated.
	Counted []CountedRun
}

// fits reports whether an idle endpoint can run a task of the step.
func (s *Step) fits(e *Endpoint) bool {
	return s.Demand.Within(e.Capacity) && e.hasLabel(s.Label)
}

// Unschedulable reports whether the job has a step that no endpoint of its
// service can ever run. It is false while no endpoint of the service is known.
func (j *Job) Unschedulable(endpoints []Endpoint) bool {
	for s := range j.Steps {
		known, fits := false, false
		for i := range endpoints {
			if endpoints[i].Service != j.Service {
				continue
			}
			known = true
			if fits = j.Steps[s].fits(&endpoints[i]); fits {
				break
			}
		}
		if known && !fits {
			return true
		}
	}
	return false
}

// DelegatedTask is one task of a job that is queued at another holder.
type DelegatedTask struct {
	ID            TaskID
	Service       string
	Queue         string
	Spec          string
	Step          Step
	Run           int    // number of this run
	Superseded    int    // as in TaskProgress
	Checkpoint    string // checkpoint to resume from
	CallerTimeout time.Duration
	// Origin is the incarnation of the entry that waits for the job, if that is not the
	// delegator or this entry: 0 then. OriginAge is how long before CallerHeardAt of the
	// delegation the delegator last heard it.
	Origin    uint64
	OriginAge time.Duration
	// OriginCall is the call by which the origin has submitted the job to the delegator;
	// zero: not known. The origin's heartbeats name it once it is withdrawn: to a delegate
	// that hears both, they are contact for this task only as long as they do not.
	OriginCall CallID
	Cell       string // to whose holder the task is delegated
	// Wait reports that the delegator holds no cell any more: the task waits
	// here for a free endpoint instead of being returned.
	Wait    bool
	Suspect bool // an endpoint was lost, or has crashed, under an earlier run
	// Adopt reports that an earlier run may be active on an endpoint of the
	// cell. That run is adopted or shown to have ended; none is started.
	Adopt bool
	// SearchedOn is the endpoint of that run; empty: not known. Only this endpoint's list
	// shows that the run has ended.
	SearchedOn EndpointID
}

// Ticket identifies one submission. The caller of Step chooses it.
type Ticket uint64

// criticalPath returns the expected run time of a job's steps on an idle system.
func criticalPath(steps []Step, expected func(time.Duration) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		var begin time.Duration
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + expected(s.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}
