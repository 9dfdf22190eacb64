package usersplatform

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"lovagespread.example/standin/peerproxy"
)

// entriesTopic is the topic to which entries write their heartbeat addresses.
const entriesTopic = "keyed.entries"

// connectEntries starts the proxy through which the entries reach each other.
func (d *Deployment) connectEntries() (*peerproxy.Network, error) {
	opts := peerproxy.Options{PeerPort: firstPort, HeartbeatPort: firstPort + 1}
	for domain := range d.opts.Domains {
		for n := range d.opts.Entries {
			opts.Entries = append(opts.Entries, d.entryAddress(domain, n))
		}
	}
	return peerproxy.New(opts)
}

// seed returns the control address of the first entry at the proxy. Entries derive
// its heartbeat address from it.
func (d *Deployment) seed() string {
	const controlPort = 8166
	return peerproxy.Announced(fmt.Sprintf("%v:%d", d.entryAddress(0, 0), controlPort), d.network.Number())
}

func (d *Deployment) entryAddress(domain, n int) netip.Addr {
	const hostsPerDomain = 32
	const firstHost = 2
	return d.network.Host(domain*hostsPerDomain + n + firstHost)
}

// announceProxy passes requests to the store. Where an entry writes its heartbeat
// address, it replaces it by that at the proxy.
func (d *Deployment) announceProxy(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Query().Get("topic") == entriesTopic {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(strings.NewReader(peerproxy.Announced(string(body), d.network.Number())))
		}
		store.ServeHTTP(w, r)
	})
}
