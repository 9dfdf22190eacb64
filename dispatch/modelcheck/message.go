package modelcheck

import (
	"slices"

	"lovagespread.example/dispatch/ledger"
)

func (s *State) applyToMessage(a Action) {
	m := s.messages[a.Index]
	if a.Verb == Duplicate {
		s.remaining.Duplicates--
		m.duplicate = true
		s.messages = append(s.messages, m)
		return
	}
	s.messages = slices.Delete(s.messages, a.Index, a.Index+1)
	switch a.Verb {
	case Run:
		s.run(m, ledger.AttemptDone)
	case Fail:
		s.remaining.Failures--
		s.run(m, ledger.AttemptFailed)
	case Refuse:
		s.remaining.Refusals--
		s.reply(m, ledger.AttemptNotStarted)
	case Lose:
		s.remaining.Losses--
		s.lose(m)
	case Deliver:
		s.deliver(m)
	}
}

// run starts a task at the endpoint, which does not deduplicate requests.
func (s *State) run(m message, status ledger.AttemptStatus) {
	job := &s.jobs[m.update.job]
	job.starts[m.update.task]++
	if status == ledger.AttemptDone {
		job.results |= 1 << m.update.task
	}
	s.reply(m, status)
}

func (s *State) reply(m message, status ledger.AttemptStatus) {
	if !slices.Contains(s.entries[m.from].inFlight, m.update.attempt) {
		return // the connection is gone
	}
	s.messages = append(s.messages, message{kind: replyMessage, to: m.from, update: statusUpdate{m.update.attempt, status}})
}

// lose drops a message of a handover. The part may be sent again.
func (s *State) lose(m message) {
	switch m.kind {
	case partMessage:
		s.entries[m.from].partInFlight = false
	case confirmMessage:
		s.entries[m.to].partInFlight = false
	}
}

// breakConnection drops the reply to an attempt. The request may still reach
// the endpoint.
func (s *State) breakConnection(e int, broken attempt) {
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		return m.kind == replyMessage && m.to == e && m.update.attempt == broken
	})
	s.handleStatus(e, statusUpdate{broken, ledger.AttemptUnknown})
}

func (s *State) deliver(m message) {
	to := &s.entries[m.to]
	if !to.alive {
		s.handleUndelivered(m)
		return
	}
	switch m.kind {
	case replyMessage:
		if m.duplicate || slices.Contains(to.inFlight, m.update.attempt) {
			s.handleStatus(m.to, m.update)
		}
	case partMessage:
		s.acceptPart(m)
	case confirmMessage:
		s.handleConfirmation(m.to, m.ok)
	case statusMessage:
		s.handleStatus(m.to, m.update)
	}
}
