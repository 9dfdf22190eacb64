// Package blame decides whether a task is the cause of the crashes of the
// endpoints that ran it.
//
// An endpoint that crashes takes down every task on it, and only one of them may
// have caused the crash. A task under which an endpoint has crashed is a suspect.
// Suspects are run apart from each other and, where there is capacity, from all
// other tasks, so that a second crash tells the cause from its victims.
package blame

// Crashes under one task that prove its guilt.
const (
	// minCrashes are enough if the task was alone in one of them. Endpoints crash
	// for other reasons too, so one crash never is.
	minCrashes = 2
	// maxCrashes are always enough. It bounds what a task can destroy that was
	// never alone.
	maxCrashes = 3
)

// Record counts the crashes of endpoints under one task. The zero Record is that
// of a task without any.
type Record struct {
	Crashes int // endpoints that have crashed while they ran the task
	Alone   int // those of them that ran nothing else
}

// Add counts a crash. The parameter alone tells that the endpoint ran nothing
// else.
func (r *Record) Add(alone bool) {
	r.Crashes++
	if alone {
		r.Alone++
	}
}

// Guilty reports whether the task is to be given up as the cause of the crashes.
func (r Record) Guilty() bool {
	return r.Crashes >= maxCrashes || r.Crashes >= minCrashes && r.Alone > 0
}

// MayBeGuilty reports whether the task is guilty if the endpoints that were lost
// with it, and of which it is not known whether they have crashed, have.
func (r Record) MayBeGuilty(lost int) bool { return lost > 0 && r.Crashes+lost >= minCrashes }
