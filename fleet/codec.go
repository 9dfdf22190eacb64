package fleet

import (
	"math"
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

// microseconds converts a time of another entry. A time that does not fit a
// time.Duration becomes the longest one, which no check of a message accepts.
func microseconds(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(max(n, -limit), limit)) * time.Microsecond
}

func jobToPB(j *leased.Job, from uint64) *fleetpb.SubmitRequest {
	return &fleetpb.SubmitRequest{
		From: from, Id: string(j.ID), Spec: j.Spec, Service: j.Service, Queue: j.Queue, Priority: uint32(j.Priority),
		MaxAttempts: uint32(j.MaxAttempts), Stretch: j.Stretch, SlackUs: j.Slack.Microseconds(), PatienceUs: j.CallerTimeout.Microseconds(),
		Steps:       lo.Map(j.Steps, func(_ leased.Step, i int) *fleetpb.Step { return stepToPB(&j.Steps[i]) }),
		Resubmitted: j.Resubmitted, OnlyHolder: j.OnlyHolder, Movable: j.Movable, Kept: j.Stored, Offer: j.Offer, WaitedUs: j.Waited.Microseconds(), Progress: keep.ProgressToPB(j.Progress),
	}
}

func jobFromPB(r *fleetpb.SubmitRequest) leased.Job {
	return leased.Job{
		ID: leased.JobID(r.Id), Spec: r.Spec, Service: r.Service, Queue: r.Queue, Priority: int(r.Priority),
		MaxAttempts: int(r.MaxAttempts), Stretch: r.Stretch, Slack: microseconds(r.SlackUs), CallerTimeout: microseconds(r.PatienceUs),
		Steps:       lo.Map(r.Steps, func(s *fleetpb.Step, _ int) leased.Step { return stepFromPB(s) }),
		Resubmitted: r.Resubmitted, OnlyHolder: r.OnlyHolder, Movable: r.Movable, Stored: r.Kept, Offer: r.Offer, Waited: microseconds(r.WaitedUs), Progress: keep.ProgressFromPB(r.Progress),
	}
}

// maxCallerAge is the age of a contact from which on an entry is certainly not heard any
// more.
const maxCallerAge = time.Minute

func delegatedTaskToPB(t *leased.DelegatedTask, from uint64) *fleetpb.LendRequest {
	return &fleetpb.LendRequest{
		From: from, Job: string(t.ID.Job), Occurrence: uint32(t.ID.Occurrence), StepNumber: uint32(t.ID.Step), Index: uint32(t.ID.Index),
		Service: t.Service, Queue: t.Queue, Spec: t.Spec, Step: stepToPB(&t.Step), Run: uint32(t.Run), Saved: t.Checkpoint,
		PatienceUs: t.CallerTimeout.Microseconds(), Adopt: t.Adopt, SearchedOn: string(t.SearchedOn), Superseded: uint32(t.Superseded), Cell: t.Cell, Wait: t.Wait, Suspect: t.Suspect,
		Caller: t.Origin, CallerAgeUs: t.OriginAge.Microseconds(), CallerEpoch: t.OriginCall.Epoch, CallerCall: t.OriginCall.Number,
	}
}

func delegatedTaskFromPB(r *fleetpb.LendRequest) leased.DelegatedTask {
	return leased.DelegatedTask{
		ID:      leased.TaskID{Job: leased.JobID(r.Job), Occurrence: int(r.Occurrence), Step: int(r.StepNumber), Index: int(r.Index)},
		Service: r.Service, Queue: r.Queue, Spec: r.Spec, Step: stepFromPB(r.Step), Run: int(r.Run), Checkpoint: r.Saved,
		CallerTimeout: microseconds(r.PatienceUs), Adopt: r.Adopt, SearchedOn: leased.EndpointID(r.SearchedOn), Superseded: int(r.Superseded), Cell: r.Cell, Wait: r.Wait, Suspect: r.Suspect,
		Origin: r.Caller, OriginAge: microseconds(min(max(0, r.CallerAgeUs), maxCallerAge.Microseconds())),
		OriginCall: leased.CallID{Epoch: r.CallerEpoch, Number: r.CallerCall},
	}
}

// delegatedAnswerToPB sends EndEndpointLost as EndLapsed with a flag, because
// earlier versions do not know it.
func delegatedAnswerToPB(a *leased.DelegatedAnswer) *fleetpb.LendResponse {
	r := &fleetpb.LendResponse{End: uint32(a.End), Saved: a.Checkpoint}
	if a.Progress != nil {
		r.Progress = keep.ProgressToPB([]leased.TaskProgress{*a.Progress})[0]
	}
	if a.End == leased.EndEndpointLost {
		r.End, r.EndpointLost = uint32(leased.EndLapsed), true
	}
	return r
}

// delegateReplyFromPB returns the result of a delegation.
func delegateReplyFromPB(request *leased.Delegate, r *fleetpb.LendResponse) leased.DelegateReply {
	reply := leased.DelegateReply{Task: request.Task.ID, Run: request.Task.Run, End: delegatedEndFromPB(r), Checkpoint: r.Saved}
	if r.Progress != nil {
		reply.Progress = &keep.ProgressFromPB([]*fleetpb.TaskProgress{r.Progress})[0]
	}
	return reply
}

// delegatedEndFromPB returns EndUnknown for an end that no supported version
// sends, because the run may be active.
func delegatedEndFromPB(r *fleetpb.LendResponse) leased.End {
	end := leased.End(r.End)
	switch {
	case uint64(r.End) > uint64(leased.EndEndpointLost):
		return leased.EndUnknown
	case end == leased.EndLapsed && r.EndpointLost:
		return leased.EndEndpointLost
	}
	return end
}
