package keep

import (
	"bytes"
	"testing"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/peer/fleetpb"

	"time"
)

// FuzzRecord decodes and replays arbitrary records. They must not cause a panic.
func FuzzRecord(f *testing.F) {
	codec := JobCodec{
		ToPB: func(j *leased.Job) *fleetpb.SubmitRequest {
			return &fleetpb.SubmitRequest{Id: string(j.ID), Steps: []*fleetpb.Step{{Tasks: 2}}}
		},
		FromPB: func(r *fleetpb.SubmitRequest) leased.Job {
			job := leased.Job{ID: leased.JobID(r.Id)}
			for _, s := range r.Steps {
				job.Steps = append(job.Steps, leased.Step{Tasks: int(s.GetTasks() % 100)})
			}
			return job
		},
	}
	job := leased.Job{ID: "j", Steps: []leased.Step{{Tasks: 2}}}
	task := leased.TaskID{Job: "j", Index: 1}
	for _, events := range [][]stored.Event{
		{{Kind: stored.JobAccepted, Job: "j", Spec: &job}, {Kind: stored.TaskEnded, Job: "j", Task: task, Run: leased.RunID{Number: 7}, Done: true}},
		{{Kind: stored.JobSnapshot, Job: "j", State: stored.Cancelled}, {Kind: stored.JobFailed, Job: "k"}},
		{{Kind: stored.JobAccepted, Job: "j"}},
	} {
		record, err := codec.encode(events)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(record)
	}
	f.Add([]byte("\xff\x00garbage"))
	f.Add([]byte("\x0a\x10\x08\x04\x12\x01j\x2a\x07\x20\xff\xff\xff\xff\x0f")) // billions of failures
	f.Add(bytes.Repeat([]byte("\x0b"), 20_000))                                // groups in groups
	f.Fuzz(func(t *testing.T, record []byte) {
		events, err := codec.decode(record, 0)
		if err != nil {
			return
		}
		shard := stored.New(stored.Options{Retain: time.Minute, SnapshotAge: time.Minute})
		shard.Replay(time.Now(), 0, events)
		shard.FinishReplay(time.Now())
	})
}
