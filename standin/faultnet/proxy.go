package faultnet

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Side is one end of the connections through a Proxy.
type Side int

// Sides of a connection.
const (
	DialerSide Side = iota
	TargetSide
)

// targetDialTimeout bounds how long a proxy waits for its target, which is on the
// same VM.
const targetDialTimeout = time.Second

// Proxy passes on TCP connections to a target. It is safe for concurrent use.
//
// It accepts connections while traffic is silent, and nothing arrives on them: they
// look to the dialer as if the fault had begun just after the connection was made.
type Proxy struct {
	address, target    string
	toTarget, toDialer *Direction

	mu       sync.Mutex
	listener net.Listener // nil: connections are refused
	streams  map[*stream]struct{}
}

// NewProxy returns a proxy that refuses connections until Open. The directions may
// be shared with other proxies.
func NewProxy(address, target string, toTarget, toDialer *Direction) *Proxy {
	return &Proxy{address: address, target: target, toTarget: toTarget, toDialer: toDialer, streams: make(map[*stream]struct{})}
}

// Open begins to accept connections. It has no effect on an open proxy.
func (p *Proxy) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		return errors.Wrap(err, "listen for a proxy")
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Refuse ends Open: new connections are refused, as by a target that has ended.
// Connections that are open are kept.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Addr returns the address of an open proxy.
func (p *Proxy) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve connects to the target and passes on data until both directions have ended.
func (p *Proxy) serve(dialer net.Conn) {
	target, err := net.DialTimeout("tcp4", p.target, targetDialTimeout)
	if err != nil {
		reset(dialer)
		return
	}
	s := &stream{ends: [2]net.Conn{dialer, target}}
	p.mu.Lock()
	p.streams[s] = struct{}{}
	p.mu.Unlock()
	s.run(p.toTarget, p.toDialer)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, s)
}

// Reset resets the open connections at the given sides and returns their number. A
// side that is not given gets no data any more and does not learn of the reset.
func (p *Proxy) Reset(sides ...Side) int {
	p.mu.Lock()
	streams := make([]*stream, 0, len(p.streams))
	for s := range p.streams {
		streams = append(streams, s)
	}
	p.mu.Unlock()
	for _, s := range streams {
		s.cut.Store(true)
		for _, side := range sides {
			reset(s.ends[side])
		}
	}
	return len(streams)
}

// reset closes a connection in such a way that its peer gets an error instead of a
// regular end of the stream.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close()
}
