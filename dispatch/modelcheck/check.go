package modelcheck

import (
	"fmt"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

func (s *State) reportComplete(j int) {
	job := &s.jobs[j]
	job.reportedComplete = true
	if job.results != 1<<len(job.starts)-1 {
		s.violate("job %d: complete answer without the result of every task", j)
	}
}

func (s *State) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *State) check() {
	for j := range s.jobs {
		s.checkStarts(j)
		s.checkOutcome(j)
	}
	for e := range s.entries {
		s.checkAuthority(incarnation(e))
	}
}

func (s *State) checkStarts(j int) {
	job := &s.jobs[j]
	for t, starts := range job.starts {
		if starts > 1 && !s.config.Jobs[j][t] {
			s.violate("job %d: non-idempotent task %d started %d times", j, t, starts)
		}
		if starts > 0 && job.reportedNotRun {
			s.violate("job %d: reported as not run, but task %d started", j, t)
		}
	}
}

func (s *State) checkOutcome(j int) {
	job := &s.jobs[j]
	if (job.reportedComplete && job.reportedFailed) || (job.reportedComplete && job.reportedNotRun) || (job.reportedFailed && job.reportedNotRun) {
		s.violate("job %d: two outcomes: %+v", j, *job)
	}
}

func (s *State) checkAuthority(owner jobid.Incarnation) {
	authorities := 0
	for e := range s.entries {
		if s.entries[e].alive && s.entries[e].ledger.AuthoritativeFor(owner) {
			authorities++
		}
	}
	if authorities > 1 {
		s.violate("%d entries are authoritative for owner %s", authorities, owner)
	}
}

// checkSuccessor checks that a successor that has confirmed the last part is
// authoritative for the former owner, unless the successor is gone or has itself
// sent the last part of its own handover.
func (s *State) checkSuccessor(e int) {
	to := &s.entries[s.entries[e].successor]
	if !to.alive || to.phase == inDoubt || to.phase == handedOver {
		return
	}
	if !to.ledger.AuthoritativeFor(incarnation(e)) {
		s.violate("entry %d has confirmed the handover of entry %d but is not authoritative for it", s.entries[e].successor, e)
	}
}

// CheckTerminal checks a terminal state, in which no action is possible.
func (s *State) CheckTerminal() {
	for e := range s.entries {
		if !s.entries[e].alive {
			continue
		}
		for j, id := range s.ids {
			if s.entries[e].ledger.State(id) == ledger.Open {
				s.violate("job %d: open at entry %d in a terminal state", j, e)
			}
		}
	}
}
