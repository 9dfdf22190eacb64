package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Ports are chosen below the range from which kernels choose the local ports of
// outgoing connections, so that no such connection takes them before their use.
const (
	firstPort = 20_000
	lastPort  = 31_999
	maxTries  = 1000
)

// NoPortError reports that no free port was found.
type NoPortError struct{}

func (*NoPortError) Error() string {
	return fmt.Sprintf("no free port between %d and %d: stop some processes", firstPort, lastPort)
}

// portAllocator allocates unused ports at one loopback address. The processes listen
// there only after the layout is written, so each layout has an address of its own:
// another one that is written or started meanwhile can't take its ports.
type portAllocator struct {
	host netip.Addr
	rand *rand.Rand
	used map[int]bool
}

func newPortAllocator(random *rand.Rand) *portAllocator {
	return &portAllocator{host: randomHost(random), rand: random, used: make(map[int]bool)}
}

// randomHost returns one of 8 million loopback addresses. Its second number is high
// because the networks of package loopback begin with low ones.
func randomHost(random *rand.Rand) netip.Addr {
	const (
		minSecond = 128
		hosts     = 254 // without the first and the last number
	)
	return netip.AddrFrom4([4]byte{127, byte(minSecond + random.IntN(256-minSecond)), byte(random.IntN(256)), byte(1 + random.IntN(hosts))})
}

func (p *portAllocator) allocate() (string, error) {
	for range maxTries {
		port := firstPort + p.rand.IntN(lastPort-firstPort+1)
		address := netip.AddrPortFrom(p.host, uint16(port)).String()
		if p.used[port] || !isFree(address) {
			continue
		}
		p.used[port] = true
		return address, nil
	}
	return "", &NoPortError{}
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
