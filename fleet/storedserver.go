package fleet

import (
	"context"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/peer/fleetpb"
)

// The methods in this file serve calls about stored jobs. They never forward a
// call: if this entry is not the owner, the calling entry finds the owner.

func (s *server) runnerOf(id string) *keep.Runner {
	if s.storedJobs == nil {
		return nil
	}
	if shard := s.storedJobs.knownShardOf(leased.JobID(id)); shard >= 0 {
		return s.storedJobs.runners()[shard]
	}
	return nil
}

func storedResponse(r stored.Result) *fleetpb.KeptResponse {
	if r == stored.AlreadyCancelled { // for entries of earlier versions, it is a refusal like others
		return &fleetpb.KeptResponse{Result: fleetpb.KeptResult_REFUSED, State: uint32(stored.Cancelled)}
	}
	return &fleetpb.KeptResponse{Result: fleetpb.KeptResult(r)}
}

// storedResult returns the result of a response.
func storedResult(r *fleetpb.KeptResponse) stored.Result {
	if r.Result == fleetpb.KeptResult_REFUSED && stored.State(r.State) == stored.Cancelled {
		return stored.AlreadyCancelled
	}
	return stored.Result(r.Result)
}

// Keep implements fleetpb.Fleet.
func (s *server) Keep(ctx context.Context, r *fleetpb.SubmitRequest) (*fleetpb.KeptResponse, error) {
	runner := s.runnerOf(r.Id)
	if runner == nil {
		return storedResponse(stored.OtherOwner), nil
	}
	job := jobFromPB(r)
	if err := job.Validate(); err != nil {
		return nil, s.rejectMalformed(err)
	}
	return storedResponse(runner.Accept(ctx, job)), nil
}

// CancelKept implements fleetpb.Fleet.
func (s *server) CancelKept(ctx context.Context, r *fleetpb.KeptRequest) (*fleetpb.KeptResponse, error) {
	runner := s.runnerOf(r.Id)
	if runner == nil {
		return storedResponse(stored.OtherOwner), nil
	}
	return storedResponse(runner.Cancel(ctx, leased.JobID(r.Id))), nil
}

// KeptState implements fleetpb.Fleet.
func (s *server) KeptState(ctx context.Context, r *fleetpb.KeptRequest) (*fleetpb.KeptResponse, error) {
	runner := s.runnerOf(r.Id)
	if runner == nil {
		return storedResponse(stored.OtherOwner), nil
	}
	state, result := runner.State(ctx, leased.JobID(r.Id))
	return &fleetpb.KeptResponse{Result: fleetpb.KeptResult(result), State: uint32(state)}, nil
}

// PendingKept implements fleetpb.Fleet.
func (s *server) PendingKept(ctx context.Context, _ *fleetpb.PendingRequest) (*fleetpb.PendingResponse, error) {
	if s.storedJobs == nil {
		return pendingToPB(nil), nil
	}
	return pendingToPB(s.storedJobs.countPendingLocally(ctx)), nil
}

// Report implements fleetpb.Fleet.
func (s *server) Report(ctx context.Context, r *fleetpb.ReportRequest) (*fleetpb.KeptResponse, error) {
	if s.storedJobs == nil || int(r.Shard) >= len(s.storedJobs.runners()) {
		return storedResponse(stored.OtherOwner), nil
	}
	result, progress := s.storedJobs.runners()[r.Shard].Report(ctx, r.From, reportFromPB(r))
	response := storedResponse(result)
	response.Progress = keep.ProgressToPB(progress)
	return response, nil
}

// Learn implements fleetpb.Fleet.
func (s *server) Learn(_ context.Context, r *fleetpb.LearnRequest) (*fleetpb.LearnResponse, error) {
	task := leased.TaskID{Job: leased.JobID(r.Job), Occurrence: int(r.Occurrence), Step: int(r.Step), Index: int(r.Index)}
	s.loop.send(coreInput{&leased.TaskUpdate{Task: task, Progress: leased.TaskProgress{Step: task.Step, Index: task.Index, Done: true}}})
	return &fleetpb.LearnResponse{}, nil
}

// LearnProgress implements fleetpb.Fleet.
func (s *server) LearnProgress(_ context.Context, r *fleetpb.LearnProgressRequest) (*fleetpb.LearnResponse, error) {
	if r.Progress == nil {
		return nil, s.rejectMalformed(errors.New("an update without the progress of a task"))
	}
	p := keep.ProgressFromPB([]*fleetpb.TaskProgress{r.Progress})[0]
	task := leased.TaskID{Job: leased.JobID(r.Job), Occurrence: int(r.Occurrence), Step: p.Step, Index: p.Index}
	s.loop.send(coreInput{&leased.TaskUpdate{Task: task, Progress: p}})
	return &fleetpb.LearnResponse{}, nil
}
