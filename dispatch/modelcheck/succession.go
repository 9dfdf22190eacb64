package modelcheck

import "lovagespread.example/dispatch/ledger"

func (w *State) stop(e, successor int) {
	entry := &w.entries[e]
	if !entry.ledger.BeginHandover(incarnation(successor)) {
		return
	}
	entry.phase = exporting
	entry.successor = successor
	entry.parts = 0
	entry.sent = nil
}

// send sends the next part of a hand-over, or the current one again.
func (w *State) send(e int) {
	entry := &w.entries[e]
	first := entry.sent == nil
	if first {
		w.nextPart(entry)
	}
	if w.separated(e, entry.successor) {
		w.unsent(e, first)
		return
	}
	entry.awaiting = true
	w.messages = append(w.messages, message{kind: partMessage, from: e, to: entry.successor, part: entry.sent})
}

func (w *State) nextPart(entry *entry) {
	if entry.parts < w.config.Parts && entry.ledger.Pending() > 0 {
		part, _ := entry.ledger.NextPart(ledger.PartLimit{Records: w.config.PartRecords})
		entry.parts++
		entry.sent = &part
		return
	}
	last, _ := entry.ledger.Relinquish()
	entry.phase = inDoubt
	entry.sent = &last
}

// unsent handles a dial that failed: nothing of the part was written. That is
// a proof only if the part was not sent before.
func (w *State) unsent(e int, first bool) {
	if w.entries[e].phase == exporting || first {
		w.serveOn(e)
	}
}

// serveOn takes a hand-over back.
func (w *State) serveOn(e int) {
	entry := &w.entries[e]
	entry.ledger.Reclaim()
	entry.phase = serving
	entry.sent = nil
	entry.awaiting = false
	held := entry.held
	entry.held = nil
	for _, a := range held {
		w.learn(e, a)
	}
	w.settleAll(e)
}

// undelivered handles a message to a process that is gone. A hand-over that
// was not given yet is taken back; otherwise the doubt remains.
func (w *State) undelivered(m message) {
	if m.kind != partMessage || m.copied || !w.entries[m.from].alive {
		return
	}
	if w.entries[m.from].phase == exporting {
		w.serveOn(m.from)
		return
	}
	w.entries[m.from].awaiting = false
}

func (w *State) acceptPart(m message) {
	to := &w.entries[m.to]
	accepted, err := to.ledger.Accept(*m.part)
	if accepted {
		w.settleAll(m.to)
	}
	if m.copied || !w.entries[m.from].alive {
		return
	}
	w.messages = append(w.messages, message{kind: confirmMessage, from: m.to, to: m.from, ok: err == nil})
}

func (w *State) confirm(e int, ok bool) {
	entry := &w.entries[e]
	if !ok {
		w.serveOn(e)
		return
	}
	entry.awaiting = false
	entry.sent = nil
	if entry.phase != inDoubt {
		return
	}
	entry.phase = given
	w.checkSuccessor(e)
	held := entry.held
	entry.held = nil
	for _, a := range held {
		w.learn(e, a)
	}
}

// abandon gives up the attempts of another entry. Ledger and callers learn
// what follows.
func (w *State) abandon(e, other int) {
	resolved := w.entries[e].ledger.ResolveAsUnknown(incarnation(other))
	for range resolved {
		w.settleAll(e)
	}
}
