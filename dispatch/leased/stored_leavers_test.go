package leased_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

var (
	leaverSeeds = flag.Int("leaver-seeds", 40, "number of seeds of TestJobsOfCallersWhoLeaveAndCancel")
	leaverFirst = flag.Int("leaver-first", 0, "first seed of TestJobsOfCallersWhoLeaveAndCancel")
)

// submissionLimit is how long an entry goes on sending a submission while the shard has no
// owner.
const submissionLimit = 1500 * time.Millisecond

// addLeaver adds a job whose caller leaves, mostly while the job is being stored, and cancels
// it. One or two entries have received a submission by then, and may deliver it later.
func (w *storedWorld) addLeaver(at time.Duration) {
	id := leased.JobID(fmt.Sprintf("left%04d", len(w.jobs)))
	runTime := time.Duration(60+w.rng.IntN(600)) * time.Millisecond
	j := &worldJob{Job: storedJob(id, 1+w.rng.IntN(3), runTime), runTime: runTime}
	for range 3 { // a chain that lasts for longer than a cancellation may take
		next := j.Steps[0]
		next.After = []int{len(j.Steps) - 1}
		j.Steps = append(j.Steps, next)
	}
	w.jobs[id] = j
	leaves := at + time.Duration(w.rng.IntN(30))*time.Millisecond
	if w.rng.IntN(4) == 0 {
		leaves = at + time.Duration(w.rng.IntN(1500))*time.Millisecond
	}
	w.at(at+w.lateness(), func() { w.deliverSubmission(j, w.now+submissionLimit) })
	if w.rng.IntN(3) == 0 {
		w.at(at+w.lateness(), func() { w.deliverSubmission(j, w.now+submissionLimit) })
	}
	w.at(leaves, func() { w.cancelJob(j) })
}

// lateness returns how long a submission is on its way to the owner.
func (w *storedWorld) lateness() time.Duration {
	switch w.rng.IntN(8) {
	case 0:
		return time.Duration(w.rng.IntN(5000)) * time.Millisecond // held up in a cut
	case 1, 2:
		return time.Duration(w.rng.IntN(60)) * time.Millisecond
	}
	return networkDelay
}

// deliverSubmission delivers a submission to the owner, or to the next one if there is none
// yet.
func (w *storedWorld) deliverSubmission(j *worldJob, until time.Duration) {
	if w.owner.shard != nil {
		w.submit(j)
		return
	}
	if w.now < until {
		w.after(40*time.Millisecond, func() { w.deliverSubmission(j, until) })
	}
}

// addJobAndLeaver adds a job, and for every second one another one whose caller leaves.
func (w *storedWorld) addJobAndLeaver(at time.Duration) {
	w.addJob(at)
	if w.rng.IntN(2) == 0 {
		w.addLeaver(at + time.Duration(w.rng.IntN(90))*time.Millisecond)
	}
}

// Guards against a job that runs although its caller was told, on cancelling it, that there is
// no such job: its submission waits for the log, is in an append, is on its way to the owner,
// was sent twice, or is delivered to the next owner.
func TestJobsOfCallersWhoLeaveAndCancel(t *testing.T) {
	for seed := uint64(*leaverFirst); seed < uint64(*leaverFirst+*leaverSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, f := range playStoredWorld(t, seed, (*storedWorld).addJobAndLeaver) {
				t.Error(f)
			}
		})
	}
}
