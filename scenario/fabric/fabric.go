package fabric

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is an unordered pair of host names.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// Fabric is an in-memory network. It is safe for concurrent use.
type Fabric struct {
	delay time.Duration // one-way

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a link or host changes
	listeners map[string]*listener
	cut       map[link]bool
	frozen    map[string]bool
	removed   map[string]bool
	conns     map[*conn]bool
}

// New returns a network with the given one-way delay.
func New(delay time.Duration) *Fabric {
	return &Fabric{
		delay:     delay,
		changed:   make(chan struct{}),
		listeners: make(map[string]*listener),
		cut:       make(map[link]bool),
		frozen:    make(map[string]bool),
		removed:   make(map[string]bool),
		conns:     make(map[*conn]bool),
	}
}

// Host returns the network as seen by the named host.
func (f *Fabric) Host(name string) *Host { return &Host{fabric: f, name: name} }

// Cut blocks all traffic between two hosts until Heal. Data that is sent
// meanwhile arrives afterwards.
func (f *Fabric) Cut(a, b string) { f.update(func() { f.cut[linkOf(a, b)] = true }) }

// Heal ends a cut.
func (f *Fabric) Heal(a, b string) { f.update(func() { delete(f.cut, linkOf(a, b)) }) }

// Freeze blocks all traffic to and from a host until Thaw.
func (f *Fabric) Freeze(host string) { f.update(func() { f.frozen[host] = true }) }

// Thaw ends a freeze.
func (f *Fabric) Thaw(host string) { f.update(func() { delete(f.frozen, host) }) }

// Remove removes a host permanently: its connections are reset, its listeners
// are closed, and new connections to or from it fail.
func (f *Fabric) Remove(host string) {
	f.update(func() { f.removed[host] = true })
	for _, c := range f.connsOf(host) {
		c.reset()
	}
	for _, l := range f.listenersOf(host) {
		_ = l.Close()
	}
}

// Silence makes the open connections to a host silent permanently: both ends
// stay open, but no more data is delivered. It returns the number of
// connections that were not silent before.
func (f *Fabric) Silence(host string) int {
	n := 0
	for _, c := range f.connsOf(host) {
		if c.server == host && !c.isSilent() {
			c.silence()
			n++
		}
	}
	return n
}

// Break resets the open connections to a host and returns their number.
func (f *Fabric) Break(host string) int {
	n := 0
	for _, c := range f.connsOf(host) {
		if c.server == host {
			c.reset()
			n++
		}
	}
	return n
}

func (f *Fabric) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fabric) connsOf(host string) []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*conn
	for c := range f.conns {
		if c.client == host || c.server == host {
			found = append(found, c)
		}
	}
	return found
}

func (f *Fabric) listenersOf(host string) []*listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*listener
	for _, l := range f.listeners {
		if l.host == host {
			found = append(found, l)
		}
	}
	return found
}

// linkState tells whether data can pass between two hosts.
type linkState int

const (
	linkOpen    linkState = iota
	linkBlocked           // until a link or host changes
	linkRemoved
)

func (f *Fabric) linkState(a, b string) (linkState, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.removed[a] || f.removed[b]:
		return linkRemoved, nil
	case f.cut[linkOf(a, b)] || f.frozen[a] || f.frozen[b]:
		return linkBlocked, f.changed
	}
	return linkOpen, nil
}

// waitOpen waits until data can pass between two hosts. It returns false if a
// host is removed or done is closed first.
func (f *Fabric) waitOpen(a, b string, done <-chan struct{}) bool {
	for {
		state, changed := f.linkState(a, b)
		if state != linkBlocked {
			return state == linkOpen
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Host is the network as seen by one host.
type Host struct {
	fabric *Fabric
	name   string
}

// Listen opens a listener. Its address must not be in use.
func (h *Host) Listen(address string) (net.Listener, error) {
	f := h.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{fabric: f, host: h.name, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

// Dial connects to an address. It can be used as http.Transport.DialContext.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	f := h.fabric
	f.mu.Lock()
	l := f.listeners[address]
	f.mu.Unlock()
	if l == nil {
		return nil, refusedError(address)
	}
	if !f.waitOpen(h.name, l.host, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: cmp.Or(ctx.Err(), error(syscall.ENETUNREACH))}
	}
	return f.connect(ctx, h.name, l)
}

func refusedError(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

func (f *Fabric) connect(ctx context.Context, client string, l *listener) (net.Conn, error) {
	c := newConn(f, client, l.host)
	select {
	case l.incoming <- c.serverEnd:
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		c.start()
		return c.clientEnd, nil
	case <-l.closed:
		c.reset()
		return nil, refusedError(l.address)
	case <-ctx.Done():
		c.reset()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

type listener struct {
	fabric   *Fabric
	host     string
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and releases its address. Accepted connections
// stay open.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.fabric.mu.Lock()
		defer l.fabric.mu.Unlock()
		delete(l.fabric.listeners, l.address)
	})
	return nil
}

// Addr returns the address that the listener was opened with.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }
