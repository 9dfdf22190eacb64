package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"lovagespread.example/entry/configuration"
	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/heartbeat"
	"lovagespread.example/entry/outcomes"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/succession"
	"lovagespread.example/entry/vmlist"
	"lovagespread.example/entry/wire"
	"lovagespread.example/logservice/appender"
	"lovagespread.example/logservice/follow"
	"lovagespread.example/membership"
)

// Version is the version of the entry shown in the OpenAPI documents.
const Version = "0.1.0"

// Entry is one entry process. Create it with New, run it with Run.
type Entry struct {
	settings       settings.Settings
	log            *decisionlog.Log
	listeners      *listeners
	self           membership.Entry
	engine         *engine
	vmPoller       *vmlist.Poller
	follower       *follow.Follower
	syncer         *configuration.Syncer
	appender       *appender.Appender
	outcomes       *outcomes.Writer
	announcer      *heartbeat.Announcer
	heartbeat      *heartbeat.Heartbeater
	handoverSender *succession.Sender
	servers        []*server
	stopping       atomic.Bool
	stopRequested  chan struct{} // closed when an operator asks for a stop
	stopOnce       sync.Once
}

// server is one HTTP server with its listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// options are the parameters of New that are not in the settings.
type options struct {
	network wire.Network
}

// Option changes how New builds an entry.
type Option func(*options)

// WithNetwork makes an entry listen and connect on the given network. The
// default is TCP.
func WithNetwork(network wire.Network) Option {
	return func(o *options) { o.network = network }
}

// New opens the listeners and builds all components. It starts no goroutine;
// Run does.
func New(s settings.Settings, opts ...Option) (*Entry, error) {
	o := options{network: wire.TCP{}}
	for _, option := range opts {
		option(&o)
	}
	injector := newInjector(s, o)
	e, err := build(injector)
	if err == nil {
		return e, nil
	}
	if opened, openErr := do.Invoke[*listeners](injector); openErr == nil {
		opened.close()
	}
	return nil, err
}

func build(i do.Injector) (*Entry, error) {
	e := &Entry{settings: do.MustInvoke[settings.Settings](i), stopRequested: make(chan struct{})}
	for _, set := range []func() error{
		func() (err error) { e.log, err = do.Invoke[*decisionlog.Log](i); return err },
		func() (err error) { e.listeners, err = do.Invoke[*listeners](i); return err },
		func() (err error) { e.self, err = do.Invoke[membership.Entry](i); return err },
		func() (err error) { e.engine, err = do.Invoke[*engine](i); return err },
		func() (err error) { e.follower, err = do.Invoke[*follow.Follower](i); return err },
		func() (err error) { e.syncer, err = do.Invoke[*configuration.Syncer](i); return err },
		func() (err error) { e.appender, err = do.Invoke[*appender.Appender](i); return err },
		func() (err error) { e.outcomes, err = do.Invoke[*outcomes.Writer](i); return err },
		func() (err error) { e.announcer, err = do.Invoke[*heartbeat.Announcer](i); return err },
		func() (err error) { e.heartbeat, err = do.Invoke[*heartbeat.Heartbeater](i); return err },
		func() (err error) { e.handoverSender, err = do.Invoke[*succession.Sender](i); return err },
		func() (err error) { e.vmPoller, err = do.Invoke[*vmlist.Poller](i); return err },
		func() (err error) { e.servers, err = newServers(i, e); return err },
	} {
		if err := set(); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// ConfigurationVersion returns the version of the configuration in force, or
// 0 if there is none yet.
func (e *Entry) ConfigurationVersion() uint64 { return e.engine.loop.Snapshot().Catalog.Version }

// CallerAddr returns the address of the caller listener.
func (e *Entry) CallerAddr() string { return e.listeners.caller.Addr().String() }

// PeerAddr returns the address of the listener for other entries.
func (e *Entry) PeerAddr() string { return e.listeners.peer.Addr().String() }

// AdminAddr returns the address of the operators' listener.
func (e *Entry) AdminAddr() string { return e.listeners.admin.Addr().String() }

// Run serves until the context ends, an operator requests a stop or a listener
// fails. It then stops gracefully: requests in flight may complete until
// Limits.StopTimeout has passed. It returns nil after a stop that ended all
// jobs.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for _, component := range e.components() {
		running.Go(func() { component(background) })
	}
	failed := make(chan error, len(e.servers))
	for _, s := range e.servers {
		running.Go(func() { s.serve(failed) })
	}
	e.log.Info("started", zap.String("entry", e.self.Name), zap.Stringer("incarnation", incarnationOf(e.self)),
		zap.String("caller", e.CallerAddr()), zap.String("peer", e.PeerAddr()), zap.String("admin", e.AdminAddr()))
	err := e.awaitStop(ctx, failed)
	err = errors.Join(err, e.stop())
	cancel()
	running.Wait()
	return errors.Join(err, e.log.Close())
}

// components returns the functions that Run calls in goroutines of their own,
// besides the servers.
func (e *Entry) components() []func(context.Context) {
	return []func(context.Context){
		e.engine.loop.Run,
		e.engine.client.RunHeartbeats,
		e.vmPoller.Run,
		e.heartbeat.Run,
		e.outcomes.Run,
		func(ctx context.Context) { _ = e.appender.Run(ctx) },
		func(ctx context.Context) { _ = e.follower.Run(ctx) },
	}
}

func (s *server) serve(failed chan<- error) {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.Wrap(err, s.name+" listener")
	}
}

func (e *Entry) awaitStop(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-e.stopRequested:
		return nil
	case err := <-failed:
		return err
	}
}

// requestStop makes Run stop gracefully.
func (e *Entry) requestStop() { e.stopOnce.Do(func() { close(e.stopRequested) }) }

// ready returns nil if the entry accepts new jobs, and otherwise the reason
// why callers should use another entry.
func (e *Entry) ready() error {
	if e.stopping.Load() {
		return &NotReadyError{Reason: "this entry is stopping: use another one"}
	}
	snapshot := e.engine.loop.Snapshot()
	if snapshot.Catalog.Version == 0 {
		return &NotReadyError{Reason: e.syncer.UnavailableReason()}
	}
	// Without another domain, callers get the entry's own refusal, which says when
	// to retry.
	if !snapshot.Evacuation.Admits && snapshot.OtherDomainServes() {
		return &NotReadyError{Reason: "operators have evacuated the failure domain " + e.self.FailureDomain + ": use an entry of another one"}
	}
	if !e.heartbeat.Announced() {
		return &NotReadyError{Reason: "the other entries do not know this one yet: it is ready in a few seconds"}
	}
	return nil
}

// NotReadyError reports why an entry accepts no new jobs.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return e.Reason }

// openJobsPollInterval is the time between checks of the open jobs during a planned
// stop.
const openJobsPollInterval = 20 * time.Millisecond
