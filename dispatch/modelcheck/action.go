package modelcheck

import (
	"fmt"

	"lovagespread.example/dispatch/ledger"
)

// Verb is what an Action does.
type Verb string

// Verbs of actions.
const (
	Submit          Verb = "submit"
	Reject          Verb = "reject"
	Cancel          Verb = "cancel"
	Start           Verb = "start"
	Write           Verb = "write"
	Pause           Verb = "pause"
	BreakConnection Verb = "give-up" // a connection breaks before its answer
	Run             Verb = "run"     // the endpoint runs a task
	Fail            Verb = "fail"    // the endpoint runs a task, without result
	Refuse          Verb = "refuse"  // the endpoint refuses a task
	Deliver         Verb = "deliver"
	Lose            Verb = "lose" // a hand-over message; of others see GiveUp
	Duplicate       Verb = "duplicate"
	Crash           Verb = "crash"
	Partition       Verb = "cut"
	Heal            Verb = "heal"
	Stop            Verb = "stop"
	Send            Verb = "send" // the next part of a hand-over
	Exit            Verb = "exit"
	Abandon         Verb = "abandon"
	Expire          Verb = "expire"
)

// Action is one step of a World.
type Action struct {
	Verb  Verb
	Entry int
	Job   int
	Task  int
	Index int // of a message, of a list of the entry, or of another entry
}

func (a Action) String() string {
	return fmt.Sprintf("%s entry %d job %d task %d index %d", a.Verb, a.Entry, a.Job, a.Task, a.Index)
}

// Actions lists every step that may come next.
func (w *State) Actions() []Action {
	var actions []Action
	for e := range w.entries {
		if !w.entries[e].alive {
			continue
		}
		actions = w.callerActions(actions, e)
		actions = w.taskActions(actions, e)
		actions = w.processActions(actions, e)
		actions = w.successionActions(actions, e)
	}
	for i := range w.messages {
		actions = w.messageActions(actions, i)
	}
	if w.cut.on {
		actions = append(actions, Action{Verb: Heal})
	}
	if w.left.Expiries > 0 {
		actions = append(actions, Action{Verb: Expire})
	}
	return actions
}

func (w *State) callerActions(actions []Action, e int) []Action {
	for j, id := range w.ids {
		switch w.entries[e].ledger.State(id) {
		case ledger.Absent:
			actions = append(actions, Action{Verb: Submit, Entry: e, Job: j})
			if w.left.Rejections > 0 {
				actions = append(actions, Action{Verb: Reject, Entry: e, Job: j})
			}
		case ledger.Open:
			if w.left.Cancels > 0 {
				actions = append(actions, Action{Verb: Cancel, Entry: e, Job: j})
			}
		}
	}
	return actions
}

func (w *State) taskActions(actions []Action, e int) []Action {
	for j, id := range w.ids {
		record, open := w.entries[e].ledger.Job(id)
		if !open {
			continue
		}
		for t := range record.Tasks {
			if record.Tasks[t].LastAttempt < w.config.MaxAttempts && w.entries[e].ledger.MayStart(id, t) {
				actions = append(actions, Action{Verb: Start, Entry: e, Job: j, Task: t})
			}
		}
	}
	for i := range w.entries[e].unwritten {
		actions = append(actions, Action{Verb: Write, Entry: e, Index: i})
	}
	if w.left.Losses > 0 {
		for i := range w.entries[e].running {
			actions = append(actions, Action{Verb: BreakConnection, Entry: e, Index: i})
		}
	}
	return actions
}

func (w *State) processActions(actions []Action, e int) []Action {
	if w.left.Crashes > 0 {
		actions = append(actions, Action{Verb: Crash, Entry: e})
	}
	if w.left.Pauses > 0 && len(w.entries[e].unwritten) > 0 {
		actions = append(actions, Action{Verb: Pause, Entry: e})
	}
	// Of two entries, cutting off one is the same as cutting off the other.
	if w.left.Partitions > 0 && !w.cut.on && (len(w.entries) > 2 || e == 0) {
		actions = append(actions, Action{Verb: Partition, Entry: e}, Action{Verb: Partition, Entry: e, Index: 1})
	}
	return actions
}

func (w *State) successionActions(actions []Action, e int) []Action {
	from := &w.entries[e]
	for to := range w.entries {
		if to == e {
			continue
		}
		if from.phase == serving && w.left.Stops > 0 && w.entries[to].alive {
			actions = append(actions, Action{Verb: Stop, Entry: e, Index: to})
		}
		if w.waitsFor(e, to) && (!w.entries[to].alive || w.separated(e, to)) {
			actions = append(actions, Action{Verb: Abandon, Entry: e, Index: to})
		}
	}
	switch from.phase {
	case exporting:
		if !from.awaiting {
			actions = append(actions, Action{Verb: Send, Entry: e})
		}
	case inDoubt:
		if !from.awaiting && w.entries[from.successor].alive && !w.separated(e, from.successor) {
			actions = append(actions, Action{Verb: Send, Entry: e})
		}
	case given:
		actions = append(actions, Action{Verb: Exit, Entry: e})
	}
	return actions
}

func (w *State) waitsFor(e, other int) bool {
	for _, starter := range w.entries[e].ledger.UnresolvedStarters() {
		if starter == incarnation(other) {
			return true
		}
	}
	return false
}

func (w *State) messageActions(actions []Action, i int) []Action {
	m := &w.messages[i]
	if w.left.Losses > 0 && !m.copied && (m.kind == partMessage || m.kind == confirmMessage) {
		actions = append(actions, Action{Verb: Lose, Index: i})
	}
	if w.left.Duplicates > 0 && !m.copied && m.kind != requestMessage && m.kind != confirmMessage {
		actions = append(actions, Action{Verb: Duplicate, Index: i})
	}
	switch m.kind {
	case requestMessage:
		if w.endpointSeparated(m.from) {
			return actions
		}
		actions = append(actions, Action{Verb: Run, Index: i})
		if w.left.Failures > 0 {
			actions = append(actions, Action{Verb: Fail, Index: i})
		}
		if w.left.Refusals > 0 {
			actions = append(actions, Action{Verb: Refuse, Index: i})
		}
	case replyMessage:
		if !w.endpointSeparated(m.to) {
			actions = append(actions, Action{Verb: Deliver, Index: i})
		}
	default:
		if !w.separated(m.from, m.to) {
			actions = append(actions, Action{Verb: Deliver, Index: i})
		}
	}
	return actions
}

// separated reports whether two entries cannot reach each other.
func (w *State) separated(a, b int) bool {
	return w.cut.on && a != b && (a == w.cut.entry || b == w.cut.entry)
}

// endpointSeparated reports whether an entry cannot reach the endpoint.
func (w *State) endpointSeparated(e int) bool {
	return w.cut.on && (e == w.cut.entry) != w.cut.withEndpoint
}
