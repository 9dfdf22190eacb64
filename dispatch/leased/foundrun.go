package leased

import "time"

// minObservedPercent is the progress that must be observed of a run that was found
// before its run time is projected. Progress is listed in whole percents, so below it
// the projection is off by over 10%.
const minObservedPercent = 10

// observed returns the progress that a run has made since it was started here or found.
func (r *run) observed() int { return r.percent - r.foundPercent }

// observeProgress records the listed progress of a run, and its age. How long a run that
// was found had been active before is not listed, and is projected from its progress
// since. The projection assumes a whole percent more than listed, as much as rounding
// may hide, so that it never makes a run look slow.
func (c *Core) observeProgress(e *endpoint, r *run, percent int) {
	r.percent = percent
	r.age = e.age(r, c.now)
	r.ageFound = 0
	if r.foundPercent > 0 && r.observed() >= minObservedPercent {
		r.ageFound = r.age * time.Duration(r.foundPercent) / time.Duration(r.observed()+1)
		r.age += r.ageFound
	}
}

// runTime returns how long a run took that has just ended, or 0 if it was found and too
// little of its progress was observed.
func (e *endpoint) runTime(r *run, now time.Time) time.Duration {
	if r.foundPercent > 0 && r.observed() < minProjectedPercent {
		return 0
	}
	return e.age(r, now) + r.ageFound
}

// startIfTaking returns when a run began if its whole run time is as given.
func (r *run) startIfTaking(whole time.Duration) time.Time {
	return r.began.Add(-whole * time.Duration(r.foundPercent) / 100)
}
