package handover

import (
	"encoding/json"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/problem"
	"lovagespread.example/peer/peerpb"
)

// Codec encodes and decodes handovers with the MAC keys of an entry. It is safe
// for concurrent use.
type Codec struct{ Verifier *jobid.Verifier }

// Encode returns the message of one part. submissions must contain the
// submission of every open job in the part.
func (c Codec) Encode(t *dispatch.Transfer, submissions map[jobid.ID]control.Submission) (*peerpb.HandOverRequest, error) {
	r := &peerpb.HandOverRequest{
		From:         uint64(t.Part.From),
		To:           uint64(t.Part.To),
		Session:      t.Part.Session,
		Number:       uint32(t.Part.Number),
		Last:         t.Part.Last,
		HorizonUnixS: t.Part.Horizon,
	}
	for _, owner := range t.Part.Owners {
		r.Owners = append(r.Owners, uint64(owner))
	}
	for i := range t.Part.Pages {
		r.Pages = append(r.Pages, encodePage(&t.Part.Pages[i]))
	}
	for i := range t.Part.Jobs {
		job, err := c.encodeJob(&t.Part.Jobs[i], &t.Jobs[i], submissions)
		if err != nil {
			return nil, err
		}
		r.Jobs = append(r.Jobs, job)
	}
	for i := range t.Answers {
		outcome, err := c.encodeAnswer(&t.Answers[i])
		if err != nil {
			return nil, err
		}
		r.Outcomes = append(r.Outcomes, outcome)
	}
	return r, nil
}

func (c Codec) text(id jobid.ID) (string, error) {
	text, ok := c.Verifier.Text(id)
	if !ok {
		return "", &UnknownKeyError{Job: id.String()}
	}
	return text, nil
}

func encodePage(p *ledger.PageRecord) *peerpb.TransferredPage {
	return &peerpb.TransferredPage{
		Owner:       uint64(p.Owner),
		Number:      p.Number,
		ExpiryUnixS: p.Expiry,
		KeepUnixS:   p.RetainUntil,
		Words:       p.Words,
	}
}

func (c Codec) encodeJob(record *ledger.JobRecord, job *dispatch.TransferredJob, submissions map[jobid.ID]control.Submission) (*peerpb.TransferredJob, error) {
	text, err := c.text(record.ID)
	if err != nil {
		return nil, err
	}
	submission, ok := submissions[record.ID]
	if !ok {
		return nil, &MissingSubmissionError{Job: record.ID.String()}
	}
	body, err := json.Marshal(submission.Job)
	if err != nil {
		return nil, &FieldError{Field: "jobs.body", Cause: err}
	}
	return &peerpb.TransferredJob{
		JobId:          text,
		State:          uint32(ledger.Open),
		Started:        record.PossibleStarts > 0,
		Begun:          uint32(record.PossibleStarts),
		GivenUp:        record.Cancelled,
		Tasks:          encodeTasks(record.Tasks, job.Results),
		Body:           body,
		Team:           submission.Team,
		Trace:          submission.TraceID,
		AdmittedUnixMs: job.Admitted.UnixMilli(),
		LongestUs:      job.Longest.Microseconds(),
	}, nil
}

func encodeTasks(records []ledger.TaskRecord, results [][]byte) []*peerpb.TransferredTask {
	tasks := make([]*peerpb.TransferredTask, len(records))
	for i, t := range records {
		tasks[i] = &peerpb.TransferredTask{
			State:      uint32(t.State),
			Idempotent: t.Idempotent,
			Attempt:    t.LastAttempt,
			Open:       t.Unresolved,
			Starter:    uint64(t.Starter),
			Result:     results[i],
		}
	}
	return tasks
}

// encodeAnswer returns the outcome of a job in the format of the caller API.
func (c Codec) encodeAnswer(a *dispatch.Answer) (*peerpb.TransferredJob, error) {
	text, err := c.text(a.ID)
	if err != nil {
		return nil, err
	}
	status, outcome := http.StatusOK, any(answerBody(text, a))
	if a.Problem != nil {
		p := problem.FromCore(a.Problem)
		status, outcome = p.Status, p
	}
	body, err := json.Marshal(outcome)
	if err != nil {
		return nil, &FieldError{Field: "outcomes.outcome", Cause: err}
	}
	return &peerpb.TransferredJob{
		JobId:         text,
		State:         uint32(ledger.Ended),
		Service:       a.Service,
		Outcome:       body,
		OutcomeStatus: int32(status),
	}, nil
}

func answerBody(text string, a *dispatch.Answer) *callerapi.Answer {
	body := &callerapi.Answer{
		ID:         text,
		Results:    make([]json.RawMessage, len(a.Results)),
		ResponseMS: milliseconds(a.Response),
		IdealMS:    milliseconds(a.Ideal),
	}
	for i, result := range a.Results {
		body.Results[i] = result
	}
	return body
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// EncodeStatusUpdates returns the message that sends status updates to a
// successor.
func (c Codec) EncodeStatusUpdates(from, to jobid.Incarnation, updates []dispatch.StatusUpdate) (*peerpb.HandOverRequest, error) {
	r := &peerpb.HandOverRequest{From: uint64(from), To: uint64(to)}
	for i := range updates {
		update := &updates[i]
		text, err := c.text(update.Task.Job)
		if err != nil {
			return nil, err
		}
		r.Told = append(r.Told, &peerpb.ToldFate{
			JobId:   text,
			Index:   uint32(update.Task.Index),
			Attempt: uint32(update.Attempt),
			Fate:    peerpb.Fate(update.Status) + 1,
			RunUs:   update.RunTime.Microseconds(),
			Result:  update.Result,
			Detail:  update.Detail,
		})
	}
	return r, nil
}
