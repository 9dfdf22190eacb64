package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/entry/control"
	"lovagespread.example/peer/peerpb"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	key   = jobid.Key{Number: 1, Secret: bytes.Repeat([]byte{1}, jobid.MinKeyBytes)}
)

func newCodec(t *testing.T) (Codec, jobid.ID) {
	t.Helper()
	issuer, err := jobid.NewIssuer(1, key)
	if err != nil {
		t.Fatal(err)
	}
	verifier, err := jobid.NewVerifier(key)
	if err != nil {
		t.Fatal(err)
	}
	id, _ := issuer.Issue(epoch, time.Hour)
	return Codec{Verifier: verifier}, id
}

// exampleTransfer returns a part with a partly finished job.
func exampleTransfer(id jobid.ID) (*dispatch.Transfer, control.Submission) {
	submission := control.Submission{
		ID:      id,
		Label:   id.String(),
		Team:    "team",
		TraceID: "trace",
		Job: callerapi.Job{Service: "booking", Tasks: []callerapi.Task{
			{Payload: json.RawMessage(`{"n":1}`)},
			{Service: "valuation", DeclaredMS: 5, Needs: &callerapi.Needs{MilliCores: 3}},
		}},
	}
	record := ledger.JobRecord{ID: id, PossibleStarts: 2, Tasks: []ledger.TaskRecord{
		{State: ledger.Done, LastAttempt: 1},
		{State: ledger.Started, Idempotent: true, LastAttempt: 2, Unresolved: 3, Starter: 1},
	}}
	ended := id
	ended.Sequence++
	failed := ended
	failed.Sequence++
	return &dispatch.Transfer{
		Part: ledger.Part{
			From: 1, To: 2, Session: 3, Number: 4, Last: true, Horizon: 5,
			Owners: []jobid.Incarnation{1, 7},
			Jobs:   []ledger.JobRecord{record},
			Pages:  []ledger.PageRecord{{Owner: 1, Number: 2, Expiry: 3, RetainUntil: 4, Words: []uint64{5, 6}}},
		},
		Jobs: []dispatch.TransferredJob{{
			Submit:   *submission.Input(),
			Admitted: epoch,
			Results:  [][]byte{[]byte(`{"ok":true}`), nil},
			Longest:  7 * time.Millisecond,
		}},
		Answers: []dispatch.Answer{
			{ID: ended, Service: "booking", Results: [][]byte{[]byte(`1`)}, Response: 2 * time.Millisecond, Ideal: time.Millisecond},
			{ID: failed, Service: "booking", Problem: &dispatch.Problem{Code: dispatch.CodeTaskLost, Execution: dispatch.Ran, Detail: "d"}},
		},
	}, submission
}

// roundTrip encodes a message to bytes and back.
func roundTrip(t *testing.T, r *peerpb.HandOverRequest) *peerpb.HandOverRequest {
	t.Helper()
	data, err := proto.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var got peerpb.HandOverRequest
	if err := proto.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	return &got
}

func TestPartRoundTrip(t *testing.T) {
	codec, id := newCodec(t)
	transfer, submission := exampleTransfer(id)
	r, err := codec.Encode(transfer, map[jobid.ID]control.Submission{id: submission})
	if err != nil {
		t.Fatal(err)
	}
	got, err := codec.Decode(roundTrip(t, r))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(&got.Transfer, transfer) {
		t.Errorf("got  %+v\nwant %+v", got.Transfer, *transfer)
	}
	if len(got.Submissions) != 1 || !reflect.DeepEqual(got.Submissions[0], submission) {
		t.Errorf("got  %+v\nwant %+v", got.Submissions, submission)
	}
}

func TestStatusUpdatesRoundTrip(t *testing.T) {
	codec, id := newCodec(t)
	var updates []dispatch.StatusUpdate
	for _, status := range []ledger.AttemptStatus{ledger.AttemptDone, ledger.AttemptFailed, ledger.AttemptNotStarted, ledger.AttemptUnknown} {
		updates = append(updates, dispatch.StatusUpdate{
			Task: dispatch.TaskRef{Job: id, Index: 3}, Attempt: 2, Status: status,
			RunTime: time.Second, Result: []byte("r"), Detail: "d",
		})
	}
	r, err := codec.EncodeStatusUpdates(1, 2, updates)
	if err != nil {
		t.Fatal(err)
	}
	got, err := codec.DecodeStatusUpdates(roundTrip(t, r))
	if err != nil || !reflect.DeepEqual(got, updates) {
		t.Fatalf("got %+v, %v; want %+v", got, err, updates)
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	codec, id := newCodec(t)
	transfer, submission := exampleTransfer(id)
	for name, corrupt := range map[string]func(*peerpb.HandOverRequest){
		"job ID":     func(r *peerpb.HandOverRequest) { r.Jobs[0].JobId = "forged" },
		"body":       func(r *peerpb.HandOverRequest) { r.Jobs[0].Body = []byte("{") },
		"tasks":      func(r *peerpb.HandOverRequest) { r.Jobs[0].Tasks = r.Jobs[0].Tasks[:1] },
		"outcome ID": func(r *peerpb.HandOverRequest) { r.Outcomes[0].JobId = "forged" },
		"outcome":    func(r *peerpb.HandOverRequest) { r.Outcomes[0].Outcome = []byte("{") },
		"problem":    func(r *peerpb.HandOverRequest) { r.Outcomes[1].Outcome = []byte("{") },
	} {
		r, err := codec.Encode(transfer, map[jobid.ID]control.Submission{id: submission})
		if err != nil {
			t.Fatal(err)
		}
		corrupt(r)
		var field *FieldError
		if _, err := codec.Decode(r); !errors.As(err, &field) {
			t.Errorf("%s: got %v, want a FieldError", name, err)
		}
	}
	var missing *MissingSubmissionError
	if _, err := codec.Encode(transfer, nil); !errors.As(err, &missing) {
		t.Errorf("got %v, want a MissingSubmissionError", err)
	}
	var field *FieldError
	if _, err := codec.DecodeStatusUpdates(&peerpb.HandOverRequest{Told: []*peerpb.ToldFate{{JobId: "forged"}}}); !errors.As(err, &field) {
		t.Errorf("got %v, want a FieldError", err)
	}
}
