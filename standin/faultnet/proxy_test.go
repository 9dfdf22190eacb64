package faultnet_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"lovagespread.example/standin/faultnet"
	"lovagespread.example/standin/loopback"
)

// proxied is a connection through a proxy, with both of its ends.
type proxied struct {
	proxy              *faultnet.Proxy
	toTarget, toDialer faultnet.Direction
	dialer, target     net.Conn
}

// proxyPort is below the range from which the kernel chooses ports, so that nobody
// listens on it after the proxy.
const proxyPort = 7720

func openProxied(t *testing.T) *proxied {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	p := &proxied{}
	p.proxy = faultnet.NewProxy(netip.AddrPortFrom(network.Host(2), proxyPort).String(), listener.Addr().String(), &p.toTarget, &p.toDialer)
	if err := p.proxy.Open(); err != nil {
		t.Fatal(err)
	}
	if p.dialer, err = net.Dial("tcp4", p.proxy.Addr()); err != nil {
		t.Fatal(err)
	}
	if p.target, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.proxy.Refuse()
		_, _, _ = p.dialer.Close(), p.target.Close(), listener.Close()
	})
	if err := pass(p.dialer, p.target); err != nil {
		t.Fatal(err)
	}
	return p
}

// silence is how long a test waits for data that must not arrive.
const silence = 50 * time.Millisecond

// pass sends a byte and waits for it at the other end.
func pass(from, to net.Conn) error {
	if _, err := from.Write([]byte{1}); err != nil {
		return err
	}
	return receive(to)
}

func receive(c net.Conn) error { return receiveWithin(c, silence) }

func receiveWithin(c net.Conn, limit time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a fault of one direction that also affects the other one, and
// against a stream that goes on after a gap, which TCP rules out.
func TestProxySilencesOneDirection(t *testing.T) {
	p := openProxied(t)
	p.toTarget.SetSilent(true)
	if err := pass(p.dialer, p.target); !isTimeout(err) {
		t.Errorf("silent direction: %v, want a timeout", err)
	}
	if err := pass(p.target, p.dialer); err != nil {
		t.Errorf("other direction: %v", err)
	}
	p.toTarget.SetSilent(false)
	if err := pass(p.dialer, p.target); !isTimeout(err) {
		t.Errorf("after lost data: %v, want a timeout", err)
	}
}

// Guards against a reset that reaches the side that must not learn of it, or that
// misses the other one.
func TestProxyResets(t *testing.T) {
	p := openProxied(t)
	if n := p.proxy.Reset(faultnet.DialerSide); n != 1 {
		t.Errorf("reset %d connections, want 1", n)
	}
	if err := receive(p.dialer); err == nil || isTimeout(err) || err == io.EOF {
		t.Errorf("reset side: %v, want a reset", err)
	}
	if err := receive(p.target); !isTimeout(err) {
		t.Errorf("other side: %v, want a timeout", err)
	}
	p = openProxied(t)
	p.proxy.Reset(faultnet.DialerSide, faultnet.TargetSide)
	for _, end := range []net.Conn{p.dialer, p.target} {
		if err := receive(end); err == nil || isTimeout(err) || err == io.EOF {
			t.Errorf("both sides reset: %v, want a reset", err)
		}
	}
}

func TestProxyDelaysAndPassesOnTheEnd(t *testing.T) {
	p := openProxied(t)
	const delay = 20 * time.Millisecond
	p.toTarget.SetDelay(delay)
	start := time.Now()
	if err := pass(p.dialer, p.target); err != nil || time.Since(start) < delay {
		t.Errorf("took %v (%v), want %v or more", time.Since(start), err, delay)
	}
	_ = p.dialer.Close()
	if err := receiveWithin(p.target, 10*time.Second); err != io.EOF {
		t.Errorf("after the end: %v, want EOF", err)
	}
}

// Guards against a dialer that takes a target that has ended for one that may have
// got its request.
func TestProxyRefusesConnections(t *testing.T) {
	p := openProxied(t)
	address := p.proxy.Addr()
	p.proxy.Refuse()
	if c, err := net.Dial("tcp4", address); err == nil {
		_ = c.Close()
		t.Error("a connection is accepted, want it refused")
	}
	if err := pass(p.dialer, p.target); err != nil {
		t.Errorf("open connection: %v", err)
	}
}
