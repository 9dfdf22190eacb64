package modelcheck

import "lovagespread.example/dispatch/ledger"

func (s *State) stop(e, successor int) {
	entry := &s.entries[e]
	if !entry.ledger.BeginHandover(incarnation(successor)) {
		return
	}
	entry.phase = sending
	entry.successor = successor
	entry.partsSent = 0
	entry.currentPart = nil
}

// send sends the next part of a handover, or the current one again.
func (s *State) send(e int) {
	entry := &s.entries[e]
	first := entry.currentPart == nil
	if first {
		s.nextPart(entry)
	}
	if s.unreachable(e, entry.successor) {
		s.handleDialFailure(e, first)
		return
	}
	entry.partInFlight = true
	s.messages = append(s.messages, message{kind: partMessage, from: e, to: entry.successor, part: entry.currentPart})
}

func (s *State) nextPart(entry *entry) {
	if entry.partsSent < s.config.MaxParts && entry.ledger.Pending() > 0 {
		part, _ := entry.ledger.NextPart(ledger.PartLimit{Records: s.config.MaxPartRecords})
		entry.partsSent++
		entry.currentPart = &part
		return
	}
	last, _ := entry.ledger.Relinquish()
	entry.phase = inDoubt
	entry.currentPart = &last
}

// handleDialFailure handles a failed dial, after which no byte of the part was
// written. This proves that the part was not accepted only if it was not sent
// before.
func (s *State) handleDialFailure(e int, first bool) {
	if s.entries[e].phase == sending || first {
		s.resumeServing(e)
	}
}

// resumeServing cancels a handover.
func (s *State) resumeServing(e int) {
	entry := &s.entries[e]
	entry.ledger.Reclaim()
	entry.phase = serving
	entry.currentPart = nil
	entry.partInFlight = false
	deferred := entry.deferred
	entry.deferred = nil
	for _, u := range deferred {
		s.handleStatus(e, u)
	}
	s.endDecidedJobs(e)
}

// handleUndelivered handles a message to a process that is gone. A handover
// whose last part was not sent yet is cancelled. Otherwise it remains in doubt.
func (s *State) handleUndelivered(m message) {
	if m.kind != partMessage || m.duplicate || !s.entries[m.from].alive {
		return
	}
	if s.entries[m.from].phase == sending {
		s.resumeServing(m.from)
		return
	}
	s.entries[m.from].partInFlight = false
}

func (s *State) acceptPart(m message) {
	to := &s.entries[m.to]
	accepted, err := to.ledger.Accept(*m.part)
	if accepted {
		s.endDecidedJobs(m.to)
	}
	if m.duplicate || !s.entries[m.from].alive {
		return
	}
	s.messages = append(s.messages, message{kind: confirmMessage, from: m.to, to: m.from, ok: err == nil})
}

func (s *State) handleConfirmation(e int, ok bool) {
	entry := &s.entries[e]
	if !ok {
		s.resumeServing(e)
		return
	}
	entry.partInFlight = false
	entry.currentPart = nil
	if entry.phase != inDoubt {
		return
	}
	entry.phase = handedOver
	s.checkSuccessor(e)
	deferred := entry.deferred
	entry.deferred = nil
	for _, u := range deferred {
		s.handleStatus(e, u)
	}
}

// resolveAsUnknown resolves the attempts of another entry as unknown and ends
// the jobs that are decided by this.
func (s *State) resolveAsUnknown(e, other int) {
	resolved := s.entries[e].ledger.ResolveAsUnknown(incarnation(other))
	for range resolved {
		s.endDecidedJobs(e)
	}
}
