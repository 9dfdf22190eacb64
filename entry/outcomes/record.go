package outcomes

import (
	"encoding/json"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/problem"
)

// maxRecordBytes is the maximum size of a record. Larger answers are not written.
const maxRecordBytes = 64 << 10

// record is the outcome of one job in the stream. It does not contain the MAC of
// the job ID, so a reader of the log cannot use it to request the job.
type record struct {
	Owner    jobid.Incarnation  `json:"owner"`
	Sequence uint64             `json:"sequence"`
	Answer   *callerapi.Answer  `json:"answer,omitempty"`
	Problem  *callerapi.Problem `json:"problem,omitempty"`
}

func recordOf(a *dispatch.Answer) record {
	r := record{Owner: a.ID.Owner, Sequence: a.ID.Sequence}
	if a.Problem != nil {
		r.Problem = problem.FromCore(a.Problem)
		return r
	}
	r.Answer = &callerapi.Answer{
		Results:    make([]json.RawMessage, len(a.Results)),
		ResponseMS: float64(a.Response) / float64(time.Millisecond),
		IdealMS:    float64(a.Ideal) / float64(time.Millisecond),
	}
	for i, result := range a.Results {
		r.Answer.Results[i] = result
	}
	return r
}

// result returns the reply to a caller that uses the given text form of the ID.
func (r *record) result(text string) (problem.Result, bool) {
	if r.Problem != nil {
		return problem.ResultOf(r.Problem), true
	}
	if r.Answer == nil {
		return problem.Result{}, false
	}
	answer := *r.Answer
	answer.ID = text
	body, err := json.Marshal(answer)
	if err != nil {
		return problem.Result{}, false
	}
	return problem.Result{Status: http.StatusOK, Body: body, Execution: callerapi.Ran}, true
}
