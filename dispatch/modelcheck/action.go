package modelcheck

import (
	"fmt"

	"lovagespread.example/dispatch/ledger"
)

// Verb is what an Action does.
type Verb string

// Verbs of actions.
const (
	Submit           Verb = "submit"
	Reject           Verb = "reject"
	Cancel           Verb = "cancel"
	Start            Verb = "start"
	Write            Verb = "write"
	Pause            Verb = "pause"
	BreakConnection  Verb = "give-up" // a connection breaks before the reply
	Run              Verb = "run"     // the endpoint runs a task
	Fail             Verb = "fail"    // the endpoint runs a task that returns no result
	Refuse           Verb = "refuse"  // the endpoint refuses a task
	Deliver          Verb = "deliver"
	Lose             Verb = "lose" // a handover message; other replies are lost by BreakConnection
	Duplicate        Verb = "duplicate"
	Crash            Verb = "crash"
	Partition        Verb = "cut"
	Heal             Verb = "heal"
	Stop             Verb = "stop"
	Send             Verb = "send" // the next part of a handover
	Exit             Verb = "exit"
	ResolveAsUnknown Verb = "abandon"
	Expire           Verb = "expire"
)

// Action is one transition between states.
type Action struct {
	Verb  Verb
	Entry int
	Job   int
	Task  int
	Index int // index of a message, in a list of the entry, or of another entry
}

func (a Action) String() string {
	return fmt.Sprintf("%s entry %d job %d task %d index %d", a.Verb, a.Entry, a.Job, a.Task, a.Index)
}

// Actions lists every action that may come next.
func (s *State) Actions() []Action {
	var actions []Action
	for e := range s.entries {
		if !s.entries[e].alive {
			continue
		}
		actions = s.callerActions(actions, e)
		actions = s.taskActions(actions, e)
		actions = s.processActions(actions, e)
		actions = s.handoverActions(actions, e)
	}
	for i := range s.messages {
		actions = s.messageActions(actions, i)
	}
	if s.partition.active {
		actions = append(actions, Action{Verb: Heal})
	}
	if s.remaining.Expiries > 0 {
		actions = append(actions, Action{Verb: Expire})
	}
	return actions
}

func (s *State) callerActions(actions []Action, e int) []Action {
	for j, id := range s.ids {
		switch s.entries[e].ledger.State(id) {
		case ledger.Absent:
			actions = append(actions, Action{Verb: Submit, Entry: e, Job: j})
			if s.remaining.Rejections > 0 {
				actions = append(actions, Action{Verb: Reject, Entry: e, Job: j})
			}
		case ledger.Open:
			if s.remaining.Cancels > 0 {
				actions = append(actions, Action{Verb: Cancel, Entry: e, Job: j})
			}
		}
	}
	return actions
}

func (s *State) taskActions(actions []Action, e int) []Action {
	for j, id := range s.ids {
		record, open := s.entries[e].ledger.Job(id)
		if !open {
			continue
		}
		for t := range record.Tasks {
			if record.Tasks[t].LastAttempt < s.config.MaxAttempts && s.entries[e].ledger.MayStart(id, t) {
				actions = append(actions, Action{Verb: Start, Entry: e, Job: j, Task: t})
			}
		}
	}
	for i := range s.entries[e].unwritten {
		actions = append(actions, Action{Verb: Write, Entry: e, Index: i})
	}
	if s.remaining.Losses > 0 {
		for i := range s.entries[e].inFlight {
			actions = append(actions, Action{Verb: BreakConnection, Entry: e, Index: i})
		}
	}
	return actions
}

func (s *State) processActions(actions []Action, e int) []Action {
	if s.remaining.Crashes > 0 {
		actions = append(actions, Action{Verb: Crash, Entry: e})
	}
	if s.remaining.Pauses > 0 && len(s.entries[e].unwritten) > 0 {
		actions = append(actions, Action{Verb: Pause, Entry: e})
	}
	// With two entries, partitioning off either one gives the same partition.
	if s.remaining.Partitions > 0 && !s.partition.active && (len(s.entries) > 2 || e == 0) {
		actions = append(actions, Action{Verb: Partition, Entry: e}, Action{Verb: Partition, Entry: e, Index: 1})
	}
	return actions
}

func (s *State) handoverActions(actions []Action, e int) []Action {
	sender := &s.entries[e]
	for to := range s.entries {
		if to == e {
			continue
		}
		if sender.phase == serving && s.remaining.Stops > 0 && s.entries[to].alive {
			actions = append(actions, Action{Verb: Stop, Entry: e, Index: to})
		}
		if s.awaitsStatusFrom(e, to) && (!s.entries[to].alive || s.unreachable(e, to)) {
			actions = append(actions, Action{Verb: ResolveAsUnknown, Entry: e, Index: to})
		}
	}
	switch sender.phase {
	case sending:
		if !sender.partInFlight {
			actions = append(actions, Action{Verb: Send, Entry: e})
		}
	case inDoubt:
		if !sender.partInFlight && s.entries[sender.successor].alive && !s.unreachable(e, sender.successor) {
			actions = append(actions, Action{Verb: Send, Entry: e})
		}
	case handedOver:
		actions = append(actions, Action{Verb: Exit, Entry: e})
	}
	return actions
}

func (s *State) awaitsStatusFrom(e, other int) bool {
	for _, starter := range s.entries[e].ledger.UnresolvedStarters() {
		if starter == incarnation(other) {
			return true
		}
	}
	return false
}

func (s *State) messageActions(actions []Action, i int) []Action {
	m := &s.messages[i]
	if s.remaining.Losses > 0 && !m.duplicate && (m.kind == partMessage || m.kind == confirmMessage) {
		actions = append(actions, Action{Verb: Lose, Index: i})
	}
	if s.remaining.Duplicates > 0 && !m.duplicate && m.kind != requestMessage && m.kind != confirmMessage {
		actions = append(actions, Action{Verb: Duplicate, Index: i})
	}
	switch m.kind {
	case requestMessage:
		if s.endpointUnreachable(m.from) {
			return actions
		}
		actions = append(actions, Action{Verb: Run, Index: i})
		if s.remaining.Failures > 0 {
			actions = append(actions, Action{Verb: Fail, Index: i})
		}
		if s.remaining.Refusals > 0 {
			actions = append(actions, Action{Verb: Refuse, Index: i})
		}
	case replyMessage:
		if !s.endpointUnreachable(m.to) {
			actions = append(actions, Action{Verb: Deliver, Index: i})
		}
	default:
		if !s.unreachable(m.from, m.to) {
			actions = append(actions, Action{Verb: Deliver, Index: i})
		}
	}
	return actions
}

// unreachable reports whether two entries cannot reach each other.
func (s *State) unreachable(a, b int) bool {
	return s.partition.active && a != b && (a == s.partition.entry || b == s.partition.entry)
}

// endpointUnreachable reports whether an entry cannot reach the endpoint.
func (s *State) endpointUnreachable(e int) bool {
	return s.partition.active && (e == s.partition.entry) != s.partition.withEndpoint
}
