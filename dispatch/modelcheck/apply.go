package modelcheck

import (
	"slices"

	"lovagespread.example/dispatch/ledger"
)

func (w *State) apply(a Action) {
	switch a.Verb {
	case Submit:
		w.submit(a.Entry, a.Job)
	case Reject:
		w.left.Rejections--
		w.reject(a.Entry, a.Job)
	case Cancel:
		w.left.Cancels--
		w.entries[a.Entry].ledger.Cancel(w.ids[a.Job])
		w.settle(a.Entry, a.Job)
	case Start:
		w.start(a.Entry, a.Job, a.Task)
	case Write:
		w.write(a.Entry, a.Index)
	case Pause:
		w.left.Pauses--
		w.pause(a.Entry)
	case BreakConnection:
		w.left.Losses--
		w.breakConnection(a.Entry, w.entries[a.Entry].running[a.Index])
	case Crash:
		w.left.Crashes--
		w.remove(a.Entry)
	case Partition:
		w.left.Partitions--
		w.cut = cut{on: true, entry: a.Entry, withEndpoint: a.Index == 1}
	case Heal:
		w.cut = cut{}
	case Expire:
		w.left.Expiries--
		w.expire()
	case Stop:
		w.left.Stops--
		w.stop(a.Entry, a.Index)
	case Send:
		w.send(a.Entry)
	case Exit:
		w.remove(a.Entry)
	case Abandon:
		w.abandon(a.Entry, a.Index)
	default:
		w.applyToMessage(a)
	}
	w.check()
}

func (w *State) submit(e, j int) {
	if w.entries[e].ledger.Open(w.ids[j], w.config.Jobs[j]) {
		w.settle(e, j)
	}
}

func (w *State) reject(e, j int) {
	if w.entries[e].ledger.Close(w.ids[j]) {
		w.jobs[j].notRun = true
	}
}

func (w *State) start(e, j, t int) {
	number, ok := w.entries[e].ledger.Start(w.ids[j], t)
	if !ok {
		return
	}
	entry := &w.entries[e]
	entry.unwritten = append(entry.unwritten, unwritten{attempt: attempt{j, t, number}})
}

// write checks the lease right before it sends.
func (w *State) write(e, i int) {
	entry := &w.entries[e]
	next := entry.unwritten[i]
	entry.unwritten = slices.Delete(entry.unwritten, i, i+1)
	if next.lapsed || w.endpointSeparated(e) {
		w.learn(e, answer{next.attempt, ledger.AttemptNotStarted})
		return
	}
	entry.running = append(entry.running, next.attempt)
	w.messages = append(w.messages, message{kind: requestMessage, from: e, answer: answer{attempt: next.attempt}})
}

func (w *State) pause(e int) {
	for i := range w.entries[e].unwritten {
		w.entries[e].unwritten[i].lapsed = true
	}
}

// remove ends a process and the connections that it has open.
func (w *State) remove(e int) {
	w.entries[e] = entry{}
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool {
		return m.to == e && (m.kind == replyMessage || m.kind == confirmMessage)
	})
}

func (w *State) expire() {
	w.now = w.now.Add(lifetime + ledger.ClockMargin + lifetime)
	for e := range w.entries {
		if w.entries[e].alive {
			w.entries[e].ledger.Expire(w.now)
		}
	}
}

// learn takes the fate of an attempt to where it counts.
func (w *State) learn(e int, a answer) {
	entry := &w.entries[e]
	entry.running = slices.DeleteFunc(entry.running, func(r attempt) bool { return r == a.attempt })
	switch entry.phase {
	case inDoubt:
		entry.held = append(entry.held, a)
	case given:
		w.messages = append(w.messages, message{kind: fateMessage, from: e, to: entry.successor, answer: a})
	default:
		entry.ledger.Resolve(w.ids[a.job], a.task, a.number, a.fate)
		w.settle(e, a.job)
	}
}

// settle ends a job whose outcome is known.
func (w *State) settle(e, j int) {
	entry := &w.entries[e]
	record, open := entry.ledger.Job(w.ids[j])
	if !open {
		return
	}
	switch w.outcome(record) {
	case outcomeComplete:
		w.sayComplete(j)
		entry.ledger.End(w.ids[j])
	case outcomeFailed:
		if entry.ledger.Close(w.ids[j]) {
			w.jobs[j].notRun = true
			return
		}
		w.jobs[j].failed = true
		entry.ledger.End(w.ids[j])
	}
}

type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeComplete
	outcomeFailed
)

func (w *State) outcome(record ledger.JobRecord) outcome {
	done, open := 0, 0
	for _, t := range record.Tasks {
		switch {
		case t.State == ledger.Failed, t.State == ledger.Lost:
			return outcomeFailed
		case t.State == ledger.Waiting && t.LastAttempt >= w.config.MaxAttempts:
			return outcomeFailed
		case t.State == ledger.Done:
			done++
		case t.State == ledger.Started:
			open++
		}
	}
	if done == len(record.Tasks) {
		return outcomeComplete
	}
	if record.Cancelled && open == 0 {
		return outcomeFailed
	}
	return outcomeNone
}

func (w *State) settleAll(e int) {
	for j := range w.ids {
		w.settle(e, j)
	}
}
