package fakeendpoint

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"lovagespread.example/standin/faultnet"
)

// idleTimeout is the time after which idle connections are closed.
const idleTimeout = 2 * time.Minute

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 10 * time.Second

// Server is an endpoint with a listener.
type Server struct {
	*Endpoint
	address string

	mu              sync.Mutex
	listener        *faultnet.Listener // nil while refusing
	http            *http.Server
	closedListeners []*faultnet.Listener // may still have open connections
	crashed         bool
}

// Listen starts to serve an endpoint on the given address, host:port.
func Listen(e *Endpoint, address string) (*Server, error) {
	s := &Server{Endpoint: e, address: address}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() error {
	tcp, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = tcp.Addr().String()
	s.listener = faultnet.Wrap(tcp)
	s.http = &http.Server{
		Handler:           s.Handler(),
		IdleTimeout:       idleTimeout,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	server, listener := s.http, s.listener
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the address of the listener, host:port.
func (s *Server) Address() string { return s.address }

// Refuse closes the listener, or reopens it on the same address. Open connections
// stay open.
func (s *Server) Refuse(on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse(on)
}

func (s *Server) refuse(on bool) error {
	refusing := s.listener == nil
	switch {
	case on == refusing:
		return nil
	case !on:
		return s.listen()
	}
	s.closedListeners = append(s.closedListeners, s.listener)
	err := s.listener.Close()
	s.listener = nil
	return err
}

// Crash resets all connections, refuses new ones and aborts the running tasks.
func (s *Server) Crash() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	err := s.refuse(true)
	s.sumListeners((*faultnet.Listener).BreakOpen)
	s.AbortTasks()
	return err
}

// Restart ends a crash.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
	return s.refuse(false)
}

// Crashed reports whether the endpoint has crashed and was not restarted.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// SilenceOpen makes the open connections silent and returns their number.
func (s *Server) SilenceOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sumListeners((*faultnet.Listener).SilenceOpen)
}

// BreakOpen resets the open connections and returns their number.
func (s *Server) BreakOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sumListeners((*faultnet.Listener).BreakOpen)
}

// SetSilent makes connections accepted from now on silent or normal.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.SetSilent(on)
	}
}

// SetDelay delays each write on a connection by d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.SetDelay(d)
	}
}

func (s *Server) sumListeners(f func(*faultnet.Listener) int) int {
	total := 0
	for _, l := range s.closedListeners {
		total += f(l)
	}
	if s.listener != nil {
		total += f(s.listener)
	}
	return total
}

// Close stops the endpoint and aborts its tasks.
func (s *Server) Close() { _ = s.Crash() }
