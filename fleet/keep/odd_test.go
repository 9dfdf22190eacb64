package keep

import (
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/blame"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/peer/fleetpb"
)

// plainCodec converts what the tests of odd records use. Jobs whose IDs begin with "w"
// belong to shard 1.
func plainCodec() JobCodec {
	return JobCodec{
		FromPB: func(r *fleetpb.SubmitRequest) leased.Job {
			job := leased.Job{ID: leased.JobID(r.Id), Stretch: 1.5, CallerTimeout: time.Duration(r.PatienceUs)}
			for _, s := range r.Steps {
				step := leased.Step{Tasks: int(s.Tasks), Demand: leased.Demand{MilliCores: int(s.MilliCores)}, Estimate: time.Duration(s.EstimateUs)}
				for _, n := range s.After {
					step.After = append(step.After, int(n))
				}
				job.Steps = append(job.Steps, step)
			}
			return job
		},
		ShardOf: func(id leased.JobID) int {
			if id != "" && id[0] == 'w' {
				return 1
			}
			return 0
		},
	}
}

func accepted(id string) *fleetpb.JobEvent {
	return &fleetpb.JobEvent{Kind: uint32(stored.JobAccepted), Job: id, Spec: &fleetpb.SubmitRequest{Id: id, Steps: []*fleetpb.Step{{Tasks: 2, MilliCores: 1000}}}}
}

// Guards against a record of another writer in the log of stored jobs that ends each
// process that takes the shard over, invents a job, or ends or changes a sound one.
func TestOddRecordsOfStoredJobs(t *testing.T) {
	codec := plainCodec()
	snapshot := func(change func(*fleetpb.JobEvent)) *fleetpb.JobEvent {
		e := accepted("k")
		e.Kind = uint32(stored.JobSnapshot)
		change(e)
		return e
	}
	change := func(change func(*fleetpb.JobEvent)) *fleetpb.JobEvent {
		e := accepted("k")
		change(e)
		return e
	}
	for name, odd := range map[string]*fleetpb.JobEvent{
		"billions of failures":   snapshot(func(e *fleetpb.JobEvent) { e.Progress = []*fleetpb.TaskProgress{{Failures: math.MaxUint32}} }),
		"billions of crashes":    snapshot(func(e *fleetpb.JobEvent) { e.Progress = []*fleetpb.TaskProgress{{Crashes: math.MaxUint32}} }),
		"last run":               snapshot(func(e *fleetpb.JobEvent) { e.Progress = []*fleetpb.TaskProgress{{Newest: math.MaxUint32}} }),
		"unknown state":          snapshot(func(e *fleetpb.JobEvent) { e.State = 200 }),
		"state that is cut":      snapshot(func(e *fleetpb.JobEvent) { e.State = 256 + uint32(stored.Cancelled) }),
		"ID of another job":      change(func(e *fleetpb.JobEvent) { e.Spec.Id = "j" }),
		"no ID":                  change(func(e *fleetpb.JobEvent) { e.Job, e.Spec.Id = "", "" }),
		"shard of others":        accepted("w"),
		"later step first":       change(func(e *fleetpb.JobEvent) { e.Spec.Steps[0].After = []uint32{7} }),
		"itself first":           change(func(e *fleetpb.JobEvent) { e.Spec.Steps[0].After = []uint32{0} }),
		"no tasks":               change(func(e *fleetpb.JobEvent) { e.Spec.Steps[0].Tasks = 0 }),
		"no steps":               change(func(e *fleetpb.JobEvent) { e.Spec.Steps = nil }),
		"billions of tasks":      change(func(e *fleetpb.JobEvent) { e.Spec.Steps[0].Tasks = math.MaxUint32 }),
		"kind that is cut":       change(func(e *fleetpb.JobEvent) { e.Kind += 256 }),
		"unknown kind":           change(func(e *fleetpb.JobEvent) { e.Kind = 99 }),
		"end of a sound job cut": {Kind: 256 + uint32(stored.JobCancelled), Job: "j"},
		"run of a sound job":     {Kind: uint32(stored.TaskEnded), Job: "j", Run: math.MaxUint32, Done: true},
		"duplicate":              accepted("j"),
	} {
		shard := stored.New(stored.Options{Retain: time.Minute, SnapshotAge: time.Minute})
		for offset, e := range []*fleetpb.JobEvent{accepted("j"), odd} {
			data, err := proto.Marshal(&fleetpb.JobEvents{Events: []*fleetpb.JobEvent{e}})
			if err != nil {
				t.Fatal(err)
			}
			events, err := codec.decode(data, 0)
			if invalid, ok := errors.Into[*InvalidRecordError](err); err != nil && (!ok || invalid.Reason == "") {
				t.Errorf("%s: error %v, want an *InvalidRecordError", name, err)
			}
			for _, event := range events {
				for _, p := range event.Progress {
					if p.Failures > 1<<20 {
						t.Errorf("%s: %d failures of a task are replayed", name, p.Failures)
						events = nil // the replay would take all memory
					}
				}
			}
			shard.Replay(time.Unix(1000, 0), int64(offset), events)
		}
		offers := shard.FinishReplay(time.Unix(1000, 0)).Offers
		if len(offers) != 1 || offers[0].Job.ID != "j" || len(offers[0].Job.Progress) > 0 {
			t.Errorf("%s: %+v is offered, want the sound job as it was", name, offers)
		}
	}
}

// Guards against crashes under runs that were never confirmed and count as confirmed ones
// once they have been sent to another entry or read from the log.
func TestUnconfirmedCrashesStayApart(t *testing.T) {
	loss := leased.Loss{Cause: leased.LossByCrash, Unconfirmed: true}
	if got := LossFromPB(LossToPB(loss)); got != loss {
		t.Errorf("loss %+v, want %+v", got, loss)
	}
	if got := LossFromPB(&fleetpb.Loss{Cause: uint32(leased.LossByCrash), Alone: true}); got.Unconfirmed {
		t.Error("a crash that an earlier version has reported counts as unconfirmed")
	}
	progress := leased.TaskProgress{Crashes: blame.Record{Crashes: 2, Alone: 1, Unconfirmed: 3}}
	if got := ProgressFromPB(ProgressToPB([]leased.TaskProgress{progress})); got[0].Crashes != progress.Crashes {
		t.Errorf("crashes %+v, want %+v", got[0].Crashes, progress.Crashes)
	}
}

// Guards against an accepted job that is lost because it has a time or an amount that is
// refused by now. Its values are cut instead.
func TestStoredJobsOfEarlierVersionsStayValid(t *testing.T) {
	codec := plainCodec()
	e := accepted("j")
	e.Spec.Steps[0].EstimateUs, e.Spec.Steps[0].MilliCores, e.Spec.PatienceUs = math.MinInt64, math.MaxInt64, math.MaxInt64
	data, err := proto.Marshal(&fleetpb.JobEvents{Events: []*fleetpb.JobEvent{e}})
	if err != nil {
		t.Fatal(err)
	}
	events, err := codec.decode(data, 0)
	if err != nil || len(events) != 1 || events[0].Spec.Validate() != nil {
		t.Errorf("%+v, %v, want a valid job", events, err)
	}
}
