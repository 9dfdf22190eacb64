package callerhttp

import (
	"context"
	"net/http"
	"reflect"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/apierror"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/problem"
)

type issueInput struct {
	Body callerapi.IDsRequest
}

type issueOutput struct {
	Body callerapi.IDsResponse
}

// JobInput holds the parameters common to all operations on one job.
type JobInput struct {
	ID          string `path:"id" maxLength:"128" doc:"Job ID"`
	Wait        string `query:"wait" maxLength:"16" example:"30s" doc:"How long to wait for the answer, at most 60s"`
	Traceparent string `header:"traceparent" maxLength:"256" doc:"W3C trace context"`
}

type submitInput struct {
	JobInput
	RawBody []byte `contentType:"application/json"`
}

// output is a reply whose body is already encoded.
type output struct {
	Status      int
	ContentType string `header:"Content-Type"`
	RetryAfter  string `header:"Retry-After"`
	Body        []byte
}

func (s *server) issue(_ context.Context, in *issueInput) (*issueOutput, error) {
	if err := s.opts.Ready(); err != nil {
		p := problem.Retry(callerapi.CodeNotReady, callerapi.NotRun, err.Error(), time.Second)
		return nil, &apierror.Error{Problem: p}
	}
	return &issueOutput{Body: s.opts.Issuer.Issue(time.Now(), in.Body.Count)}, nil
}

func (s *server) submit(ctx context.Context, in *submitInput) (*output, error) {
	return s.do(ctx, jobs.Submit, &in.JobInput, in.RawBody)
}

func (s *server) ask(ctx context.Context, in *JobInput) (*output, error) {
	return s.do(ctx, jobs.Ask, in, nil)
}

func (s *server) cancel(ctx context.Context, in *JobInput) (*output, error) {
	return s.do(ctx, jobs.Cancel, in, nil)
}

func (s *server) do(ctx context.Context, method jobs.Method, in *JobInput, body []byte) (*output, error) {
	wait, err := parseWait(in.Wait)
	if err != nil {
		p := problem.New(callerapi.CodeBadRequest, s.opts.Jobs.Execution(ctx, in.ID), err.Error())
		return nil, &apierror.Error{Problem: p}
	}
	clearReadDeadline(ctx)
	r := s.opts.Jobs.Do(ctx, jobs.Request{
		Method:      method,
		JobID:       in.ID,
		Body:        body,
		Wait:        wait,
		Team:        teamOf(ctx),
		Traceparent: in.Traceparent,
	})
	s.opts.Observer.Replied(r)
	return &output{
		Status:      r.Status,
		ContentType: r.MediaType(),
		RetryAfter:  r.RetryAfterSeconds(),
		Body:        r.Body,
	}, nil
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > callerapi.MaxWait {
		return 0, &WaitError{Value: text}
	}
	return wait, nil
}

// WaitError reports an invalid value of the query parameter wait.
type WaitError struct{ Value string }

func (e *WaitError) Error() string {
	return "wait=" + e.Value + " is not a duration from 0s to " + callerapi.MaxWait.String() + ": write it as 30s"
}

// operation returns a huma operation with its limits and response schemas.
func (s *server) operation(api huma.API, method, path, id, summary string) huma.Operation {
	op := huma.Operation{
		OperationID:     id,
		Method:          method,
		Path:            path,
		Summary:         summary,
		MaxBodyBytes:    s.opts.MaxBodyBytes,
		BodyReadTimeout: bodyReadTimeout,
		Responses: map[string]*huma.Response{
			"default": {
				Description: "The request was rejected or the job failed",
				Content:     map[string]*huma.MediaType{callerapi.ProblemMediaType: s.mediaType(api, callerapi.Problem{}, "Problem")},
			},
		},
	}
	if method == http.MethodPost {
		return op
	}
	op.Responses["200"] = s.response(api, "The answer of the job, with the results of all tasks", callerapi.Answer{}, "Answer")
	op.Responses["202"] = s.response(api, "The job was admitted and has not ended", callerapi.Pending{}, "Pending")
	return op
}

func (s *server) response(api huma.API, description string, body any, name string) *huma.Response {
	return &huma.Response{
		Description: description,
		Content:     map[string]*huma.MediaType{"application/json": s.mediaType(api, body, name)},
	}
}

func (s *server) mediaType(api huma.API, body any, name string) *huma.MediaType {
	schema := api.OpenAPI().Components.Schemas.Schema(reflect.TypeOf(body), true, name)
	return &huma.MediaType{Schema: schema}
}
