package leased

import "time"

// JobID is the identifier that a caller has chosen for a job.
type JobID string

// TaskID names a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
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

// Within reports whether the demand fits into what is free.
func (d Demand) Within(free Demand) bool {
	return d.MilliCores <= free.MilliCores && d.MemoryMiB <= free.MemoryMiB && d.Accelerators <= free.Accelerators
}

// Step is a group of like tasks of a job.
type Step struct {
	Tasks          int
	Demand         Demand // of one task
	Estimate       time.Duration
	After          []int  // steps that must be done first
	Label          string // the endpoint must have it; empty: any
	Rack           string // where the data lies; empty: anywhere
	MaxPerEndpoint int    // tasks of the step on one endpoint; 0: any number
}

// Job is what a caller wants to be run.
type Job struct {
	ID          JobID
	Spec        string // opaque, for the endpoints
	Service     string
	Queue       string // jobs of a queue are alike
	Priority    int    // 0 goes first among jobs that are equally urgent
	MaxAttempts int    // runs of a task that may fail
	// The answer should come within Stretch times the expected run time and
	// Slack more.
	Stretch float64
	Slack   time.Duration
	// CallerTimeout is how long the caller goes on waiting.
	CallerTimeout time.Duration
	Steps         []Step
	// Resubmitted says that another holder had the job before: runs of it may
	// be under way that this one cannot see.
	Resubmitted bool
	// Stored says that the job outlives its caller: it waits for room for as long
	// as it takes, and ends of its runs are reported before endpoints may forget
	// them.
	Stored   bool
	Waited   time.Duration  // since a kept job was accepted
	Progress []TaskProgress // of a kept job, from before
}

// TaskProgress is what is known of a task from earlier runs.
type TaskProgress struct {
	Step, Index int
	Done        bool
	Failures    int    // runs that failed
	LastRun     int    // highest number of a run
	Checkpoint  string // newest checkpoint
}

// fits reports whether an endpoint without other work can run a task of the
// step.
func (s *Step) fits(e *Endpoint) bool {
	return s.Demand.Within(e.Capacity) && e.hasLabel(s.Label)
}

// Unschedulable reports whether no endpoint of the job's service can ever run one
// of its steps. It is false while none of the service is known.
func (j *Job) Unschedulable(endpoints []Endpoint) bool {
	for s := range j.Steps {
		known, fits := false, false
		for i := range endpoints {
			if endpoints[i].Service != j.Service {
				continue
			}
			known = true
			fits = fits || j.Steps[s].fits(&endpoints[i])
		}
		if known && !fits {
			return true
		}
	}
	return false
}

// DelegatedTask is one task of a job whose queue is elsewhere.
type DelegatedTask struct {
	ID            TaskID
	Service       string
	Queue         string
	Spec          string
	Step          Step
	Run           int    // number of this run
	Checkpoint    string // checkpoint to resume from
	CallerTimeout time.Duration
	Cell          string // whose holder is asked
	// Wait says that the task's own core holds nothing any more: it waits here
	// for a place instead of coming back.
	Wait bool
	// Adopt says that an earlier run may be under way on an endpoint of the
	// cell: it is taken over, or shown to have ended, and none is started.
	Adopt bool
}

// Ticket identifies one submission. The caller of Step chooses it.
type Ticket uint64

// criticalPath returns the expected run time of a job on an idle system.
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
