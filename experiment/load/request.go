package load

import (
	"encoding/json"
	"fmt"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/standin/fakeendpoint"
)

// Request is a job to send.
type Request struct {
	Name  string        // unique within the run
	Due   time.Duration // since the start of the run
	Job   callerapi.Job
	Ideal time.Duration // true run time of the longest task
}

func requestName(run string, number int64) string {
	return fmt.Sprintf("%s-%d", run, number)
}

// newTask returns the task with index i of the named request.
func newTask(name string, i int, run, declared time.Duration) (callerapi.Task, error) {
	payload, err := json.Marshal(fakeendpoint.Payload{
		RunMS:   milliseconds(run),
		Request: name,
		Task:    i,
	})
	if err != nil {
		return callerapi.Task{}, err
	}
	return callerapi.Task{Payload: payload, DeclaredMS: milliseconds(declared)}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PartialError reports an answer that is not the complete answer to its request.
type PartialError struct {
	Request string
	Detail  string
}

func (e *PartialError) Error() string {
	return "request " + e.Request + ": " + e.Detail + ": keep the entries' logs and report it as a defect"
}

// Check returns a *PartialError unless the answer contains the result of each
// task of this request, in order.
func (r *Request) Check(answer callerapi.Answer) error {
	if len(answer.Results) != len(r.Job.Tasks) {
		return &PartialError{Request: r.Name, Detail: "the number of results differs from the number of tasks"}
	}
	for i, raw := range answer.Results {
		if !r.isResult(i, raw) {
			return &PartialError{Request: r.Name, Detail: "a result is missing or belongs to another task"}
		}
	}
	return nil
}

func (r *Request) isResult(i int, raw json.RawMessage) bool {
	var result fakeendpoint.Result
	var payload fakeendpoint.Payload
	if json.Unmarshal(raw, &result) != nil || json.Unmarshal(result.Payload, &payload) != nil {
		return false
	}
	return payload.Request == r.Name && payload.Task == i
}
