package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
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

// portAllocator allocates loopback addresses with unused ports.
type portAllocator struct {
	rand *rand.Rand
	used map[int]bool
}

func (p *portAllocator) allocate() (string, error) {
	for range maxTries {
		port := firstPort + p.rand.IntN(lastPort-firstPort+1)
		address := fmt.Sprintf("127.0.0.1:%d", port)
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
