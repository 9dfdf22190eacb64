package fleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Intervals and sizes of heartbeats.
const (
	heartbeatInterval = 110 * time.Millisecond // with few entries
	// An interval grows by one heartbeatInterval for each entriesPerInterval
	// receivers, so that an entry sends a bounded number of datagrams per second.
	entriesPerInterval = 12
	helloInterval      = 400 * time.Millisecond // to addresses that have not answered
	lateHelloInterval  = 3 * time.Second        // the same, after earlyPeriod
	earlyPeriod        = 10 * time.Second       // since the start
	maxDatagram        = 8 << 10
	maxKnownAddresses  = 64 // addresses in one datagram
)

// heartbeats sends and receives heartbeats. Except in receive, it is used only
// by the goroutine of the loop.
//
// The entries of a failure domain must notice soon that a holder of their cells
// is lost: its endpoints get no tasks until then. So a holder sends heartbeats
// to the entries of its own domain at an interval that depends on their number
// only. All other heartbeats are sent at an interval that depends on the number
// of all entries. Each heartbeat tells its receiver the interval that applies.
type heartbeats struct {
	conn       *net.UDPConn
	ownAddress string
	startedAt  time.Time
	known      map[string]*knownAddress
	counts     [fromSettings + 1]int // of the known addresses, by source
	refusals   *refusals             // of addresses
	nextLocal  time.Time             // when the next heartbeat to the own failure domain is due
	nextRemote time.Time             // the same for other failure domains
	nextHello  time.Time             // when the next hellos are due
	announced  [2]announcement       // to the holders of the own failure domain, and of the others
	log        *zap.Logger
}

func newHeartbeats(conn *net.UDPConn, s Settings, m *metrics, log *zap.Logger) *heartbeats {
	h := &heartbeats{
		conn: conn, ownAddress: s.HeartbeatAddress, startedAt: time.Now(), known: make(map[string]*knownAddress),
		refusals: newRefusals(m, "address"), log: log,
	}
	h.addAddresses(h.startedAt, s.Seeds, fromSettings)
	return h
}

func (h *heartbeats) addAddressesOf(heartbeat *fleetpb.Beat) {
	now := time.Now()
	h.addAddress(now, heartbeat.Beats, fromSender)
	h.addAddresses(now, heartbeat.Known, fromOthers)
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
		l.guard.do("heartbeat", func() { l.receiveDatagram(buffer[:n]) })
	}
}

// receiveDatagram decodes a datagram and passes it to the loop. It skips one that
// no entry sends.
func (l *Loop) receiveDatagram(data []byte) {
	heartbeat := &fleetpb.Beat{}
	err := proto.Unmarshal(data, heartbeat)
	if err == nil {
		err = validateHeartbeat(heartbeat, time.Now())
	}
	if err != nil {
		l.log.Warn("heartbeat_unreadable", zap.Error(err))
		return
	}
	l.send(peerHeartbeat{heartbeat})
}

// maxLocalInterval bounds the interval of heartbeats within a failure domain, so
// that a holder hears of the entries whose jobs it runs within callerSilence.
const maxLocalInterval = 4 * heartbeatInterval

// interval returns the time between heartbeats to entries of the own failure
// domain, or of other ones.
func (l *Loop) interval(local bool) time.Duration {
	receivers := len(l.view.Live) + 1
	if local && l.core.Status().Endpoints > 0 {
		receivers = 1 + lo.CountBy(l.view.Live, l.isLocal)
	}
	interval := heartbeatInterval * time.Duration((receivers+entriesPerInterval-1)/entriesPerInterval)
	if local {
		return min(interval, maxLocalInterval)
	}
	return interval
}

func (l *Loop) isLocal(e cells.Entry) bool {
	return e.FailureDomain == l.view.Self.FailureDomain
}

// sendHeartbeats sends the heartbeats that are due to all live entries. If the
// free capacity has changed, it announces it to the holders of cells earlier.
func (l *Loop) sendHeartbeats(now time.Time) {
	h := l.heartbeats
	l.ownCapacity = l.freeCapacity()
	localDue, remoteDue := !now.Before(h.nextLocal), !now.Before(h.nextRemote)
	if localDue {
		h.nextLocal = now.Add(l.interval(true))
		l.sendToLive(true)
		l.sendToCalled()
		h.announced[ownDomain].record(now, l.ownCapacity)
	}
	if remoteDue {
		h.nextRemote = now.Add(l.interval(false))
		l.sendToLive(false)
		h.announced[otherDomains].record(now, l.ownCapacity)
	}
	if !now.Before(h.nextHello) {
		h.nextHello = now.Add(heartbeatInterval)
		l.sendHellos(now)
	}
	l.announceFreeCapacity(now)
}

// sendToLive sends a heartbeat to all live entries of the own failure domain, or
// to those of the others.
func (l *Loop) sendToLive(local bool) {
	heartbeat := l.heartbeat(local)
	l.announceDemand(time.Now(), heartbeat, local)
	data := l.marshal(heartbeat)
	for _, e := range l.view.Live {
		if l.isLocal(e) == local {
			l.heartbeats.write(e.HeartbeatAddress, data)
		}
	}
}

// sendToCalled sends a heartbeat to the entries of other failure domains that run
// jobs or tasks for this one, or may still do so after their calls were withdrawn, if
// the usual interval would let them take it for lost.
func (l *Loop) sendToCalled() {
	if l.interval(false) <= maxLocalInterval {
		return
	}
	var data []byte
	for _, id := range l.peers.outbound.heartbeatReceivers() {
		e, live := l.view.Find(id)
		if !live || l.isLocal(e) {
			continue
		}
		if data == nil {
			data = l.encodeHeartbeat(false, false)
		}
		l.heartbeats.write(e.HeartbeatAddress, data)
	}
}

// sendHellos sends a hello to known addresses from which no heartbeats arrive. A
// hello asks the receiver for a heartbeat.
func (l *Loop) sendHellos(now time.Time) {
	interval := helloInterval
	if now.Sub(l.heartbeats.startedAt) > earlyPeriod {
		interval = lateHelloInterval
	}
	l.heartbeats.forgetUnused(now)
	live := make(map[string]bool, len(l.view.Live))
	for _, e := range l.view.Live {
		live[e.HeartbeatAddress] = true
	}
	var data []byte
	sent := 0
	for address, k := range l.heartbeats.known {
		if now.Sub(k.helloAt) < interval || live[address] {
			continue
		}
		if sent++; sent > maxHellos {
			return // the others follow in the next rounds
		}
		if data == nil {
			data = l.encodeHeartbeat(false, true)
		}
		k.helloAt = now
		l.heartbeats.write(address, data)
	}
}

// sendHeartbeatTo answers a hello with a heartbeat that includes known addresses
// of other entries.
func (l *Loop) sendHeartbeatTo(address string, local bool) {
	heartbeat := l.heartbeat(local)
	heartbeat.Known = l.heartbeats.addressesForOthers()
	l.heartbeats.write(address, l.marshal(heartbeat))
}

func (l *Loop) encodeHeartbeat(local, hello bool) []byte {
	heartbeat := l.heartbeat(local)
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

func (l *Loop) heartbeat(local bool) *fleetpb.Beat {
	self := l.view.Self
	sentAt := bootMicroseconds(l.freezeDetector.readClocks) // the heartbeat names the withdrawals up to then
	withdrawals := l.peers.outbound.withdrawals(time.Now())
	l.logOverflow(withdrawals.overflow)
	heartbeat := &fleetpb.Beat{
		Name: self.Name, Address: self.Address, Beats: self.HeartbeatAddress, FailureDomain: self.FailureDomain,
		Incarnation: uint64(self.Incarnation), Weight: self.Weight, IntervalMs: uint32(l.interval(local).Milliseconds()),
		Leaving: l.stopping, ConfigurationVersion: l.directory.Version, Token: l.maxToken,
		CallEpochs: withdrawals.epochs, WithdrawnCalls: withdrawals.calls, SentUs: sentAt,
	}
	// A task of a job that this entry has submitted may have been delegated to it.
	l.withdrawCaused(heartbeat)
	l.announceLogContact(heartbeat)
	if l.directory.Evacuations != nil {
		heartbeat.EvacuationsRevision = l.directory.Evacuations.Revision
	}
	for cell, free := range l.ownCapacity {
		announcement := &fleetpb.Room{FailureDomain: cell.FailureDomain, Cell: uint32(cell.Index), Of: uint32(cell.Total)}
		for _, f := range free {
			announcement.Free = append(announcement.Free, uint32(f))
		}
		l.announceLoad(announcement)
		heartbeat.Rooms = append(heartbeat.Rooms, announcement)
	}
	return heartbeat
}

// write sends a datagram. A datagram that cannot be sent is treated like a lost
// one: the receiver detects the missing heartbeat.
func (h *heartbeats) write(address string, data []byte) {
	to, err := ParseAddress(address)
	if err != nil {
		h.refuse(time.Now(), err)
		return
	}
	if _, err := h.conn.WriteToUDPAddrPort(data, to); err != nil {
		h.log.Debug("heartbeat_unsent", zap.String("address", address), zap.Error(err))
	}
}

// InvalidHeartbeatError reports a heartbeat that no correct entry sends.
type InvalidHeartbeatError struct{ Name, Reason string }

func (e *InvalidHeartbeatError) Error() string {
	return fmt.Sprintf("the heartbeat of %.*q is not valid: %s; check what sends to the heartbeat port", maxLoggedAddress, e.Name, e.Reason)
}

// Limits of heartbeats that are accepted.
const (
	maxHeartbeatInterval = 15 * time.Minute
	MaxWeight            = 1 << 12 // processors
	maxCells             = 1 << 16 // of a failure domain
	// maxTokenLead is how far a token may be ahead of the time of day. An entry
	// that accepts any token could be made to use up all of them.
	maxTokenLead = 30 * 24 * time.Hour
)

// validateHeartbeat returns an *InvalidHeartbeatError if a heartbeat would do
// harm: each field that is passed on, or that decides how long its sender counts
// as live and what it holds, must be in range.
func validateHeartbeat(b *fleetpb.Beat, now time.Time) error {
	reason := ""
	_, beatsErr := ParseAddress(b.Beats)
	_, callsErr := ParseAddress(b.Address)
	switch {
	case b.Name == "" || b.Beats == "" || b.FailureDomain == "" || b.Incarnation == 0:
		reason = "its name, address, failure domain or incarnation is missing"
	case beatsErr != nil:
		reason = beatsErr.Error()
	case callsErr != nil:
		reason = callsErr.Error()
	case !(b.Weight >= 0 && b.Weight <= MaxWeight): // also excludes NaN
		reason = fmt.Sprintf("weight %v", b.Weight)
	case time.Duration(b.IntervalMs)*time.Millisecond > maxHeartbeatInterval:
		reason = fmt.Sprintf("interval of %d ms", b.IntervalMs)
	case b.SentUs > maxSentMicroseconds:
		reason = fmt.Sprintf("sent when the boot clock showed %d us", b.SentUs)
	case b.EvacuationsRevision < 0:
		reason = fmt.Sprintf("revision %d of evacuations", b.EvacuationsRevision)
	case b.Token < 0 || b.Token>>tokenLowBits > now.Add(maxTokenLead).UnixMilli():
		reason = fmt.Sprintf("token %d", b.Token)
	}
	for _, e := range b.CallEpochs {
		if e.Incarnation == 0 || e.Epoch == 0 || e.Epoch > maxEpoch {
			reason = fmt.Sprintf("epoch %d of calls to incarnation %d", e.Epoch, e.Incarnation)
		}
	}
	for _, w := range b.WithdrawnCalls {
		if err := validateWithdrawn(w); err != nil {
			reason = err.Error()
		}
	}
	for _, r := range b.Rooms {
		if r.Of == 0 || r.Of > maxCells || r.Cell >= r.Of || r.FailureDomain == "" {
			reason = fmt.Sprintf("free capacity of cell %d of %d", r.Cell, r.Of)
		}
	}
	if reason != "" {
		return &InvalidHeartbeatError{b.Name, reason}
	}
	return nil
}

func entryOf(b *fleetpb.Beat) cells.Entry {
	return cells.Entry{
		Name: b.Name, Address: b.Address, HeartbeatAddress: b.Beats, FailureDomain: b.FailureDomain,
		Incarnation: cells.Incarnation(b.Incarnation), Weight: b.Weight,
		Interval: time.Duration(b.IntervalMs) * time.Millisecond, Leaving: b.Leaving, YieldsShards: b.YieldsShards,
	}
}
