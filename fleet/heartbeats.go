package fleet

import (
	"context"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Intervals and sizes of heartbeats.
const (
	heartbeatInterval = 110 * time.Millisecond // with few entries
	// The interval grows by one heartbeatInterval for each entriesPerInterval
	// entries, so that an entry sends a bounded number of datagrams per second.
	entriesPerInterval = 12
	helloInterval      = 400 * time.Millisecond // to addresses that have not answered
	lateHelloInterval  = 3 * time.Second        // the same, after earlyPeriod
	earlyPeriod        = 10 * time.Second       // since the start
	maxDatagram        = 8 << 10
	maxKnownAddresses  = 64 // addresses in one datagram
)

// heartbeats sends and receives heartbeats. Except in receive, it is used only
// by the goroutine of the loop.
type heartbeats struct {
	conn          *net.UDPConn
	ownAddress    string
	startedAt     time.Time
	lastHello     map[string]time.Time // when each known heartbeat address was last sent a hello
	nextHeartbeat time.Time
	announced     map[cells.Cell][]int // free capacity as last announced
	log           *zap.Logger
}

func newHeartbeats(conn *net.UDPConn, s Settings, log *zap.Logger) *heartbeats {
	h := &heartbeats{conn: conn, ownAddress: s.HeartbeatAddress, startedAt: time.Now(), lastHello: make(map[string]time.Time), announced: make(map[cells.Cell][]int), log: log}
	h.addAddresses(s.Seeds)
	return h
}

func (h *heartbeats) addAddresses(list []string) {
	for _, address := range list {
		if _, ok := h.lastHello[address]; !ok && address != h.ownAddress && address != "" {
			h.lastHello[address] = time.Time{}
		}
	}
}

func (h *heartbeats) addAddressesOf(heartbeat *fleetpb.Beat) {
	h.addAddresses([]string{heartbeat.Beats})
	h.addAddresses(heartbeat.Known)
}

// receive passes received heartbeats to the loop until the context is done.
func (h *heartbeats) receive(ctx context.Context, l *Loop) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := h.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			h.log.Warn("heartbeat_unreadable", zap.Error(err))
			time.Sleep(helloInterval)
			continue
		}
		heartbeat := &fleetpb.Beat{}
		if err := proto.Unmarshal(buffer[:n], heartbeat); err != nil {
			h.log.Warn("heartbeat_unreadable", zap.Error(err))
			continue
		}
		l.send(peerHeartbeat{heartbeat})
	}
}

func (l *Loop) interval() time.Duration {
	n := len(l.view.Live) + 1
	return heartbeatInterval * time.Duration((n+entriesPerInterval-1)/entriesPerInterval)
}

// sendHeartbeats sends a heartbeat to all live entries in each interval. If the
// free capacity has changed, it sends one to the holders of cells at once.
func (l *Loop) sendHeartbeats(now time.Time) {
	free := l.freeCapacity()
	changed := !sameCapacity(free, l.heartbeats.announced)
	due := !now.Before(l.heartbeats.nextHeartbeat)
	if !changed && !due {
		return
	}
	l.heartbeats.announced = free
	data := l.encodeHeartbeat(free, false)
	if due {
		l.heartbeats.nextHeartbeat = now.Add(l.interval())
		for _, e := range l.view.Live {
			l.heartbeats.write(e.HeartbeatAddress, data)
		}
		l.sendHellos(now, free)
		return
	}
	for holder := range l.holders() {
		if e, ok := l.view.Find(holder); ok && holder != l.view.Self.Incarnation {
			l.heartbeats.write(e.HeartbeatAddress, data)
		}
	}
}

// holders returns the entries that hold at least one cell.
func (l *Loop) holders() map[cells.Incarnation]bool {
	holders := make(map[cells.Incarnation]bool)
	for domain, n := range l.cellCounts {
		for _, cell := range cells.All(domain, n) {
			if e, ok := l.view.Holder(cell); ok {
				holders[e.Incarnation] = true
			}
		}
	}
	return holders
}

// freeCapacity returns the free millicores of each endpoint, for the cells that
// this entry holds.
func (l *Loop) freeCapacity() map[cells.Cell][]int {
	free := make(map[cells.Cell][]int)
	for domain, n := range l.cellCounts {
		for _, cell := range cells.All(domain, n) {
			if l.view.Holds(cell) && !l.stopping {
				free[cell] = l.core.FreeCapacity(cell.String(), minAnnouncedMilliCores)
			}
		}
	}
	return free
}

func sameCapacity(a, b map[cells.Cell][]int) bool {
	if len(a) != len(b) {
		return false
	}
	for cell, free := range a {
		if !slices.Equal(free, b[cell]) {
			return false
		}
	}
	return true
}

// sendHellos sends a hello to known addresses from which no heartbeats arrive. A
// hello asks the receiver for a heartbeat.
func (l *Loop) sendHellos(now time.Time, free map[cells.Cell][]int) {
	interval := helloInterval
	if now.Sub(l.heartbeats.startedAt) > earlyPeriod {
		interval = lateHelloInterval
	}
	var data []byte
	for address, last := range l.heartbeats.lastHello {
		if now.Sub(last) < interval || l.isLive(address) {
			continue
		}
		if data == nil {
			data = l.encodeHeartbeat(free, true)
		}
		l.heartbeats.lastHello[address] = now
		l.heartbeats.write(address, data)
	}
}

func (l *Loop) isLive(address string) bool {
	return slices.ContainsFunc(l.view.Live, func(e cells.Entry) bool { return e.HeartbeatAddress == address })
}

// sendHeartbeatTo answers a hello with a heartbeat that includes known addresses
// of other entries.
func (l *Loop) sendHeartbeatTo(_ time.Time, address string, hello bool) {
	heartbeat := l.heartbeat(l.freeCapacity())
	heartbeat.Hello = hello
	for known := range l.heartbeats.lastHello {
		if len(heartbeat.Known) < maxKnownAddresses {
			heartbeat.Known = append(heartbeat.Known, known)
		}
	}
	l.heartbeats.write(address, l.marshal(heartbeat))
}

func (l *Loop) encodeHeartbeat(free map[cells.Cell][]int, hello bool) []byte {
	heartbeat := l.heartbeat(free)
	heartbeat.Hello = hello
	return l.marshal(heartbeat)
}

func (l *Loop) marshal(heartbeat *fleetpb.Beat) []byte {
	data, err := proto.Marshal(heartbeat)
	if err != nil {
		l.log.Error("heartbeat_unwritable", zap.Error(err))
		return nil
	}
	return data
}

func (l *Loop) heartbeat(capacity map[cells.Cell][]int) *fleetpb.Beat {
	self := l.view.Self
	heartbeat := &fleetpb.Beat{
		Name: self.Name, Address: self.Address, Beats: self.HeartbeatAddress, FailureDomain: self.FailureDomain,
		Incarnation: uint64(self.Incarnation), Weight: self.Weight, IntervalMs: uint32(l.interval().Milliseconds()),
		Leaving: l.stopping, ConfigurationVersion: l.directory.Version, Token: l.maxToken,
	}
	for cell, free := range capacity {
		announcement := &fleetpb.Room{FailureDomain: cell.FailureDomain, Cell: uint32(cell.Index), Of: uint32(cell.Total)}
		for _, f := range free {
			announcement.Free = append(announcement.Free, uint32(f))
		}
		heartbeat.Rooms = append(heartbeat.Rooms, announcement)
	}
	return heartbeat
}

// write sends a datagram. A datagram that cannot be sent is treated like a lost
// one: the receiver detects the missing heartbeat.
func (h *heartbeats) write(address string, data []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		h.log.Warn("heartbeat_address", zap.String("address", address), zap.Error(err))
		delete(h.lastHello, address)
		return
	}
	if _, err := h.conn.WriteToUDP(data, to); err != nil {
		h.log.Debug("heartbeat_unsent", zap.String("address", address), zap.Error(err))
	}
}

func entryOf(b *fleetpb.Beat) cells.Entry {
	return cells.Entry{
		Name: b.Name, Address: b.Address, HeartbeatAddress: b.Beats, FailureDomain: b.FailureDomain,
		Incarnation: cells.Incarnation(b.Incarnation), Weight: b.Weight,
		Interval: time.Duration(b.IntervalMs) * time.Millisecond, Leaving: b.Leaving,
	}
}
