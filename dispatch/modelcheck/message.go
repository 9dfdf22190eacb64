package modelcheck

import (
	"slices"

	"lovagespread.example/dispatch/ledger"
)

func (w *State) applyToMessage(a Action) {
	m := w.messages[a.Index]
	if a.Verb == Duplicate {
		w.left.Duplicates--
		m.copied = true
		w.messages = append(w.messages, m)
		return
	}
	w.messages = slices.Delete(w.messages, a.Index, a.Index+1)
	switch a.Verb {
	case Run:
		w.run(m, ledger.AttemptDone)
	case Fail:
		w.left.Failures--
		w.run(m, ledger.AttemptFailed)
	case Refuse:
		w.left.Refusals--
		w.reply(m, ledger.AttemptNotStarted)
	case Lose:
		w.left.Losses--
		w.lose(m)
	case Deliver:
		w.deliver(m)
	}
}

// run starts a task at the endpoint, which does not deduplicate.
func (w *State) run(m message, fate ledger.AttemptStatus) {
	job := &w.jobs[m.answer.job]
	job.starts[m.answer.task]++
	if fate == ledger.AttemptDone {
		job.results |= 1 << m.answer.task
	}
	w.reply(m, fate)
}

func (w *State) reply(m message, fate ledger.AttemptStatus) {
	if !slices.Contains(w.entries[m.from].running, m.answer.attempt) {
		return // the connection is gone
	}
	w.messages = append(w.messages, message{kind: replyMessage, to: m.from, answer: answer{m.answer.attempt, fate}})
}

// lose drops a message of a hand-over, which may be sent again.
func (w *State) lose(m message) {
	switch m.kind {
	case partMessage:
		w.entries[m.from].awaiting = false
	case confirmMessage:
		w.entries[m.to].awaiting = false
	}
}

// breakConnection loses the answer of an attempt. Its request may still reach
// the endpoint.
func (w *State) breakConnection(e int, broken attempt) {
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool {
		return m.kind == replyMessage && m.to == e && m.answer.attempt == broken
	})
	w.learn(e, answer{broken, ledger.AttemptUnknown})
}

func (w *State) deliver(m message) {
	to := &w.entries[m.to]
	if !to.alive {
		w.undelivered(m)
		return
	}
	switch m.kind {
	case replyMessage:
		if m.copied || slices.Contains(to.running, m.answer.attempt) {
			w.learn(m.to, m.answer)
		}
	case partMessage:
		w.acceptPart(m)
	case confirmMessage:
		w.confirm(m.to, m.ok)
	case fateMessage:
		w.learn(m.to, m.answer)
	}
}
