// Package callerhttp serves the caller API over HTTP. The semantics of jobs are
// in package jobs.
package callerhttp

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/apierror"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/problem"
	"lovagespread.example/entry/token"
)

// bodyReadTimeout bounds the reading of one request body.
const bodyReadTimeout = 10 * time.Second

// Jobs serves requests about jobs.
type Jobs interface {
	apierror.ExecutionResolver
	Do(ctx context.Context, r jobs.Request) problem.Result
}

// Issuer issues job IDs.
type Issuer interface {
	Issue(now time.Time, count int) callerapi.IDsResponse
}

// Observer is notified of each reply. Its methods do not block.
type Observer interface {
	Replied(problem.Result)
}

// Options are the dependencies and limits of the caller API.
type Options struct {
	Jobs         Jobs
	Issuer       Issuer
	Tokens       *token.Set
	Ready        func() error // nil: the entry accepts requests
	Observer     Observer
	MaxBodyBytes int64 // default callerapi.MaxBodyBytes
	Version      string
}

type server struct{ opts Options }

// NewHandler returns the handler of the caller listener.
func NewHandler(opts Options) http.Handler {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = callerapi.MaxBodyBytes
	}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("lovagespread caller API", opts.Version)
	config.CreateHooks = nil
	config.DocsPath = ""
	api := humago.New(mux, config)
	s := &server{opts: opts}
	api.UseMiddleware(s.authenticate(api))
	s.register(api)
	mux.HandleFunc("GET /healthz", healthz)
	mux.HandleFunc("GET /readyz", Readyz(opts.Ready))
	mux.HandleFunc("/", notFound)
	return withResponseController(mux)
}

func (s *server) register(api huma.API) {
	huma.Register(api, s.operation(api, http.MethodPost, "/v1/job-ids", "obtain-job-ids", "Obtain job IDs ahead of time"), s.issue)
	submit := s.operation(api, http.MethodPut, "/v1/jobs/{id}", "submit-job", "Submit a job and wait for its answer")
	submit.SkipValidateBody = true
	submit.RequestBody = &huma.RequestBody{Required: true, Content: map[string]*huma.MediaType{}}
	huma.Register(api, submit, s.submit)
	submit.RequestBody.Content["application/json"] = s.mediaType(api, callerapi.Job{}, "Job")
	ask := s.operation(api, http.MethodGet, "/v1/jobs/{id}", "ask-job", "Get the answer of a job, waiting for it if requested")
	huma.Register(api, ask, s.ask)
	cancel := s.operation(api, http.MethodDelete, "/v1/jobs/{id}", "cancel-job", "Cancel a job")
	huma.Register(api, cancel, s.cancel)
}

// healthz reports that the process is running.
func healthz(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// Readyz returns a handler that replies 200 if ready returns nil, and otherwise
// 503 with the reason.
func Readyz(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, problem.ResultOf(problem.NotRun(callerapi.CodeNotFound,
		"this API has no such path and method: see /openapi.json")))
}

func writeResult(w http.ResponseWriter, r problem.Result) {
	w.Header().Set("Content-Type", r.MediaType())
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
