// Package peerserver serves other entries over twirp.
package peerserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/problem"
	"lovagespread.example/entry/token"
	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/peer/peerpb"
)

// maxBodyBytes is the maximum size of the body of a message between entries.
const maxBodyBytes = 64 << 20

// Jobs serves forwarded requests.
type Jobs interface {
	Serve(ctx context.Context, r jobs.Request) (problem.Result, bool)
}

// Heartbeats handles heartbeats from other entries.
type Heartbeats interface {
	Received(r *peerpb.HeartbeatRequest) *peerpb.HeartbeatResponse
}

// Configurations returns this entry's configuration if it is newer.
type Configurations interface {
	Newer(ctx context.Context, than uint64) (*peerpb.ConfigurationResponse, error)
}

// VMLists returns the latest list of VMs, or nil if there is none yet.
type VMLists interface {
	Latest() *platformapi.VMList
}

// Handovers receives the ledgers of entries that stop.
type Handovers interface {
	HandOver(ctx context.Context, r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error)
}

// Options are the dependencies of the server.
type Options struct {
	Jobs           Jobs
	Heartbeats     Heartbeats
	Configurations Configurations
	VMLists        VMLists
	Handovers      Handovers
	Tokens         *token.Set
}

type server struct{ opts Options }

var _ peerpb.Peer = (*server)(nil)

// NewHandler returns the handler of the peer listener.
func NewHandler(opts Options) http.Handler {
	handler := peerpb.NewPeerServer(&server{opts: opts})
	return authenticate(opts.Tokens, limit(handler))
}

func authenticate(tokens *token.Set, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := tokens.Authenticate(r); !ok {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "unknown peer token: use the same tokens.peers_file on all entries"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Heartbeat implements peerpb.Peer.
func (s *server) Heartbeat(_ context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if r.GetFrom().GetIncarnation() == 0 {
		return nil, twirp.RequiredArgumentError("from.incarnation")
	}
	return s.opts.Heartbeats.Received(r), nil
}

// Members implements peerpb.Peer.
func (s *server) Members(context.Context, *peerpb.MembersRequest) (*peerpb.MembersResponse, error) {
	list := s.opts.VMLists.Latest()
	if list == nil {
		return &peerpb.MembersResponse{}, nil
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.MembersResponse{Known: true, List: text}, nil
}

// Forward implements peerpb.Peer.
func (s *server) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	request, err := requestOf(r)
	if err != nil {
		return nil, err
	}
	result, ok := s.opts.Jobs.Serve(ctx, request)
	if !ok {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this entry does not own the job ID: look up its owner again")
	}
	return &peerpb.ForwardResponse{
		Status:       int32(result.Status),
		Body:         result.Body,
		RetryAfterMs: result.RetryAfter.Milliseconds(),
	}, nil
}

func requestOf(r *peerpb.ForwardRequest) (jobs.Request, error) {
	request := jobs.Request{
		JobID:       r.GetJobId(),
		Body:        r.GetBody(),
		Wait:        min(time.Duration(r.GetWaitMs())*time.Millisecond, callerapi.MaxWait),
		Team:        r.GetTeam(),
		Traceparent: r.GetTraceparent(),
	}
	switch r.GetMethod() {
	case peerpb.Method_METHOD_SUBMIT:
		request.Method = jobs.Submit
	case peerpb.Method_METHOD_ASK:
		request.Method = jobs.Ask
	case peerpb.Method_METHOD_CANCEL:
		request.Method = jobs.Cancel
	default:
		return request, twirp.InvalidArgumentError("method", "is unknown: use the same release on all entries")
	}
	return request, nil
}

// Configuration implements peerpb.Peer.
func (s *server) Configuration(ctx context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	return s.opts.Configurations.Newer(ctx, r.GetNewerThan())
}

// HandOver implements peerpb.Peer.
func (s *server) HandOver(ctx context.Context, r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	return s.opts.Handovers.HandOver(ctx, r)
}
