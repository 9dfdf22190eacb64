// Package loopback reserves networks of loopback addresses, so that deployments of
// several processes on one VM don't use each other's addresses.
//
// A port that is closed in order to be used again is not reserved: until then, any
// listener or outgoing connection may get it.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// Third numbers of loopback addresses. 127.0.0.x is left to listeners that let the
// kernel choose a port.
const (
	firstNumber = 1
	numbers     = 255
)

// Ports on which owners of a network listen should be below the range from which
// kernels choose the local ports of outgoing connections.
const (
	lockHost = 1
	lockPort = 7719 // UDP; bound as long as the network is reserved
)

// Network is the loopback addresses 127.x.N.y. It is reserved until Close, or until the
// process and those that have inherited its File end.
type Network struct {
	number int
	lock   *net.UDPConn
}

// InUseError reports that a network is reserved by another owner.
type InUseError struct {
	Number int
	Err    error
}

func (e *InUseError) Error() string {
	return fmt.Sprintf("the network 127.x.%d.y is in use, choose another one: %v", e.Number, e.Err)
}

// Unwrap returns the error of the attempt to reserve the network.
func (e *InUseError) Unwrap() error { return e.Err }

// Reserve reserves a network that nobody else has reserved. The search begins at a
// random one.
func Reserve() (*Network, error) {
	var failed error
	start := rand.IntN(numbers)
	for i := range numbers {
		network, err := ReserveNumber(firstNumber + (start+i)%numbers)
		if err == nil {
			return network, nil
		}
		failed = err
	}
	return nil, errors.Wrap(failed, "all networks are in use")
}

// ReserveNumber reserves the network with the third number N. It returns an
// InUseError if it is reserved already.
func ReserveNumber(number int) (*Network, error) {
	network := &Network{number: number}
	address := netip.AddrPortFrom(network.Host(lockHost), lockPort)
	lock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &InUseError{Number: number, Err: err}
	}
	network.lock = lock
	return network, nil
}

// Number returns N.
func (n *Network) Number() int { return n.number }

// Host returns the address 127.0.N.host. Host 1 is used by the network itself.
func (n *Network) Host(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(n.number), byte(host)})
}

// File returns a duplicate of the socket that reserves the network. A process that
// inherits it keeps the network reserved until it ends, even if the owner ends first.
func (n *Network) File() (*os.File, error) {
	file, err := n.lock.File()
	if err != nil {
		return nil, errors.Wrap(err, "duplicate the socket that reserves a network")
	}
	return file, nil
}

// Close ends the reservation, unless processes have inherited its File.
func (n *Network) Close() { _ = n.lock.Close() }
