package peerproxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/standin/faultnet"
)

// Second numbers of loopback addresses.
const (
	ownNetwork       = 0 // of the addresses on which entries listen
	heartbeatNetwork = 1
	firstCallNetwork = 2 // of the calls of the first entry; each entry has one
	maxEntries       = 256 - firstCallNetwork
)

// listenPollInterval is the time between two attempts to reach an entry that starts.
const listenPollInterval = 5 * time.Millisecond

// Options describe the entries.
type Options struct {
	Entries       []netip.Addr // addresses on which the entries listen, 127.0.N.x
	PeerPort      int          // of all entries
	HeartbeatPort int
}

// Network passes on calls and heartbeats between entries. Entries are given by their
// index in Options. It is safe for concurrent use.
type Network struct {
	opts       Options
	directions [][]*faultnet.Direction // by sender and receiver
	calls      [][]*faultnet.Proxy     // by caller and called entry
	heartbeats []*net.UDPConn          // by receiver
	closed     context.Context
	close      context.CancelFunc

	mu   sync.Mutex
	stop []context.CancelFunc // ends the wait for an entry that starts
}

// New returns a network that passes on heartbeats, and refuses the calls to each
// entry until Started. It works until Close.
func New(opts Options) (*Network, error) {
	count := len(opts.Entries)
	if count > maxEntries {
		return nil, errors.Errorf("%d entries, at most %d are supported", count, maxEntries)
	}
	n := &Network{opts: opts, stop: make([]context.CancelFunc, count)}
	n.closed, n.close = context.WithCancel(context.Background())
	for range count {
		directions := make([]*faultnet.Direction, count)
		for to := range directions {
			directions[to] = &faultnet.Direction{}
		}
		n.directions = append(n.directions, directions)
	}
	for from := range count {
		proxies := make([]*faultnet.Proxy, count)
		for to := range count {
			target := netip.AddrPortFrom(opts.Entries[to], uint16(opts.PeerPort))
			proxies[to] = faultnet.NewProxy(n.callAddress(from, to), target.String(), n.directions[from][to], n.directions[to][from])
		}
		n.calls = append(n.calls, proxies)
	}
	for to := range count {
		if err := n.receiveHeartbeats(to); err != nil {
			n.Close()
			return nil, err
		}
	}
	return n, nil
}

// Close ends the network. Its open connections end with those of the entries.
func (n *Network) Close() {
	n.close()
	for entry := range n.calls {
		n.Ended(entry)
	}
	for _, conn := range n.heartbeats {
		_ = conn.Close()
	}
}

// at returns the address of an entry in one of the networks.
func at(network int, entry netip.Addr) netip.Addr {
	b := entry.As4()
	b[1] = byte(network)
	return netip.AddrFrom4(b)
}

// callAddress returns the address at which one entry calls another one.
func (n *Network) callAddress(from, to int) string {
	return netip.AddrPortFrom(at(firstCallNetwork+from, n.opts.Entries[to]), uint16(n.opts.PeerPort)).String()
}

// HeartbeatIP returns the address at which an entry gets heartbeats.
func (n *Network) HeartbeatIP(entry int) netip.Addr {
	return at(heartbeatNetwork, n.opts.Entries[entry])
}

// Announced replaces the addresses on which entries of a subnet listen by those at
// which they get heartbeats, in a text that may hold both.
func Announced(text string, subnet int) string {
	prefix := func(network int) string { return fmt.Sprintf("127.%d.%d.", network, subnet) }
	return strings.ReplaceAll(text, prefix(ownNetwork), prefix(heartbeatNetwork))
}

// Started passes on calls to an entry as soon as it accepts connections.
func (n *Network) Started(entry int) {
	ctx, cancel := context.WithCancel(n.closed)
	n.mu.Lock()
	n.stop[entry] = cancel
	n.mu.Unlock()
	go n.openCalls(ctx, entry)
}

func (n *Network) openCalls(ctx context.Context, entry int) {
	address := netip.AddrPortFrom(n.opts.Entries[entry], uint16(n.opts.PeerPort)).String()
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		if err != nil {
			time.Sleep(listenPollInterval)
			continue
		}
		_ = conn.Close()
		break
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for from := range n.calls {
		if ctx.Err() == nil && from != entry {
			// Fails only if another process uses the address: calls are refused then.
			_ = n.calls[from][entry].Open()
		}
	}
}

// Ended refuses calls to an entry whose process has ended.
func (n *Network) Ended(entry int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stop[entry] != nil {
		n.stop[entry]()
	}
	for from := range n.calls {
		n.calls[from][entry].Refuse()
	}
}

// Reset resets the connections between two entries, whoever has opened them, and
// returns their number. Only the given entries learn of it; none: both do.
func (n *Network) Reset(a, b int, learns ...int) int {
	if len(learns) == 0 {
		learns = []int{a, b}
	}
	sides := func(caller int) (list []faultnet.Side) {
		for _, entry := range learns {
			if entry == caller {
				list = append(list, faultnet.DialerSide)
			} else {
				list = append(list, faultnet.TargetSide)
			}
		}
		return list
	}
	return n.calls[a][b].Reset(sides(a)...) + n.calls[b][a].Reset(sides(b)...)
}

// Direction returns the fault switches of the traffic from one entry to another.
func (n *Network) Direction(from, to int) *faultnet.Direction { return n.directions[from][to] }
