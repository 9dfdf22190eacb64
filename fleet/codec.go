package fleet

import (
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/peer/fleetpb"
)

func stepToPB(s *leased.Step) *fleetpb.Step {
	return &fleetpb.Step{
		Tasks: uint32(s.Tasks), MilliCores: int64(s.Demand.MilliCores), MemoryMib: int64(s.Demand.MemoryMiB),
		Accelerators: int64(s.Demand.Accelerators), EstimateUs: s.Estimate.Microseconds(),
		After: lo.Map(s.After, func(n, _ int) uint32 { return uint32(n) }),
		Label: s.Label, Rack: s.Rack, MaxPerEndpoint: uint32(s.MaxPerEndpoint),
	}
}

func stepFromPB(s *fleetpb.Step) leased.Step {
	return leased.Step{
		Tasks: int(s.GetTasks()), Demand: leased.Demand{
			MilliCores: int(s.GetMilliCores()), MemoryMiB: int(s.GetMemoryMib()), Accelerators: int(s.GetAccelerators()),
		},
		Estimate: microseconds(s.GetEstimateUs()),
		After:    lo.Map(s.GetAfter(), func(n uint32, _ int) int { return int(n) }),
		Label:    s.GetLabel(), Rack: s.GetRack(), MaxPerEndpoint: int(s.GetMaxPerEndpoint()),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func jobToPB(j *leased.Job, from uint64) *fleetpb.SubmitRequest {
	return &fleetpb.SubmitRequest{
		From: from, Id: string(j.ID), Spec: j.Spec, Service: j.Service, Queue: j.Queue, Priority: uint32(j.Priority),
		MaxAttempts: uint32(j.MaxAttempts), Stretch: j.Stretch, SlackUs: j.Slack.Microseconds(), PatienceUs: j.CallerTimeout.Microseconds(),
		Steps:       lo.Map(j.Steps, func(_ leased.Step, i int) *fleetpb.Step { return stepToPB(&j.Steps[i]) }),
		Resubmitted: j.Resubmitted, Kept: j.Stored, WaitedUs: j.Waited.Microseconds(), Progress: keep.ProgressToPB(j.Progress),
	}
}

func jobFromPB(r *fleetpb.SubmitRequest) leased.Job {
	return leased.Job{
		ID: leased.JobID(r.Id), Spec: r.Spec, Service: r.Service, Queue: r.Queue, Priority: int(r.Priority),
		MaxAttempts: int(r.MaxAttempts), Stretch: r.Stretch, Slack: microseconds(r.SlackUs), CallerTimeout: microseconds(r.PatienceUs),
		Steps:       lo.Map(r.Steps, func(s *fleetpb.Step, _ int) leased.Step { return stepFromPB(s) }),
		Resubmitted: r.Resubmitted, Stored: r.Kept, Waited: microseconds(r.WaitedUs), Progress: keep.ProgressFromPB(r.Progress),
	}
}

func guestToPB(g *leased.DelegatedTask, from uint64) *fleetpb.LendRequest {
	return &fleetpb.LendRequest{
		From: from, Job: string(g.ID.Job), Occurrence: uint32(g.ID.Occurrence), StepNumber: uint32(g.ID.Step), Index: uint32(g.ID.Index),
		Service: g.Service, Queue: g.Queue, Spec: g.Spec, Step: stepToPB(&g.Step), Run: uint32(g.Run), Saved: g.Checkpoint,
		PatienceUs: g.CallerTimeout.Microseconds(), Adopt: g.Adopt, Cell: g.Cell, Wait: g.Wait,
	}
}

func guestFromPB(r *fleetpb.LendRequest) leased.DelegatedTask {
	return leased.DelegatedTask{
		ID:      leased.TaskID{Job: leased.JobID(r.Job), Occurrence: int(r.Occurrence), Step: int(r.StepNumber), Index: int(r.Index)},
		Service: r.Service, Queue: r.Queue, Spec: r.Spec, Step: stepFromPB(r.Step), Run: int(r.Run), Checkpoint: r.Saved,
		CallerTimeout: microseconds(r.PatienceUs), Adopt: r.Adopt, Cell: r.Cell, Wait: r.Wait,
	}
}
