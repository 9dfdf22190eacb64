package entry

import (
	"net"

	"github.com/go-faster/errors"
	"github.com/samber/do/v2"

	"lovagespread.example/entry/listen"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/wire"
)

// listeners are the open listeners of an entry.
type listeners struct {
	caller, peer, admin net.Listener
}

func newListeners(i do.Injector) (*listeners, error) {
	s := do.MustInvoke[settings.Settings](i).Listen
	network := do.MustInvoke[wire.Network](i)
	l := &listeners{}
	for _, spec := range []struct {
		dst     *net.Listener
		address string
	}{{&l.caller, s.Caller}, {&l.peer, s.Peer}, {&l.admin, s.Admin}} {
		opened, err := network.Listen(spec.address)
		if err != nil {
			l.close()
			return nil, errors.Wrap(err, "open listener: correct [listen] in the settings or free the address")
		}
		*spec.dst = listen.LimitListener(opened, listen.MaxConnections)
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
