package modelcheck

import (
	"fmt"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

func (w *State) sayComplete(j int) {
	job := &w.jobs[j]
	job.complete = true
	if job.results != 1<<len(job.starts)-1 {
		w.violate("job %d: complete answer without the result of every task", j)
	}
}

func (w *State) violate(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *State) check() {
	for j := range w.jobs {
		w.checkStarts(j)
		w.checkOutcome(j)
	}
	for e := range w.entries {
		w.checkAuthority(incarnation(e))
	}
}

func (w *State) checkStarts(j int) {
	job := &w.jobs[j]
	for t, starts := range job.starts {
		if starts > 1 && !w.config.Jobs[j][t] {
			w.violate("job %d: non-idempotent task %d started %d times", j, t, starts)
		}
		if starts > 0 && job.notRun {
			w.violate("job %d: called not run, but task %d started", j, t)
		}
	}
}

func (w *State) checkOutcome(j int) {
	job := &w.jobs[j]
	if (job.complete && job.failed) || (job.complete && job.notRun) || (job.failed && job.notRun) {
		w.violate("job %d: two outcomes: %+v", j, *job)
	}
}

func (w *State) checkAuthority(owner jobid.Incarnation) {
	authorities := 0
	for e := range w.entries {
		if w.entries[e].alive && w.entries[e].ledger.AuthoritativeFor(owner) {
			authorities++
		}
	}
	if authorities > 1 {
		w.violate("%d entries answer for owner %s", authorities, owner)
	}
}

// checkSuccessor holds that a successor that has confirmed the last part
// answers for the former owner, unless it is gone or stops itself.
func (w *State) checkSuccessor(e int) {
	to := &w.entries[w.entries[e].successor]
	if !to.alive || to.phase == inDoubt || to.phase == given {
		return
	}
	if !to.ledger.AuthoritativeFor(incarnation(e)) {
		w.violate("entry %d has confirmed the hand-over of entry %d and does not answer for it", w.entries[e].successor, e)
	}
}

// CheckEnd checks a world in which nothing more can happen.
func (w *State) CheckEnd() {
	for e := range w.entries {
		if !w.entries[e].alive {
			continue
		}
		for j, id := range w.ids {
			if w.entries[e].ledger.State(id) == ledger.Open {
				w.violate("job %d: open at entry %d and nothing can happen any more", j, e)
			}
		}
	}
}
