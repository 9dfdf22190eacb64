package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lovagespread.example/client/callerapi"
)

// Result is a complete reply to a caller. Entries pass it on unchanged when a
// request is forwarded.
type Result struct {
	Status     int
	Body       []byte // JSON
	RetryAfter time.Duration
	Code       callerapi.Code // empty: an answer or a pending job
	Execution  callerapi.Execution
}

// ResultOf returns the problem as a complete reply.
func ResultOf(p *callerapi.Problem) Result {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte(`{}`)
	}
	return Result{
		Status:     p.Status,
		Body:       body,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
		Code:       p.Code,
		Execution:  p.Execution,
	}
}

// MediaType returns the content type of the body.
func (r Result) MediaType() string {
	if r.Status >= http.StatusBadRequest {
		return callerapi.ProblemMediaType
	}
	return "application/json"
}

// RetryAfterSeconds returns the value of the Retry-After header, in whole
// seconds rounded up, or an empty string.
func (r Result) RetryAfterSeconds() string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10)
}
