package handover

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/entry/control"
	"lovagespread.example/peer/peerpb"
)

// Part is one part of a handover with the submissions of its open jobs.
type Part struct {
	Transfer    dispatch.Transfer
	Submissions []control.Submission
}

// Decode converts the message of one part. The error is a *FieldError.
func (c Codec) Decode(r *peerpb.HandOverRequest) (*Part, error) {
	p := &Part{}
	p.Transfer.Part = ledger.Part{
		From:    jobid.Incarnation(r.GetFrom()),
		To:      jobid.Incarnation(r.GetTo()),
		Session: r.GetSession(),
		Number:  int(r.GetNumber()),
		Last:    r.GetLast(),
		Horizon: r.GetHorizonUnixS(),
	}
	for _, owner := range r.GetOwners() {
		p.Transfer.Part.Owners = append(p.Transfer.Part.Owners, jobid.Incarnation(owner))
	}
	for _, page := range r.GetPages() {
		p.Transfer.Part.Pages = append(p.Transfer.Part.Pages, decodePage(page))
	}
	for _, job := range r.GetJobs() {
		if err := c.decodeJob(p, job); err != nil {
			return nil, err
		}
	}
	for _, outcome := range r.GetOutcomes() {
		answer, err := c.decodeAnswer(outcome)
		if err != nil {
			return nil, err
		}
		p.Transfer.Answers = append(p.Transfer.Answers, answer)
	}
	return p, nil
}

func decodePage(p *peerpb.TransferredPage) ledger.PageRecord {
	return ledger.PageRecord{
		Owner:       jobid.Incarnation(p.GetOwner()),
		Number:      p.GetNumber(),
		Expiry:      p.GetExpiryUnixS(),
		RetainUntil: p.GetKeepUnixS(),
		Words:       p.GetWords(),
	}
}

func (c Codec) decodeJob(p *Part, job *peerpb.TransferredJob) error {
	id, err := c.Verifier.Parse(job.GetJobId())
	if err != nil {
		return &FieldError{Field: "jobs.job_id", Cause: err}
	}
	submission := control.Submission{ID: id, Label: id.String(), Team: job.GetTeam(), TraceID: job.GetTrace()}
	if err := json.Unmarshal(job.GetBody(), &submission.Job); err != nil {
		return &FieldError{Field: "jobs.body", Cause: err}
	}
	if len(submission.Job.Tasks) != len(job.GetTasks()) {
		return &FieldError{Field: "jobs.tasks", Cause: errors.New("the number of tasks differs from that in the body")}
	}
	record := ledger.JobRecord{ID: id, PossibleStarts: int(job.GetBegun()), Cancelled: job.GetGivenUp()}
	results := make([][]byte, len(job.GetTasks()))
	for i, t := range job.GetTasks() {
		record.Tasks = append(record.Tasks, decodeTask(t))
		results[i] = t.GetResult()
	}
	p.Submissions = append(p.Submissions, submission)
	p.Transfer.Part.Jobs = append(p.Transfer.Part.Jobs, record)
	p.Transfer.Jobs = append(p.Transfer.Jobs, dispatch.TransferredJob{
		Submit:   *submission.Input(),
		Admitted: time.UnixMilli(job.GetAdmittedUnixMs()),
		Results:  results,
		Longest:  time.Duration(job.GetLongestUs()) * time.Microsecond,
	})
	return nil
}

func decodeTask(t *peerpb.TransferredTask) ledger.TaskRecord {
	return ledger.TaskRecord{
		State:       ledger.TaskState(t.GetState()),
		Idempotent:  t.GetIdempotent(),
		LastAttempt: t.GetAttempt(),
		Unresolved:  t.GetOpen(),
		Starter:     jobid.Incarnation(t.GetStarter()),
	}
}

func (c Codec) decodeAnswer(outcome *peerpb.TransferredJob) (dispatch.Answer, error) {
	id, err := c.Verifier.Parse(outcome.GetJobId())
	if err != nil {
		return dispatch.Answer{}, &FieldError{Field: "outcomes.job_id", Cause: err}
	}
	answer := dispatch.Answer{ID: id, Service: outcome.GetService()}
	if outcome.GetOutcomeStatus() != http.StatusOK {
		return answer, decodeProblem(&answer, outcome.GetOutcome())
	}
	var body callerapi.Answer
	if err := json.Unmarshal(outcome.GetOutcome(), &body); err != nil {
		return answer, &FieldError{Field: "outcomes.outcome", Cause: err}
	}
	for _, result := range body.Results {
		answer.Results = append(answer.Results, result)
	}
	answer.Response = duration(body.ResponseMS)
	answer.Ideal = duration(body.IdealMS)
	return answer, nil
}

func decodeProblem(answer *dispatch.Answer, body []byte) error {
	var p callerapi.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return &FieldError{Field: "outcomes.outcome", Cause: err}
	}
	answer.Problem = &dispatch.Problem{
		Code:       dispatch.Code(p.Code),
		Execution:  dispatch.Execution(p.Execution),
		Detail:     p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
	return nil
}

func duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// DecodeStatusUpdates converts the status updates in a message. The error is a
// *FieldError.
func (c Codec) DecodeStatusUpdates(r *peerpb.HandOverRequest) ([]dispatch.StatusUpdate, error) {
	var updates []dispatch.StatusUpdate
	for _, t := range r.GetTold() {
		id, err := c.Verifier.Parse(t.GetJobId())
		if err != nil {
			return nil, &FieldError{Field: "told.job_id", Cause: err}
		}
		if t.GetFate() < peerpb.Fate_FATE_DONE || t.GetFate() > peerpb.Fate_FATE_UNKNOWN {
			return nil, &FieldError{Field: "told.fate", Cause: errors.New("unknown value")}
		}
		updates = append(updates, dispatch.StatusUpdate{
			Task:    dispatch.TaskRef{Job: id, Index: int(t.GetIndex())},
			Attempt: int(t.GetAttempt()),
			Status:  ledger.AttemptStatus(t.GetFate() - 1),
			RunTime: time.Duration(t.GetRunUs()) * time.Microsecond,
			Result:  t.GetResult(),
			Detail:  t.GetDetail(),
		})
	}
	return updates, nil
}
