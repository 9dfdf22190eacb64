package keep

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/blame"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/peer/fleetpb"
)

// JobCodec converts jobs to messages between entries and back.
type JobCodec struct {
	ToPB   func(*leased.Job) *fleetpb.SubmitRequest
	FromPB func(*fleetpb.SubmitRequest) leased.Job
	// ShardOf returns the shard of a job; nil: it is not checked.
	ShardOf func(leased.JobID) int
}

// ProgressToPB converts the progress of tasks to messages.
func ProgressToPB(list []leased.TaskProgress) []*fleetpb.TaskProgress {
	return lo.Map(list, func(p leased.TaskProgress, _ int) *fleetpb.TaskProgress {
		return &fleetpb.TaskProgress{
			Step: uint32(p.Step), Index: uint32(p.Index), Done: p.Done, Failures: uint32(p.Failures), Newest: uint32(p.LastRun), Saved: p.Checkpoint,
			Crashes: uint32(p.Crashes.Crashes), CrashesAlone: uint32(p.Crashes.Alone), CrashesUnconfirmed: uint32(p.Crashes.Unconfirmed), Losses: uint32(p.Losses),
			Counted: lo.Map(p.Counted, func(r leased.CountedRun, _ int) *fleetpb.CountedRun { return countedToPB(&r) }), JobEnded: p.JobEnded,
			Superseded: uint32(p.Superseded), Discarded: p.Discarded,
		}
	})
}

// ProgressFromPB converts messages to the progress of tasks.
func ProgressFromPB(list []*fleetpb.TaskProgress) []leased.TaskProgress {
	return lo.Map(list, func(p *fleetpb.TaskProgress, _ int) leased.TaskProgress {
		return leased.TaskProgress{
			Step: int(p.Step), Index: int(p.Index), Done: p.Done, Failures: int(p.Failures), LastRun: int(p.Newest), Checkpoint: p.Saved,
			Crashes: blame.Record{Crashes: int(p.Crashes), Alone: int(p.CrashesAlone), Unconfirmed: int(p.CrashesUnconfirmed)}, Losses: int(p.Losses),
			Counted: lo.Map(p.Counted, func(r *fleetpb.CountedRun, _ int) leased.CountedRun { return countedFromPB(r) }), JobEnded: p.JobEnded,
			Superseded: int(p.Superseded), Discarded: p.Discarded,
		}
	})
}

func countedToPB(r *leased.CountedRun) *fleetpb.CountedRun {
	pb := &fleetpb.CountedRun{Run: uint32(r.ID.Number), Endpoint: string(r.ID.Endpoint), Incarnation: r.ID.Incarnation}
	if !r.Failed {
		pb.Loss = LossToPB(leased.Loss{Cause: r.Cause})
	}
	return pb
}

func countedFromPB(pb *fleetpb.CountedRun) leased.CountedRun {
	r := leased.CountedRun{ID: leased.RunID{Number: int(pb.Run), Endpoint: leased.EndpointID(pb.Endpoint), Incarnation: pb.Incarnation}, Failed: pb.Loss == nil}
	if pb.Loss != nil {
		r.Cause = LossFromPB(pb.Loss).Cause
	}
	return r
}

// LossToPB converts the loss of an endpoint to a message.
func LossToPB(l leased.Loss) *fleetpb.Loss {
	return &fleetpb.Loss{Cause: uint32(l.Cause), Alone: l.Alone, Unconfirmed: l.Unconfirmed}
}

// LossFromPB converts a message to the loss of an endpoint. A cause that this
// version does not know explains nothing.
func LossFromPB(l *fleetpb.Loss) leased.Loss {
	loss := leased.Loss{Cause: leased.LossUnexplained, Alone: l.Alone, Unconfirmed: l.Unconfirmed}
	if l.Cause <= uint32(leased.LossByCut) {
		loss.Cause = leased.LossCause(l.Cause)
	}
	return loss
}

// encode encodes a batch of events as one record.
func (c *JobCodec) encode(events []stored.Event) ([]byte, error) {
	record := &fleetpb.JobEvents{}
	for i := range events {
		e := &events[i]
		event := &fleetpb.JobEvent{
			Kind: uint32(e.Kind), Job: string(e.Job), State: uint32(e.State), Progress: ProgressToPB(e.Progress),
			Occurrence: uint32(e.Task.Occurrence), Step: uint32(e.Task.Step), Index: uint32(e.Task.Index),
			Run: uint32(e.Run.Number), Endpoint: string(e.Run.Endpoint), Incarnation: e.Run.Incarnation, Done: e.Done, Saved: e.Checkpoint, Parts: uint32(e.Parts),
		}
		if e.Kind == stored.TaskLost {
			event.Loss = LossToPB(e.Loss)
		}
		if e.Spec != nil {
			event.Spec = c.ToPB(e.Spec)
		}
		record.Events = append(record.Events, event)
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode events of stored jobs")
	}
	return data, nil
}

// encodeClaim encodes the first record of an owner.
func encodeClaim(claim uint64) ([]byte, error) {
	data, err := proto.Marshal(&fleetpb.JobEvents{Claim: claim})
	if err != nil {
		return nil, errors.Wrap(err, "encode the claim of a shard")
	}
	return data, nil
}

// InvalidRecordError reports a record of the log of stored jobs that no entry writes.
// No part of it is applied.
type InvalidRecordError struct{ Reason string }

func (e *InvalidRecordError) Error() string {
	return "the record is not one of stored jobs: " + e.Reason + "; look for another writer of the topic"
}

// decode decodes a record of a shard.
func (c *JobCodec) decode(data []byte, shard int) ([]stored.Event, error) {
	record := &fleetpb.JobEvents{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, errors.Wrap(err, "decode events of stored jobs")
	}
	events := make([]stored.Event, 0, len(record.Events))
	for _, e := range record.Events {
		if e.Kind > uint32(stored.JobSnapshotPart) {
			continue // of a later version
		}
		event, reason := c.event(e, shard)
		if reason != "" {
			return nil, &InvalidRecordError{fmt.Sprintf("job %q: %s", e.Job, reason)}
		}
		events = append(events, event)
	}
	return events, nil
}

// Limits of numbers in the records of stored jobs.
const (
	// maxRun is the highest number of a run: numbers go on rising.
	maxRun = stored.MaxRun
	// maxCount is above the number of failures, crashes or losses of any task. A replay
	// takes memory for each failure.
	maxCount = 100_000
)

// event converts one event. It returns a reason if no entry writes it to a shard.
func (c *JobCodec) event(e *fleetpb.JobEvent, shard int) (stored.Event, string) {
	id := leased.JobID(e.Job)
	event := stored.Event{
		Kind: stored.EventKind(e.Kind), Job: id, State: stored.State(e.State), Progress: ProgressFromPB(e.Progress),
		Run:  leased.RunID{Number: int(e.Run), Endpoint: leased.EndpointID(e.Endpoint), Incarnation: e.Incarnation},
		Done: e.Done, Checkpoint: e.Saved, Parts: int(e.Parts),
		Task: leased.TaskID{Job: id, Occurrence: int(e.Occurrence), Step: int(e.Step), Index: int(e.Index)},
	}
	if e.Loss != nil {
		event.Loss = LossFromPB(e.Loss)
	}
	switch {
	case e.Job == "":
		return event, "it has no ID"
	case c.ShardOf != nil && c.ShardOf(id) != shard:
		return event, fmt.Sprintf("it belongs to shard %d, not %d", c.ShardOf(id), shard)
	case e.State > uint32(stored.Cancelled):
		return event, fmt.Sprintf("state %d", e.State)
	case e.Run > maxRun:
		return event, fmt.Sprintf("run %d", e.Run)
	case e.Parts > maxCount:
		return event, fmt.Sprintf("a snapshot of %d more parts", e.Parts)
	}
	for _, p := range e.Progress {
		if max(p.Newest, p.Superseded) > maxRun || max(p.Failures, p.Crashes, p.CrashesAlone, p.CrashesUnconfirmed, p.Losses) > maxCount {
			return event, fmt.Sprintf("progress of step %d, task %d: run %d, %d failures, %d crashes, %d losses", p.Step, p.Index, p.Newest, p.Failures, p.Crashes, p.Losses)
		}
	}
	if e.Spec == nil {
		return event, ""
	}
	spec := c.FromPB(e.Spec)
	if spec.ID != id {
		return event, fmt.Sprintf("its specification is that of %q", spec.ID)
	}
	limitSpec(&spec)
	if err := spec.Validate(); err != nil {
		return event, err.Error()
	}
	event.Spec = &spec
	return event, ""
}

// limitSpec cuts times and amounts that are refused in new jobs: a job that an earlier
// version has accepted must not be lost.
func limitSpec(spec *leased.Job) {
	limit := func(d *time.Duration) { *d = min(max(0, *d), leased.MaxJobTime) }
	limit(&spec.CallerTimeout)
	limit(&spec.Slack)
	limit(&spec.Waited)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		limit(&step.Estimate)
		step.Demand.MilliCores = min(step.Demand.MilliCores, leased.MaxDemand)
		step.Demand.MemoryMiB = min(step.Demand.MemoryMiB, leased.MaxDemand)
		step.Demand.Accelerators = min(step.Demand.Accelerators, leased.MaxDemand)
	}
}
