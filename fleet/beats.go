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

// Times and sizes of heartbeats.
const (
	beatInterval = 110 * time.Millisecond // with few entries
	// entriesPerInterval stretches the interval, so that an entry's datagrams
	// a second stay bounded.
	entriesPerInterval = 12
	helloInterval      = 400 * time.Millisecond // to addresses that have not answered
	lateHello          = 3 * time.Second        // the same, some time after the start
	eagerTime          = 10 * time.Second       // after the start
	maxDatagram        = 8 << 10
	maxKnown           = 64 // addresses in one datagram
)

// beats sends and receives heartbeats. Its fields belong to the loop.
type beats struct {
	conn     *net.UDPConn
	own      string
	began    time.Time
	known    map[string]time.Time // heartbeat addresses, and when one was last sent a hello
	nextFull time.Time
	told     map[cells.Cell][]int // room as last announced
	log      *zap.Logger
}

func newBeats(conn *net.UDPConn, s Settings, log *zap.Logger) *beats {
	b := &beats{conn: conn, own: s.BeatAddress, began: time.Now(), known: make(map[string]time.Time), told: make(map[cells.Cell][]int), log: log}
	b.addAddresses(s.Seeds)
	return b
}

func (b *beats) addAddresses(list []string) {
	for _, address := range list {
		if _, ok := b.known[address]; !ok && address != b.own && address != "" {
			b.known[address] = time.Time{}
		}
	}
}

func (b *beats) learn(beat *fleetpb.Beat) {
	b.addAddresses([]string{beat.Beats})
	b.addAddresses(beat.Known)
}

// receive passes heartbeats to the loop until the context ends.
func (b *beats) receive(ctx context.Context, l *Loop) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			b.log.Warn("heartbeat_unreadable", zap.Error(err))
			time.Sleep(helloInterval)
			continue
		}
		beat := &fleetpb.Beat{}
		if err := proto.Unmarshal(buffer[:n], beat); err != nil {
			b.log.Warn("heartbeat_unreadable", zap.Error(err))
			continue
		}
		l.send(rosterBeat{beat})
	}
}

func (l *Loop) interval() time.Duration {
	n := len(l.view.Live) + 1
	return beatInterval * time.Duration((n+entriesPerInterval-1)/entriesPerInterval)
}

// sendBeats sends what is due: a heartbeat to everybody each interval, and
// news of free room to the holders of other cells at once.
func (l *Loop) sendBeats(now time.Time) {
	rooms := l.freeRooms()
	changed := !sameRooms(rooms, l.beats.told)
	full := !now.Before(l.beats.nextFull)
	if !changed && !full {
		return
	}
	l.beats.told = rooms
	data := l.encodeBeat(rooms, false)
	if full {
		l.beats.nextFull = now.Add(l.interval())
		for _, e := range l.view.Live {
			l.beats.write(e.Beats, data)
		}
		l.sendHellos(now, rooms)
		return
	}
	for holder := range l.holders() {
		if e, ok := l.view.Find(holder); ok && holder != l.view.Self.Incarnation {
			l.beats.write(e.Beats, data)
		}
	}
}

// holders are the entries that hold some cell.
func (l *Loop) holders() map[cells.Incarnation]bool {
	holders := make(map[cells.Incarnation]bool)
	for domain, n := range l.cellsOf {
		for _, cell := range cells.All(domain, n) {
			if e, ok := l.view.Holder(cell); ok {
				holders[e.Incarnation] = true
			}
		}
	}
	return holders
}

// freeRooms lists the free room of the cells that this entry holds.
func (l *Loop) freeRooms() map[cells.Cell][]int {
	rooms := make(map[cells.Cell][]int)
	for domain, n := range l.cellsOf {
		for _, cell := range cells.All(domain, n) {
			if l.view.Holds(cell) && !l.stopping {
				rooms[cell] = l.core.FreeCapacity(cell.String(), roomsMinFree)
			}
		}
	}
	return rooms
}

func sameRooms(a, b map[cells.Cell][]int) bool {
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

// sendHellos asks addresses that are not heard for an answer.
func (l *Loop) sendHellos(now time.Time, rooms map[cells.Cell][]int) {
	interval := helloInterval
	if now.Sub(l.beats.began) > eagerTime {
		interval = lateHello
	}
	var data []byte
	for address, last := range l.beats.known {
		if now.Sub(last) < interval || l.isLive(address) {
			continue
		}
		if data == nil {
			data = l.encodeBeat(rooms, true)
		}
		l.beats.known[address] = now
		l.beats.write(address, data)
	}
}

func (l *Loop) isLive(address string) bool {
	return slices.ContainsFunc(l.view.Live, func(e cells.Entry) bool { return e.Beats == address })
}

// sendBeatTo answers a hello, with the addresses of others.
func (l *Loop) sendBeatTo(_ time.Time, address string, hello bool) {
	beat := l.beat(l.freeRooms())
	beat.Hello = hello
	for known := range l.beats.known {
		if len(beat.Known) < maxKnown {
			beat.Known = append(beat.Known, known)
		}
	}
	l.beats.write(address, l.marshal(beat))
}

func (l *Loop) encodeBeat(rooms map[cells.Cell][]int, hello bool) []byte {
	beat := l.beat(rooms)
	beat.Hello = hello
	return l.marshal(beat)
}

func (l *Loop) marshal(beat *fleetpb.Beat) []byte {
	data, err := proto.Marshal(beat)
	if err != nil {
		l.log.Error("heartbeat_unwritable", zap.Error(err))
		return nil
	}
	return data
}

func (l *Loop) beat(rooms map[cells.Cell][]int) *fleetpb.Beat {
	self := l.view.Self
	beat := &fleetpb.Beat{
		Name: self.Name, Address: self.Address, Beats: self.Beats, FailureDomain: self.FailureDomain,
		Incarnation: uint64(self.Incarnation), Weight: self.Weight, IntervalMs: uint32(l.interval().Milliseconds()),
		Leaving: l.stopping, ConfigurationVersion: l.directory.Version, Token: l.maxToken,
	}
	for cell, free := range rooms {
		room := &fleetpb.Room{FailureDomain: cell.FailureDomain, Cell: uint32(cell.Index), Of: uint32(cell.Of)}
		for _, f := range free {
			room.Free = append(room.Free, uint32(f))
		}
		beat.Rooms = append(beat.Rooms, room)
	}
	return beat
}

// write sends a datagram. One that cannot be sent is like one that is lost:
// the receiver notices the silence.
func (b *beats) write(address string, data []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		b.log.Warn("heartbeat_address", zap.String("address", address), zap.Error(err))
		delete(b.known, address)
		return
	}
	if _, err := b.conn.WriteToUDP(data, to); err != nil {
		b.log.Debug("heartbeat_unsent", zap.String("address", address), zap.Error(err))
	}
}

func entryOf(b *fleetpb.Beat) cells.Entry {
	return cells.Entry{
		Name: b.Name, Address: b.Address, Beats: b.Beats, FailureDomain: b.FailureDomain,
		Incarnation: cells.Incarnation(b.Incarnation), Weight: b.Weight,
		Interval: time.Duration(b.IntervalMs) * time.Millisecond, Leaving: b.Leaving,
	}
}
