package peerproxy

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/peer/fleetpb"
)

const maxDatagram = 64 << 10

// receiveHeartbeats passes on the heartbeats to an entry until Close.
func (n *Network) receiveHeartbeats(to int) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.HeartbeatIP(to), uint16(n.opts.HeartbeatPort))))
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	n.heartbeats = append(n.heartbeats, conn)
	go func() {
		buffer := make([]byte, maxDatagram)
		for n.closed.Err() == nil {
			size, source, err := conn.ReadFromUDPAddrPort(buffer)
			if err == nil {
				n.passHeartbeat(conn, slices.Index(n.opts.Entries, source.Addr().Unmap()), to, slices.Clone(buffer[:size]))
			}
		}
	}()
	return nil
}

// passHeartbeat sends a heartbeat to its receiver, unless it is one that an entry
// sends to itself because it does not recognize its address.
func (n *Network) passHeartbeat(conn *net.UDPConn, from, to int, data []byte) {
	if from < 0 || from == to || n.directions[from][to].Silent() {
		return
	}
	target := netip.AddrPortFrom(n.opts.Entries[to], uint16(n.opts.HeartbeatPort))
	data = n.announce(from, to, data)
	time.AfterFunc(n.directions[from][to].Delay(), func() { _, _ = conn.WriteToUDPAddrPort(data, target) })
}

// announce replaces the addresses of the sender in a heartbeat by those at which its
// receiver reaches it. It leaves a datagram that is no heartbeat as it is.
func (n *Network) announce(from, to int, data []byte) []byte {
	heartbeat := &fleetpb.Beat{}
	if proto.Unmarshal(data, heartbeat) != nil {
		return data
	}
	heartbeat.Address = n.callAddress(to, from)
	heartbeat.Beats = netip.AddrPortFrom(n.HeartbeatIP(from), uint16(n.opts.HeartbeatPort)).String()
	changed, err := proto.Marshal(heartbeat)
	if err != nil {
		return data
	}
	return changed
}
