package control

import (
	"time"

	"github.com/samber/lo"

	"lovagespread.example/catalog"
	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
)

// submissions holds the submission of each open job. The loop owns it.
type submissions map[jobid.ID]Submission

// putIfAbsent stores a submission unless one is stored for its ID: the first
// submission of an ID is the one that runs.
func (m submissions) putIfAbsent(s Submission) {
	if _, ok := m[s.ID]; !ok {
		m[s.ID] = s
	}
}

func (m submissions) label(id jobid.ID) string { return m[id].Label }

func (m submissions) payload(ref dispatch.TaskRef) []byte {
	tasks := m[ref.Job].Job.Tasks
	if ref.Index >= len(tasks) {
		return nil
	}
	return tasks[ref.Index].Payload
}

// needs returns the needs that the task declares, or else those in the services
// file.
func (m submissions) needs(ref dispatch.TaskRef, service catalog.Service) catalog.Resources {
	tasks := m[ref.Job].Job.Tasks
	if ref.Index < len(tasks) && tasks[ref.Index].Needs != nil {
		return *resources(tasks[ref.Index].Needs)
	}
	return service.Needs
}

func taskSpecs(tasks []callerapi.Task) []dispatch.TaskSpec {
	return lo.Map(tasks, func(t callerapi.Task, _ int) dispatch.TaskSpec {
		return dispatch.TaskSpec{
			Service:  t.Service,
			Declared: time.Duration(t.DeclaredMS * float64(time.Millisecond)),
			Needs:    resources(t.Needs),
		}
	})
}

func resources(n *callerapi.Needs) *catalog.Resources {
	if n == nil {
		return nil
	}
	return &catalog.Resources{
		MilliCores:   n.MilliCores,
		MemoryMiB:    n.MemoryMiB,
		Accelerators: n.Accelerators,
	}
}
