package main

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// busyProcess has work that never ends.
type busyProcess struct{ left bool }

func (p *busyProcess) Leave()        { p.left = true }
func (*busyProcess) EndRequests()    {}
func (*busyProcess) ActiveWork() int { return 1 }

// Guards against a process that is killed in its stop because it counts the grace period
// from when it has handled the signal: it got no processor time for a second, or longer
// than the grace period. Each phase must be logged.
func TestStopEndsWithinGracePeriodOfTheSignal(t *testing.T) {
	const grace = 6 * time.Second
	for _, late := range []time.Duration{0, 1100 * time.Millisecond, 5 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			core, lines := observer.New(zapcore.InfoLevel)
			process := &busyProcess{}
			requested := time.Now()
			time.Sleep(late)
			stop(process, newServer(nil), newServer(nil), stopTimes{grace, requested}, zap.New(core))
			if took, want := time.Since(requested), max(grace-stopReserve, late); took != want || !process.left {
				t.Errorf("late by %v: stopped after %v, want %v; left: %v", late, took, want, process.left)
			}
			var phases []string
			for _, line := range lines.FilterMessage("stop_phase").All() {
				phases = append(phases, line.ContextMap()["phase"].(string))
			}
			if want := []string{"drain_connections", "answer_requests", "finish_work"}; !slices.Equal(phases, want) {
				t.Errorf("phases %v, want %v", phases, want)
			}
		})
	}
}

// Guards against a stop that closes connections before the balancer has noticed it.
func TestStopLeavesTimeForNewConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := newServer(http.NotFoundHandler())
	go func() { _ = callers.Serve(listener) }() // ends with the stop
	began := time.Now()
	go stop(&busyProcess{}, callers, newServer(nil), stopTimes{connectionDrainTime + 2*stopReserve, began}, zap.NewNop())
	time.Sleep(connectionDrainTime / 2)
	resp, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatalf("%v into the stop: %v", time.Since(began), err)
	}
	resp.Body.Close()
}

// idleProcess has no work.
type idleProcess struct{}

func (idleProcess) Leave()          {}
func (idleProcess) EndRequests()    {}
func (idleProcess) ActiveWork() int { return 0 }

// Guards against a stop that lasts until the end of the grace period, though every
// request is answered, because a caller has opened a connection that it does not use.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := newServer(http.NotFoundHandler())
	go func() { _ = callers.Serve(listener) }() // ends with the stop
	began := time.Now()
	stopped := make(chan struct{})
	core, lines := observer.New(zapcore.InfoLevel)
	go func() {
		defer close(stopped)
		stop(idleProcess{}, callers, newServer(nil), stopTimes{15 * time.Second, began}, zap.New(core))
	}()
	time.Sleep(connectionDrainTime - 100*time.Millisecond)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-stopped
	if took := time.Since(began); took > connectionDrainTime+2*maxUnusedTime {
		t.Errorf("stopped after %v, want at most %v", took, connectionDrainTime+2*maxUnusedTime)
	}
	if n := lines.FilterMessage("stopped_with_open_requests").Len(); n != 0 {
		t.Error("the stop was cut off")
	}
}

// Guards against requests that are cut off with the unused connections.
func TestStopAnswersOpenRequests(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const answerTime = connectionDrainTime + 2*maxUnusedTime
	callers := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(answerTime)
		w.WriteHeader(http.StatusNoContent)
	}))
	go func() { _ = callers.Serve(listener) }() // ends with the stop
	go stop(idleProcess{}, callers, newServer(nil), stopTimes{15 * time.Second, time.Now()}, zap.NewNop())
	resp, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusNoContent)
	}
}

// endingProcess has requests that are answered only when they are ended.
type endingProcess struct {
	idleProcess
	ended chan struct{}
	once  sync.Once
}

func (p *endingProcess) EndRequests() { p.once.Do(func() { close(p.ended) }) }

// Guards against a process that exits while a caller waits, and closes its connection without
// an answer (review/10): the caller's job waits for room for longer than the stop lasts.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process := &endingProcess{ended: make(chan struct{})}
	defer process.EndRequests()
	callers := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-process.ended
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	go func() { _ = callers.Serve(listener) }() // ends with the stop
	core, lines := observer.New(zapcore.InfoLevel)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop(process, callers, newServer(nil), stopTimes{connectionDrainTime + 2*stopReserve, time.Now()}, zap.New(core))
	}()
	client := &http.Client{Timeout: connectionDrainTime + 4*stopReserve}
	resp, err := client.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusGatewayTimeout)
	}
	<-stopped
	if n := lines.FilterMessage("stopped_with_open_requests").Len(); n != 0 {
		t.Error("the stop was cut off")
	}
}
