package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/fleet"
	"lovagespread.example/fleet/callerconn"
	"lovagespread.example/fleet/eventlog"
	"lovagespread.example/platform"
)

// Durations of a planned stop.
const (
	// connectionDrainTime is how long new connections may still arrive after the process
	// reports that it is not ready: the balancer polls once a second and removes
	// an entry after two failed checks.
	connectionDrainTime = 2400 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for closing
	// connections and the log.
	stopReserve = 500 * time.Millisecond
	// answerReserve is the time before the end of the other phases in which requests that
	// are still open are answered: their jobs may take much longer than the stop.
	answerReserve    = 300 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
	// maxUnusedTime is how long a connection may be open without a request before a stop
	// closes it. A caller that means to use it sends its request at once.
	maxUnusedTime = time.Second
	// signalCheckInterval is half of the time by which a signal to stop is at most assumed
	// to have arrived too early.
	signalCheckInterval = 50 * time.Millisecond
)

// Limits of callers' connections. The header and idle limits of the
// configuration are not applied to the servers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// serve runs the process until it fails or receives a signal to stop.
func serve(path string, file *platform.File) error {
	injector := newInjector(file)
	log := do.MustInvoke[*eventlog.Log](injector)
	defer log.Close()
	process, err := do.Invoke[*fleet.Process](injector)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log.Info("started", startedFields(file)...)

	callers, err := listen(file.Listen.Front, do.MustInvoke[*platform.Ingress](injector), log)
	if err != nil {
		return err
	}
	readiness, err := listen(file.Listen.Readiness, platform.Readiness(process.Service()), log)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	process.Follow(ctx, do.MustInvoke[*platform.Store](injector).Sources(file))

	settingsChanged := make(chan struct{}, 1)
	go watchSettings(ctx, path, settingsChanged)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	wakeUps := time.NewTicker(signalCheckInterval)
	defer wakeUps.Stop()
	waitingSince := time.Now()
	for {
		// A signal that is handled now may have arrived as early as the previous wait
		// began, since the order in which events are handled is random.
		previousWait := waitingSince
		waitingSince = time.Now()
		select {
		case <-wakeUps.C:
		case err := <-done:
			return err
		case <-settingsChanged:
			reload(path, process, log.Logger)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(path, process, log.Logger)
				continue
			}
			stop(process, callers, readiness, stopTimes{grace: process.Grace(), requested: previousWait}, log.Logger)
			return nil
		}
	}
}

// startedFields returns the fields of the log line that reports the start.
func startedFields(file *platform.File) []zap.Field {
	return []zap.Field{
		zap.String("version", command.Version()), zap.String("name", file.NodeName), zap.String("failure_domain", file.Zone),
		zap.Strings("shortage_parts", file.ShortageParts()), zap.Any("settings", file),
	}
}

// reload reads the settings file again. It applies only the seeds. Changes of
// other settings need a restart.
func reload(path string, process *fleet.Process, log *zap.Logger) {
	file, err := platform.ReadSettings(path)
	if err != nil {
		log.Error("reload_failed", zap.Error(err))
		return
	}
	process.AddSeeds(file.SeedHeartbeatAddresses())
	log.Info("reloaded", zap.Any("settings", file))
}

// server is an HTTP server and its connections.
type server struct {
	http.Server
	connections *connections
}

func newServer(handler http.Handler) *server {
	s := &server{connections: newConnections()}
	s.Handler, s.ConnState = handler, s.connections.observe
	s.ConnContext = callerconn.WithConn
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	return s
}

// shutDown stops accepting connections, and waits until all requests are answered or
// the context ends. Connections that stay without a request are closed: the server
// would wait for 5 s for each, and callers open some that they may never use.
func (s *server) shutDown(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			s.connections.closeUnused(maxUnusedTime)
		}
	}
}

func listen(address string, handler http.Handler, log *eventlog.Log) (*server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen: free the address or choose another one")
	}
	server := newServer(handler)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("server_ended", zap.String("address", address), zap.Error(err))
		}
	}()
	return server, nil
}

// stopTimes are the times of a planned stop.
type stopTimes struct {
	grace time.Duration
	// requested is the earliest time at which the signal may have arrived. Without
	// processor time, the process handles it late, and has less of the grace period left.
	requested time.Time
}

// deadline returns when open requests are cut off.
func (t stopTimes) deadline() time.Time { return t.requested.Add(t.grace - stopReserve) }

// stoppable is what stop needs from a process.
type stoppable interface {
	Leave()
	EndRequests()
	ActiveWork() int
}

// stop ends the process gracefully. Other entries take over its endpoints and
// jobs, the process stops accepting connections, and open requests are answered
// within the grace period. Each phase is logged with its duration.
func stop(process stoppable, callers, readiness *server, times stopTimes, log *zap.Logger) {
	phaseBegan := time.Now()
	log.Info("stopping", zap.Duration("grace_ms", times.grace), zap.Duration("late_ms", phaseBegan.Sub(times.requested)))
	endPhase := func(name string) {
		active, unused := callers.connections.counts()
		log.Info("stop_phase", zap.String("phase", name), zap.Duration("took_ms", time.Since(phaseBegan)),
			zap.Int("open_work", process.ActiveWork()), zap.Int("open_requests", active), zap.Int("unused_connections", unused))
		phaseBegan = time.Now()
	}
	ctx, cancel := context.WithDeadline(context.Background(), times.deadline())
	defer cancel()
	process.Leave()
	pause(ctx, connectionDrainTime)
	endPhase("drain_connections")
	lastAnswers := time.AfterFunc(time.Until(times.deadline())-answerReserve, process.EndRequests)
	defer lastAnswers.Stop()
	if err := callers.shutDown(ctx); err != nil {
		log.Warn("stopped_with_open_requests", zap.Error(err))
	}
	endPhase("answer_requests")
	for process.ActiveWork() > 0 && ctx.Err() == nil {
		pause(ctx, idlePollInterval)
	}
	endPhase("finish_work")
	// Readiness requests need no graceful shutdown.
	_ = readiness.Close()
	log.Info("ended", zap.Duration("took_ms", time.Since(times.requested)))
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
