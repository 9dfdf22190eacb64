package leased_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// delegation is a task that one core runs for another.
type delegation struct {
	from, to int
	run      int
	ticket   leased.Ticket
}

func (sim *simulation) delegate(core int, delegated leased.Delegate) {
	to := int(delegated.Holder) - 1
	sim.lastTicket++
	sim.delegatedRuns[delegated.Task.ID]++
	sim.delegations[delegated.Task.ID] = delegation{core, to, delegated.Task.Run, sim.lastTicket}
	if sim.crashed[to] {
		sim.after(networkDelay, func() { sim.endDelegation(core, delegated.Task.ID, leased.EndNoCapacity, false) })
		return
	}
	ticket := sim.lastTicket
	sim.after(2*networkDelay, func() { sim.step(to, &leased.SubmitDelegated{Ticket: ticket, Task: delegated.Task}) })
}

// delegatedTasks lists the tasks that one core runs for another in a fixed order.
func (sim *simulation) delegatedTasks() []leased.TaskID {
	return slices.SortedFunc(maps.Keys(sim.delegations), func(a, b leased.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// endDelegation ends the delegation of a task by core. If cancel is set, it
// cancels the task at the delegate; otherwise it gives the result to core.
func (sim *simulation) endDelegation(core int, task leased.TaskID, end leased.End, cancel bool) {
	d, ok := sim.delegations[task]
	if !ok || d.from != core {
		return
	}
	delete(sim.delegations, task)
	if cancel {
		sim.after(2*networkDelay+sim.cancelDelay, func() { sim.step(d.to, &leased.Cancel{Ticket: d.ticket}) })
		return
	}
	sim.step(core, &leased.DelegateReply{Task: task, Run: d.run, End: end})
}

func (sim *simulation) answerDelegation(a leased.DelegatedAnswer) {
	d, ok := sim.delegations[a.Task]
	if !ok || d.ticket != a.Ticket || sim.isolated[d.from] != sim.isolated[d.to] {
		return
	}
	delete(sim.delegations, a.Task)
	reply := &leased.DelegateReply{Task: a.Task, Run: d.run, End: a.End, Progress: a.Progress}
	if sim.delegateAnswersLost {
		reply.End, reply.Progress = leased.EndUnknown, nil
	}
	sim.after(2*networkDelay, func() { sim.step(d.from, reply) })
}

// shareFreeCapacity makes the cores announce their free capacity to each other.
func (sim *simulation) shareFreeCapacity() {
	sim.every(leased.TickInterval, func() {
		for i := range sim.cores {
			var free []leased.FreeCapacity
			for other, core := range sim.cores {
				if other == i || sim.crashed[other] || sim.isolated[i] != sim.isolated[other] {
					continue
				}
				for _, cell := range sim.cellsOf(other) {
					free = append(free, leased.FreeCapacity{Holder: uint64(other + 1), Cell: cell, Free: core.FreeCapacity(cell, 1000)})
				}
			}
			sim.step(i, &leased.AnnounceFreeCapacity{Announced: free})
		}
	})
}

func (sim *simulation) cellsOf(core int) []string {
	seen := make(map[string]bool)
	var list []string
	for _, spec := range sim.specs {
		if sim.holderOf[spec.ID] == core && !seen[spec.Cell] {
			seen[spec.Cell] = true
			list = append(list, spec.Cell)
		}
	}
	return list
}

// crash stops a core. Its endpoints are announced to newHolder after
// takeoverDelay.
func (sim *simulation) crash(core, newHolder int, takeoverDelay time.Duration) {
	sim.crashed[core] = true
	for _, task := range sim.delegatedTasks() {
		d := sim.delegations[task]
		if d.to == core {
			sim.after(networkDelay, func() { sim.endDelegation(d.from, task, leased.EndUnknown, false) })
		}
		if d.from == core {
			sim.after(networkDelay, func() { sim.step(d.to, &leased.Cancel{Ticket: d.ticket}) })
		}
	}
	sim.after(takeoverDelay, func() {
		for id, holder := range sim.holderOf {
			if holder == core {
				sim.holderOf[id] = newHolder
			}
		}
		sim.announce()
	})
}
