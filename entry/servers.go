package entry

import (
	"net/http"

	"github.com/samber/do/v2"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/callerhttp"
	"lovagespread.example/entry/forward"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/listen"
	"lovagespread.example/entry/observe"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/tlsfiles"
	"lovagespread.example/entry/token"
)

func newServers(i do.Injector, e *Entry) ([]*server, error) {
	open := do.MustInvoke[*listeners](i)
	callers, err := newCallerHandler(i, e.ready)
	if err != nil {
		return nil, err
	}
	peers, err := newPeerHandler(i)
	if err != nil {
		return nil, err
	}
	admin, err := newAdminHandler(i, e)
	if err != nil {
		return nil, err
	}
	tlsSource, err := do.Invoke[*tlsfiles.Source](i)
	if err != nil {
		return nil, err
	}
	return []*server{
		{name: "caller", listener: tlsSource.ServerListener(open.caller), http: listen.NewServer(callers)},
		{name: "peer", listener: tlsSource.PeerListener(open.peer), http: listen.NewServer(peers)},
		{name: "admin", listener: tlsSource.ServerListener(open.admin), http: listen.NewServer(admin)},
	}, nil
}

func newCallerHandler(i do.Injector, ready func() error) (http.Handler, error) {
	s := do.MustInvoke[settings.Settings](i)
	tokens, err := token.Load(s.Tokens.CallersFile)
	if err != nil {
		return nil, err
	}
	issuer, err := do.Invoke[*jobs.Issuer](i)
	if err != nil {
		return nil, err
	}
	service, err := do.Invoke[*jobs.Service](i)
	if err != nil {
		return nil, err
	}
	return callerhttp.NewHandler(callerhttp.Options{
		Jobs:         service,
		Issuer:       issuer,
		Tokens:       tokens,
		Ready:        ready,
		Observer:     do.MustInvoke[*observe.Observer](i),
		MaxBodyBytes: int64(s.Limits.MaxBodyBytes),
		Version:      Version,
	}), nil
}

func newJobs(i do.Injector) (*jobs.Service, error) {
	verifier, err := do.Invoke[*jobid.Verifier](i)
	if err != nil {
		return nil, err
	}
	e, err := do.Invoke[*engine](i)
	if err != nil {
		return nil, err
	}
	forwarder, err := do.Invoke[*forward.Forwarder](i)
	if err != nil {
		return nil, err
	}
	return jobs.NewService(verifier, e.loop, forwarder), nil
}
