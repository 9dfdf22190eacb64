package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

// addressSource tells who has named a heartbeat address. Sources with higher numbers are
// trusted more: an address has the highest of its sources.
type addressSource uint8

const (
	fromOthers   addressSource = iota // a heartbeat of another entry names it
	fromList                          // the list of entries
	fromSender                        // a heartbeat names it as that of its own sender
	fromSettings                      // the seeds of the settings
)

// maxAddresses bounds the addresses of each source. They are kept apart, so that many
// unused addresses do not take the place of those of entries. The list keeps the
// addresses of machines that were replaced, so it may be far longer than the fleet.
var maxAddresses = [...]int{fromOthers: 256, fromList: 2048, fromSender: 1024, fromSettings: 64}

const (
	// addressRetention is how long an address is kept that neither the settings nor the
	// list of entries name, after another entry has named it for the last time. It
	// covers the longest partition of a network that entries should find each other
	// after without the list.
	addressRetention = 10 * time.Minute
	// maxHellos bounds the hellos that are sent at once.
	maxHellos        = 128
	maxLoggedAddress = 80 // bytes
)

// knownAddress is a heartbeat address to which hellos are sent while no heartbeats come
// from there.
type knownAddress struct {
	source  addressSource
	listed  bool      // by the newest list of entries
	namedAt time.Time // by another entry
	helloAt time.Time // when the last hello was sent
}

// InvalidAddressError reports an address at which nothing can be received.
type InvalidAddressError struct{ Address string }

func (e *InvalidAddressError) Error() string {
	return fmt.Sprintf("the address %.*q is not an IPv4 number and a port of 1 to 65535: correct the settings or the record that has it",
		maxLoggedAddress, e.Address)
}

// ParseAddress parses the address of an entry or endpoint. It looks up no names, which would
// stop the loop, and refuses other spellings of an address, which would count as others.
// The error is an *InvalidAddressError.
func ParseAddress(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	ip := parsed.Addr()
	if err != nil || !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) ||
		parsed.Port() == 0 || parsed.String() != address {
		return netip.AddrPort{}, &InvalidAddressError{address}
	}
	return parsed, nil
}

// addAddress adds an address, or raises the source of a known one. It refuses an invalid
// one, and one beyond the limit of its source.
func (h *heartbeats) addAddress(now time.Time, address string, source addressSource) {
	if address == h.ownAddress {
		return
	}
	k := h.known[address]
	if k == nil {
		if _, err := ParseAddress(address); err != nil {
			h.refuse(now, err)
			return
		}
		if h.counts[source] >= maxAddresses[source] {
			h.refusals.add(1)
			return
		}
		k = &knownAddress{source: source}
		h.known[address] = k
		h.counts[source]++
	}
	if source > k.source && h.counts[source] < maxAddresses[source] {
		h.setSource(k, source)
	}
	switch source {
	case fromList:
		k.listed = true
	case fromOthers, fromSender:
		k.namedAt = now
	}
}

func (h *heartbeats) setSource(k *knownAddress, source addressSource) {
	h.counts[k.source]--
	k.source = source
	h.counts[source]++
}

func (h *heartbeats) addAddresses(now time.Time, list []string, source addressSource) {
	for _, address := range list {
		h.addAddress(now, address, source)
	}
}

// setListed replaces the addresses of the list of entries.
func (h *heartbeats) setListed(now time.Time, list []string) {
	for _, k := range h.known {
		k.listed = false
	}
	h.addAddresses(now, list, fromList)
	for _, k := range h.known {
		if k.source == fromList && !k.listed {
			h.setSource(k, fromOthers)
		}
	}
}

// forgetUnused forgets the addresses that nobody names any more.
func (h *heartbeats) forgetUnused(now time.Time) {
	maps.DeleteFunc(h.known, func(_ string, k *knownAddress) bool {
		unused := k.source != fromSettings && !k.listed && now.Sub(k.namedAt) > addressRetention
		if unused {
			h.counts[k.source]--
		}
		return unused
	})
}

// addressesForOthers returns the addresses that a heartbeat may name, those of senders
// first. It leaves out those that only other entries have named: unused ones would go
// round between the entries for good.
func (h *heartbeats) addressesForOthers() []string {
	var senders, others []string
	for address, k := range h.known {
		switch k.source {
		case fromSender:
			senders = append(senders, address)
		case fromList, fromSettings:
			others = append(others, address)
		}
	}
	list := append(senders, others...)
	return list[:min(len(list), maxKnownAddresses)]
}

// refuse counts and logs an invalid address.
func (h *heartbeats) refuse(now time.Time, err error) {
	h.refusals.add(1)
	if notLogged, ok := h.refusals.mayLog(now); ok {
		h.log.Warn("heartbeat_address", zap.Error(err), zap.Int("not_logged", notLogged))
	}
}

// listedAddresses is a message with the heartbeat addresses of the list of entries.
type listedAddresses struct{ addresses []string }

func (m listedAddresses) handle(l *Loop) { l.heartbeats.setListed(time.Now(), m.addresses) }

// seedAddresses is a message that adds heartbeat addresses of the settings.
type seedAddresses struct{ addresses []string }

func (m seedAddresses) handle(l *Loop) {
	l.heartbeats.addAddresses(time.Now(), m.addresses, fromSettings)
}
