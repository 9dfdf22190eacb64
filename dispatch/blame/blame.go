// Package blame decides whether a task is the cause of the crashes of the
// endpoints that ran it.
//
// An endpoint that crashes takes down every task on it, and only one of them may
// have caused the crash. A task under which an endpoint has crashed is a suspect.
// Suspects are run apart from each other and, where there is capacity, from all
// other tasks, so that a second crash tells the cause from its victims.
//
// An endpoint that never confirmed a run may have been down before the Start arrived.
// Its crash is weak evidence, and counts apart.
package blame

// Crashes under one task that prove its guilt.
const (
	// minCrashes are enough if the task was alone in one of them. Endpoints crash
	// for other reasons too, so one crash never is.
	minCrashes = 2
	// maxCrashes are always enough, confirmed or not. It bounds what a task can destroy
	// that was never alone, or that crashes its endpoints before they confirm it. With 4,
	// such a task was started a sixth time while its holder and its owner were replaced.
	maxCrashes = 3
)

// Record counts the crashes of endpoints under one task. The zero Record is that
// of a task without any.
type Record struct {
	Crashes int // endpoints that have crashed under a confirmed run of the task
	Alone   int // those of them that ran nothing else
	// Unconfirmed counts the endpoints that have crashed, before or after a Start of the
	// task arrived that they have not confirmed.
	Unconfirmed int
}

// Add counts a crash under a confirmed run. The parameter alone tells that the endpoint
// ran nothing else.
func (r *Record) Add(alone bool) {
	r.Crashes++
	if alone {
		r.Alone++
	}
}

// AddUnconfirmed counts a crash under a run that was never confirmed.
func (r *Record) AddUnconfirmed() { r.Unconfirmed++ }

// Merge raises the counts to those that another entry knows.
func (r *Record) Merge(o Record) {
	r.Crashes, r.Alone, r.Unconfirmed = max(r.Crashes, o.Crashes), max(r.Alone, o.Alone), max(r.Unconfirmed, o.Unconfirmed)
}

// Total returns the number of crashes, confirmed or not.
func (r Record) Total() int { return r.Crashes + r.Unconfirmed }

// Guilty reports whether the task is to be given up as the cause of the crashes.
func (r Record) Guilty() bool {
	return r.Total() >= maxCrashes || r.Crashes >= minCrashes && r.Alone > 0
}

// MayBeGuilty reports whether the task is guilty if the endpoints that were lost
// with it, and of which it is not known whether they have crashed, have.
func (r Record) MayBeGuilty(lost int) bool { return lost > 0 && r.Total()+lost >= minCrashes }
