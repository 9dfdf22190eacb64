package keep

import (
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
}

// ProgressToPB converts the progress of tasks to messages.
func ProgressToPB(list []leased.TaskProgress) []*fleetpb.TaskProgress {
	return lo.Map(list, func(p leased.TaskProgress, _ int) *fleetpb.TaskProgress {
		return &fleetpb.TaskProgress{
			Step: uint32(p.Step), Index: uint32(p.Index), Done: p.Done, Failures: uint32(p.Failures), Newest: uint32(p.LastRun), Saved: p.Checkpoint,
			Crashes: uint32(p.Crashes.Crashes), CrashesAlone: uint32(p.Crashes.Alone), Losses: uint32(p.Losses),
		}
	})
}

// ProgressFromPB converts messages to the progress of tasks.
func ProgressFromPB(list []*fleetpb.TaskProgress) []leased.TaskProgress {
	return lo.Map(list, func(p *fleetpb.TaskProgress, _ int) leased.TaskProgress {
		return leased.TaskProgress{
			Step: int(p.Step), Index: int(p.Index), Done: p.Done, Failures: int(p.Failures), LastRun: int(p.Newest), Checkpoint: p.Saved,
			Crashes: blame.Record{Crashes: int(p.Crashes), Alone: int(p.CrashesAlone)}, Losses: int(p.Losses),
		}
	})
}

// LossToPB converts the loss of an endpoint to a message.
func LossToPB(l leased.Loss) *fleetpb.Loss {
	return &fleetpb.Loss{Cause: uint32(l.Cause), Alone: l.Alone}
}

// LossFromPB converts a message to the loss of an endpoint. A cause that this
// version does not know explains nothing.
func LossFromPB(l *fleetpb.Loss) leased.Loss {
	loss := leased.Loss{Cause: leased.LossUnexplained, Alone: l.Alone}
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
			Run: uint32(e.Run), Done: e.Done, Saved: e.Checkpoint,
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

// decode decodes a record.
func (c *JobCodec) decode(data []byte) ([]stored.Event, error) {
	record := &fleetpb.JobEvents{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, errors.Wrap(err, "decode events of stored jobs")
	}
	events := make([]stored.Event, 0, len(record.Events))
	for _, e := range record.Events {
		event := stored.Event{
			Kind: stored.EventKind(e.Kind), Job: leased.JobID(e.Job), State: stored.State(e.State), Progress: ProgressFromPB(e.Progress),
			Run: int(e.Run), Done: e.Done, Checkpoint: e.Saved,
			Task: leased.TaskID{Job: leased.JobID(e.Job), Occurrence: int(e.Occurrence), Step: int(e.Step), Index: int(e.Index)},
		}
		if e.Loss != nil {
			event.Loss = LossFromPB(e.Loss)
		}
		if e.Spec != nil {
			spec := c.FromPB(e.Spec)
			if tasks := lo.SumBy(spec.Steps, func(s leased.Step) int { return s.Tasks }); tasks > maxTasksPerJob {
				return nil, errors.Errorf("decode events of stored jobs: job %s has %d tasks, want at most %d", spec.ID, tasks, maxTasksPerJob)
			}
			event.Spec = &spec
		}
		events = append(events, event)
	}
	return events, nil
}

// maxTasksPerJob is above the limit of the callers' API. A record with more tasks
// was not written by an entry.
const maxTasksPerJob = 20_000
