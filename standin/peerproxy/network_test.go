package peerproxy_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagespread.example/peer/fleetpb"
	"lovagespread.example/standin/loopback"
	"lovagespread.example/standin/peerproxy"
)

// wait is how long a test waits for what must not arrive.
const wait = 50 * time.Millisecond

// Ports of all entries.
const (
	peerPort      = 7720
	heartbeatPort = 7721
)

// pair is two entries on a network. Each listens for calls and heartbeats.
type pair struct {
	network    *peerproxy.Network
	entries    []netip.Addr
	heartbeats []*net.UDPConn
	calls      []net.Listener
}

func newPair(t *testing.T) *pair {
	t.Helper()
	addresses, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(addresses.Close)
	p := &pair{entries: []netip.Addr{addresses.Host(2), addresses.Host(3)}}
	for _, ip := range p.entries {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, peerPort).String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, heartbeatPort)))
		if err != nil {
			t.Fatal(err)
		}
		p.calls, p.heartbeats = append(p.calls, listener), append(p.heartbeats, conn)
		t.Cleanup(func() { _, _ = listener.Close(), conn.Close() })
	}
	network, err := peerproxy.New(peerproxy.Options{Entries: p.entries, PeerPort: peerPort, HeartbeatPort: heartbeatPort})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	p.network = network
	network.Started(0)
	network.Started(1)
	return p
}

// heartbeat sends a heartbeat with the sender's own addresses and returns what
// arrives, or nil.
func (p *pair) heartbeat(t *testing.T, from, to int) *fleetpb.Beat {
	t.Helper()
	data, err := proto.Marshal(&fleetpb.Beat{
		Name: "e", Address: p.calls[from].Addr().String(), Beats: p.heartbeats[from].LocalAddr().String(), Token: 7,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.heartbeats[from].WriteToUDPAddrPort(data, netip.AddrPortFrom(p.network.HeartbeatIP(to), heartbeatPort)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, len(data)*2)
	_ = p.heartbeats[to].SetReadDeadline(time.Now().Add(wait))
	n, err := p.heartbeats[to].Read(buffer)
	if err != nil {
		return nil
	}
	received := &fleetpb.Beat{}
	if err := proto.Unmarshal(buffer[:n], received); err != nil {
		t.Fatal(err)
	}
	return received
}

// call connects an entry to another one at the address that it has got in a
// heartbeat.
func (p *pair) call(t *testing.T, from, to int) (caller, called net.Conn) {
	t.Helper()
	b := p.heartbeat(t, to, from)
	if b == nil {
		t.Fatal("no heartbeat")
	}
	var err error
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if caller, err = net.Dial("tcp4", b.Address); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	_, _ = caller.Write([]byte{1})
	for {
		if called, err = p.calls[to].Accept(); err != nil {
			t.Fatal(err)
		}
		if receives(called) {
			t.Cleanup(func() { _, _ = caller.Close(), called.Close() })
			return caller, called
		}
		_ = called.Close() // the network's own check that the entry accepts connections
	}
}

// delivers reports whether data arrives.
func delivers(from, to net.Conn) bool {
	_, _ = from.Write([]byte{1})
	return receives(to)
}

func receives(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}

// Guards against entries that reach each other beside the proxy, where no fault
// affects them.
func TestAnnouncedAddressesAreOfTheProxy(t *testing.T) {
	p := newPair(t)
	b := p.heartbeat(t, 0, 1)
	if b == nil || b.Token != 7 {
		t.Fatalf("got heartbeat %v", b)
	}
	for _, address := range []string{b.Address, b.Beats} {
		if ip := netip.MustParseAddrPort(address).Addr(); ip == p.entries[0] {
			t.Errorf("%s is the entry's own address", address)
		}
	}
	if b := p.heartbeat(t, 0, 0); b != nil {
		t.Errorf("an entry got its own heartbeat %v", b)
	}
	if got := peerproxy.Announced("127.0.98.2:7721 127.0.97.2", 98); got != "127.1.98.2:7721 127.0.97.2" {
		t.Errorf("announced %q", got)
	}
}

// Guards against a silent direction that passes on a part of the traffic, or stops
// that of the other direction.
func TestSilenceOfOneDirection(t *testing.T) {
	p := newPair(t)
	caller, called := p.call(t, 0, 1)
	backCaller, backCalled := p.call(t, 1, 0)
	p.network.Direction(0, 1).SetSilent(true)
	if p.heartbeat(t, 0, 1) != nil || delivers(caller, called) || delivers(backCalled, backCaller) {
		t.Error("data arrives from the silent entry")
	}
	if p.heartbeat(t, 1, 0) == nil || !delivers(called, caller) || !delivers(backCaller, backCalled) {
		t.Error("data of the other entry does not arrive")
	}
}

// Guards against a reset that spares the connections that the other entry has
// opened, or that reaches the entry that must not learn of it.
func TestResetReachesOneEntry(t *testing.T) {
	p := newPair(t)
	caller, called := p.call(t, 0, 1)
	backCaller, backCalled := p.call(t, 1, 0)
	if n := p.network.Reset(0, 1, 0); n != 2 {
		t.Errorf("reset %d connections, want 2", n)
	}
	ended := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(wait))
		_, err := c.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return !ok || !timeout.Timeout()
	}
	if !ended(caller) || !ended(backCalled) {
		t.Error("the entry does not learn of the reset")
	}
	if ended(called) || ended(backCaller) {
		t.Error("the other entry learns of the reset")
	}
}

// Guards against calls that seem to reach an entry whose process has ended.
func TestCallsToAnEndedEntryAreRefused(t *testing.T) {
	p := newPair(t)
	caller, _ := p.call(t, 0, 1)
	p.network.Ended(1)
	if c, err := net.Dial("tcp4", caller.RemoteAddr().String()); err == nil {
		_ = c.Close()
		t.Error("a call is accepted")
	}
}
