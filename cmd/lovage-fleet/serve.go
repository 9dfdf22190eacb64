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
	"lovagespread.example/fleet/eventlog"
	"lovagespread.example/platform"
)

// Times of a planned stop.
const (
	// leaveTime is how long new connections may still come after readiness is
	// off: the balancer looks once a second and wants two misses.
	leaveTime = 2400 * time.Millisecond
	// stopReserve is kept of the grace for closing connections and the log.
	stopReserve = 500 * time.Millisecond
	stopLook    = 50 * time.Millisecond
)

// Bounds of callers' connections, until the configuration names others.
const (
	headTimeout = 5 * time.Second
	idleTimeout = 60 * time.Second
	maxHead     = 16 << 10
)

// serve runs the process until it is told to stop.
func serve(path string, file *platform.File) error {
	i := inject(file)
	log := do.MustInvoke[*eventlog.Log](i)
	defer log.Close()
	process, err := do.Invoke[*fleet.Process](i)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log.Info("started", zap.String("version", command.Version()), zap.String("name", file.NodeName),
		zap.String("failure_domain", file.Zone), zap.Any("settings", file))

	callers, err := listen(file.Listen.Front, do.MustInvoke[*platform.Ingress](i), log)
	if err != nil {
		return err
	}
	readiness, err := listen(file.Listen.Readiness, platform.Readiness(process.Service()), log)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	process.Learn(ctx, do.MustInvoke[*platform.Store](i).Sources(file))

	changed := make(chan struct{}, 1)
	go watchSettings(ctx, path, changed)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-ended:
			return err
		case <-changed:
			reload(path, process, log.Logger)
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload(path, process, log.Logger)
				continue
			}
			stop(process, callers, readiness, process.Grace(), log.Logger)
			return nil
		}
	}
}

// reload reads the settings file again. What a running process can change are
// the seeds; the rest takes a restart.
func reload(path string, process *fleet.Process, log *zap.Logger) {
	file, err := platform.ReadSettings(path)
	if err != nil {
		log.Error("reload_failed", zap.Error(err))
		return
	}
	process.AddSeeds(file.SeedHeartbeatAddresses())
	log.Info("reloaded", zap.Any("settings", file))
}

func listen(address string, handler http.Handler, log *eventlog.Log) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen: free the address or choose another one")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead}
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("server_ended", zap.String("address", address), zap.Error(err))
		}
	}()
	return s, nil
}

// stop ends the process gracefully: no new connections, others take over what
// it holds, and open requests get their answers.
func stop(process *fleet.Process, callers, readiness *http.Server, grace time.Duration, log *zap.Logger) {
	began := time.Now()
	log.Info("stopping", zap.Duration("grace_ms", grace))
	process.Leave()
	time.Sleep(leaveTime)
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopReserve-time.Since(began))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		log.Warn("stopped_with_open_requests", zap.Error(err))
	}
	for process.Service().Busy() > 0 && ctx.Err() == nil {
		time.Sleep(stopLook)
	}
	// Nobody waits for the balancer's question.
	_ = readiness.Close()
	log.Info("ended", zap.Duration("took_ms", time.Since(began)))
}
