// Package adminhttp serves the administration API of an entry on the operators'
// listener.
package adminhttp

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/http/pprof"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/adminapi"
	_ "lovagespread.example/entry/apierror" // makes huma report errors as callerapi.Problem
	"lovagespread.example/entry/callerhttp"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/explain"
	"lovagespread.example/entry/token"
	"lovagespread.example/membership"
)

// Options are the dependencies of the administration API.
type Options struct {
	Loop          *control.Loop
	Decisions     *explain.Ring
	Configuration func() (version uint64, digest []byte)
	Ready         func() error
	Stop          func() // begins a planned stop; returns immediately
	Metrics       http.Handler
	Operators     *token.Set
	Log           *zap.Logger
	Version       string
}

type server struct{ opts Options }

type operatorKey struct{}

// NewHandler returns the handler of the operators' listener. Metrics and
// readiness need no authentication; all other paths need the token of an
// operator.
func NewHandler(opts Options) http.Handler {
	s := &server{opts: opts}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("lovagespread administration API", opts.Version)
	config.CreateHooks = nil
	config.DocsPath = ""
	api := humago.New(mux, config)
	api.UseMiddleware(s.authenticate(api))
	huma.Get(api, "/v1/status", s.status)
	huma.Get(api, "/v1/jobs/{label}/decisions", s.decisions)
	huma.Post(api, "/v1/stop", s.stop)
	mux.Handle("GET /metrics", opts.Metrics)
	mux.HandleFunc("GET /readyz", callerhttp.Readyz(opts.Ready))
	for path, profile := range map[string]http.HandlerFunc{
		"GET /debug/pprof/":        pprof.Index,
		"GET /debug/pprof/profile": pprof.Profile,
		"GET /debug/pprof/trace":   pprof.Trace,
	} {
		mux.Handle(path, opts.Operators.Require(profile))
	}
	return mux
}

func (s *server) authenticate(api huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		r, _ := humago.Unwrap(ctx)
		operator, ok := s.opts.Operators.Authenticate(r)
		if !ok {
			_ = huma.WriteErr(api, ctx, http.StatusUnauthorized, "the bearer token is missing or unknown: send Authorization: Bearer with your operator token")
			return
		}
		next(huma.WithValue(ctx, operatorKey{}, operator))
	}
}

type statusOutput struct{ Body adminapi.Status }

func (s *server) status(context.Context, *struct{}) (*statusOutput, error) {
	snapshot := s.opts.Loop.Snapshot()
	version, digest := s.opts.Configuration()
	status := adminapi.Status{
		Entry:         entryOf(snapshot.View.Self),
		Ready:         true,
		Configuration: adminapi.Configuration{Version: version, Digest: hex.EncodeToString(digest)},
		OpenJobs:      s.opts.Loop.OpenJobs(),
		Evacuation:    evacuationOf(snapshot.Evacuation),
		Loads:         lo.Map(snapshot.Loads, func(l control.ServiceLoad, _ int) adminapi.Load { return adminapi.Load(l) }),
		Others:        othersOf(&snapshot.View),
		Endpoints:     lo.Map(snapshot.View.Endpoints, func(e membership.Endpoint, _ int) adminapi.Endpoint { return endpointOf(e) }),
	}
	if err := s.opts.Ready(); err != nil {
		status.Ready, status.Reason = false, err.Error()
	}
	return &statusOutput{Body: status}, nil
}

func evacuationOf(e control.Evacuation) adminapi.Evacuation {
	return adminapi.Evacuation{Phase: e.Phase.String(), Running: e.Running}
}

func othersOf(v *membership.View) []adminapi.Entry {
	list := lo.Map(v.Others, func(e membership.Entry, _ int) adminapi.Entry { return entryOf(e) })
	for _, e := range v.ListedOnly {
		listed := entryOf(e)
		listed.State = "unheard"
		list = append(list, listed)
	}
	return list
}

func entryOf(e membership.Entry) adminapi.Entry {
	out := adminapi.Entry{
		Name:          e.Name,
		Address:       e.Address,
		Region:        e.Region,
		FailureDomain: e.FailureDomain,
		State:         e.State.String(),
		Ended:         e.Ended,
	}
	if e.Incarnation != 0 {
		out.Incarnation = jobid.Incarnation(e.Incarnation).String()
	}
	if e.Successor != 0 {
		out.Successor = jobid.Incarnation(e.Successor).String()
	}
	return out
}

func endpointOf(e membership.Endpoint) adminapi.Endpoint {
	return adminapi.Endpoint{
		Name:          e.Name,
		Address:       e.Address,
		Service:       e.Service,
		Slots:         e.Slots,
		FailureDomain: e.FailureDomain,
		Rack:          e.Rack,
		Worker:        e.Worker,
		State:         e.State.String(),
	}
}

type decisionsInput struct {
	Label string `path:"label" maxLength:"64" doc:"Label of the job in the log"`
}

type decisionsOutput struct{ Body adminapi.Decisions }

func (s *server) decisions(_ context.Context, in *decisionsInput) (*decisionsOutput, error) {
	list := s.opts.Decisions.ForJob(in.Label)
	if len(list) == 0 {
		return nil, huma.Error404NotFound("this entry keeps no decision about the job: ask its owner, or search the log")
	}
	return &decisionsOutput{Body: adminapi.Decisions{Decisions: list}}, nil
}

type stopOutput struct{ Status int }

// stop begins a planned stop and writes an audit line.
func (s *server) stop(ctx context.Context, _ *struct{}) (*stopOutput, error) {
	operator, _ := ctx.Value(operatorKey{}).(string)
	s.opts.Log.Info("audit", zap.String("operator", operator), zap.String("action", "stop"))
	s.opts.Stop()
	return &stopOutput{Status: http.StatusAccepted}, nil
}
