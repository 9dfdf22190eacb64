package modelcheck

import (
	"slices"

	"lovagespread.example/dispatch/ledger"
)

func (s *State) apply(a Action) {
	switch a.Verb {
	case Submit:
		s.submit(a.Entry, a.Job)
	case Reject:
		s.remaining.Rejections--
		s.reject(a.Entry, a.Job)
	case Cancel:
		s.remaining.Cancels--
		s.entries[a.Entry].ledger.Cancel(s.ids[a.Job])
		s.endIfDecided(a.Entry, a.Job)
	case Start:
		s.start(a.Entry, a.Job, a.Task)
	case Write:
		s.write(a.Entry, a.Index)
	case Pause:
		s.remaining.Pauses--
		s.pause(a.Entry)
	case BreakConnection:
		s.remaining.Losses--
		s.breakConnection(a.Entry, s.entries[a.Entry].inFlight[a.Index])
	case Crash:
		s.remaining.Crashes--
		s.terminate(a.Entry)
	case Partition:
		s.remaining.Partitions--
		s.partition = partition{active: true, entry: a.Entry, withEndpoint: a.Index == 1}
	case Heal:
		s.partition = partition{}
	case Expire:
		s.remaining.Expiries--
		s.expire()
	case Stop:
		s.remaining.Stops--
		s.stop(a.Entry, a.Index)
	case Send:
		s.send(a.Entry)
	case Exit:
		s.terminate(a.Entry)
	case ResolveAsUnknown:
		s.resolveAsUnknown(a.Entry, a.Index)
	default:
		s.applyToMessage(a)
	}
	s.check()
}

func (s *State) submit(e, j int) {
	if s.entries[e].ledger.Open(s.ids[j], s.config.Jobs[j]) {
		s.endIfDecided(e, j)
	}
}

func (s *State) reject(e, j int) {
	if s.entries[e].ledger.Close(s.ids[j]) {
		s.jobs[j].reportedNotRun = true
	}
}

func (s *State) start(e, j, t int) {
	number, ok := s.entries[e].ledger.Start(s.ids[j], t)
	if !ok {
		return
	}
	entry := &s.entries[e]
	entry.unwritten = append(entry.unwritten, unwritten{attempt: attempt{j, t, number}})
}

// write checks the lease right before it sends the request.
func (s *State) write(e, i int) {
	entry := &s.entries[e]
	next := entry.unwritten[i]
	entry.unwritten = slices.Delete(entry.unwritten, i, i+1)
	if next.leaseExpired || s.endpointUnreachable(e) {
		s.handleStatus(e, statusUpdate{next.attempt, ledger.AttemptNotStarted})
		return
	}
	entry.inFlight = append(entry.inFlight, next.attempt)
	s.messages = append(s.messages, message{kind: requestMessage, from: e, update: statusUpdate{attempt: next.attempt}})
}

func (s *State) pause(e int) {
	for i := range s.entries[e].unwritten {
		s.entries[e].unwritten[i].leaseExpired = true
	}
}

// terminate ends a process and closes its connections.
func (s *State) terminate(e int) {
	s.entries[e] = entry{}
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		return m.to == e && (m.kind == replyMessage || m.kind == confirmMessage)
	})
}

func (s *State) expire() {
	s.now = s.now.Add(lifetime + ledger.ClockMargin + lifetime)
	for e := range s.entries {
		if s.entries[e].alive {
			s.entries[e].ledger.Expire(s.now)
		}
	}
}

// handleStatus records the status of an attempt in the ledger, forwards it to
// the successor, or defers it while the last part is in doubt.
func (s *State) handleStatus(e int, u statusUpdate) {
	entry := &s.entries[e]
	entry.inFlight = slices.DeleteFunc(entry.inFlight, func(r attempt) bool { return r == u.attempt })
	switch entry.phase {
	case inDoubt:
		entry.deferred = append(entry.deferred, u)
	case handedOver:
		s.messages = append(s.messages, message{kind: statusMessage, from: e, to: entry.successor, update: u})
	default:
		entry.ledger.Resolve(s.ids[u.job], u.task, u.number, u.status)
		s.endIfDecided(e, u.job)
	}
}

// endIfDecided ends a job whose outcome is known.
func (s *State) endIfDecided(e, j int) {
	entry := &s.entries[e]
	record, open := entry.ledger.Job(s.ids[j])
	if !open {
		return
	}
	switch s.outcome(record) {
	case outcomeComplete:
		s.reportComplete(j)
		entry.ledger.End(s.ids[j])
	case outcomeFailed:
		if entry.ledger.Close(s.ids[j]) {
			s.jobs[j].reportedNotRun = true
			return
		}
		s.jobs[j].reportedFailed = true
		entry.ledger.End(s.ids[j])
	}
}

type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeComplete
	outcomeFailed
)

func (s *State) outcome(record ledger.JobRecord) outcome {
	done, started := 0, 0
	for _, t := range record.Tasks {
		switch {
		case t.State == ledger.Failed, t.State == ledger.Lost:
			return outcomeFailed
		case t.State == ledger.Waiting && t.LastAttempt >= s.config.MaxAttempts:
			return outcomeFailed
		case t.State == ledger.Done:
			done++
		case t.State == ledger.Started:
			started++
		}
	}
	if done == len(record.Tasks) {
		return outcomeComplete
	}
	if record.Cancelled && started == 0 {
		return outcomeFailed
	}
	return outcomeNone
}

func (s *State) endDecidedJobs(e int) {
	for j := range s.ids {
		s.endIfDecided(e, j)
	}
}
