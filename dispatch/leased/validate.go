package leased

import (
	"fmt"
	"time"
)

// Limits of a job that another process has sent.
const (
	maxSteps       = 100
	maxTasksPerJob = 10_000
	// MaxJobTime bounds each time of a job, so that sums of a hundred steps do not overflow.
	MaxJobTime = 30 * 24 * time.Hour
	// MaxDemand bounds each amount that a task requests, so that sums over the tasks of
	// thousands of jobs do not overflow. No endpoint has as much.
	MaxDemand  = 1 << 40
	maxStretch = 1e6
)

// InvalidJobError reports a job that no correct process sends.
type InvalidJobError struct {
	ID     JobID
	Reason string
}

func (e *InvalidJobError) Error() string {
	return fmt.Sprintf("job %q is not valid: %s; check that the sender runs a supported version", e.ID, e.Reason)
}

// Validate returns an *InvalidJobError if a job cannot be submitted. A Core
// relies on it for jobs that come from outside the process.
func (j *Job) Validate() error {
	if reason := j.invalidReason(); reason != "" {
		return &InvalidJobError{ID: j.ID, Reason: reason}
	}
	return nil
}

func (j *Job) invalidReason() string {
	if j.ID == "" {
		return "it has no ID"
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Sprintf("it has %d steps, not 1 to %d", len(j.Steps), maxSteps)
	}
	if !(j.Stretch >= 0 && j.Stretch <= maxStretch) { // also excludes NaN
		return fmt.Sprintf("its stretch is %v", j.Stretch)
	}
	if j.CallerTimeout < 0 || j.Slack < 0 || j.Waited < 0 {
		return "a time is negative"
	}
	if j.CallerTimeout > MaxJobTime || j.Slack > MaxJobTime || j.Waited > MaxJobTime {
		return fmt.Sprintf("a time is longer than %v", MaxJobTime)
	}
	tasks := 0
	for i := range j.Steps {
		if reason := j.Steps[i].invalidReason(i); reason != "" {
			return fmt.Sprintf("step %d: %s", i, reason)
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks > maxTasksPerJob {
		return fmt.Sprintf("it has over %d tasks", maxTasksPerJob)
	}
	return ""
}

func (s *Step) invalidReason(index int) string {
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasksPerJob:
		return fmt.Sprintf("%d tasks", s.Tasks)
	case s.Demand.MilliCores < 0 || s.Demand.MemoryMiB < 0 || s.Demand.Accelerators < 0 || s.MaxPerEndpoint < 0:
		return "a demand is negative"
	case s.Demand.MilliCores > MaxDemand || s.Demand.MemoryMiB > MaxDemand || s.Demand.Accelerators > MaxDemand:
		return fmt.Sprintf("a demand is above %d", MaxDemand)
	case s.Estimate > MaxJobTime:
		return fmt.Sprintf("its estimate is longer than %v", MaxJobTime)
	case s.Estimate < 0:
		return "its estimate is negative"
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Sprintf("it depends on step %d, which is not an earlier one", earlier)
		}
	}
	return ""
}

// Validate returns an *InvalidJobError if a delegated task cannot be submitted.
func (d *DelegatedTask) Validate() error {
	alone := Job{ID: d.ID.Job, Steps: []Step{d.Step}, CallerTimeout: d.CallerTimeout}
	return alone.Validate()
}

// maxSpan is longer than any time that matters, and far from overflow when it is added
// to a time of day.
const maxSpan = 100 * 365 * 24 * time.Hour

// span converts a number of nanoseconds. The conversion of a number that does not fit a
// time.Duration differs between processors.
func span(nanoseconds float64) time.Duration {
	if !(nanoseconds < float64(maxSpan)) { // also NaN
		return maxSpan
	}
	return time.Duration(max(nanoseconds, -float64(maxSpan)))
}
