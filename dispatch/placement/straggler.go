package placement

import "time"

const (
	// minPercent is the progress from which on a run time is projected. Progress is
	// listed in whole percents, so below it the projection is off by over 10%.
	minPercent = 5
	// stragglerFactor is how much longer than its siblings a task must take to count
	// as a straggler.
	stragglerFactor = 1.5
	// A run is moved only if that saves minSaving of the remaining time, because its
	// work so far is lost, and minSavedTime for the uncertainty of its start.
	minSaving    = 0.15
	minSavedTime = 30 * time.Millisecond
)

// Run describes a run that may be a straggler.
type Run struct {
	Age      time.Duration
	Percent  int           // progress
	Speed    float64       // of its endpoint
	Siblings time.Duration // nominal run time of the other tasks of its step; 0: none is known
	Expected time.Duration // nominal run time expected before it began
	Due      time.Duration // from now until the job's answer is due
}

// Projected returns the expected run time of the whole run on its endpoint, from its
// progress.
func (r *Run) Projected() (time.Duration, bool) {
	if r.Percent < minPercent || r.Percent > 100 || r.Age <= 0 {
		return 0, false
	}
	// Progress is rounded down, so it is half a percent higher on average.
	return time.Duration(float64(r.Age) * 100 / (float64(r.Percent) + 0.5)), true
}

// Work returns the run's nominal run time, from its progress.
func (r *Run) Work() (time.Duration, bool) {
	whole, known := r.Projected()
	if !known || !valid(r.Speed) {
		return 0, false
	}
	return time.Duration(float64(whole) * r.Speed), true
}

// Straggles reports whether the run takes much longer than its siblings, or than
// expected if it has none.
func (r *Run) Straggles() bool {
	work, known := r.Work()
	reference := r.Siblings
	if reference <= 0 {
		reference = r.Expected
	}
	return known && reference > 0 && float64(work) > stragglerFactor*float64(reference)
}

// Move reports whether a run should be started again on an endpoint of the given
// speed, where the start costs extra: it straggles or is late, and its whole work
// there ends clearly before the rest here. A long task on a fast endpoint takes as
// long elsewhere, so it is not moved.
func (r *Run) Move(speed float64, extra time.Duration) bool {
	work, known := r.Work()
	if !known || !valid(speed) {
		return false
	}
	whole, _ := r.Projected()
	rest := whole - r.Age
	if !r.Straggles() && rest <= r.Due {
		return false
	}
	there := extra + time.Duration(float64(work)/speed)
	saved := rest - there
	return saved >= minSavedTime && float64(saved) >= minSaving*float64(rest)
}
