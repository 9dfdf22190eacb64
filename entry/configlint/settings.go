package configlint

import (
	"fmt"
	"net"
	"slices"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/settings"
)

// warnPeers reports addresses of peers at which no other entry can be reached.
func (s *settingsText) warnPeers() {
	table := s.root.Table("peers")
	own := map[string]string{s.Listen.Caller: "caller", s.Listen.Peer: "peer", s.Listen.Admin: "admin"}
	for i, address := range s.Peers.Addresses {
		first := slices.Index(s.Peers.Addresses, address)
		listener, isOwn := own[address]
		switch {
		case first < i:
			table.AddElement("addresses", i, fmt.Sprintf("repeats addresses[%d]", first), "remove it")
		case isOwn:
			table.AddElement("addresses", i, "is the "+listener+" listener of this entry", "name the peer listeners of other entries")
		case !reachable(address):
			table.AddElement("addresses", i, "is an address at which no entry can be reached", "write the IP address and the port of a peer listener")
		}
	}
}

// reachable reports whether the host and the port of a valid address can be
// connected to from another machine.
func reachable(address string) bool {
	host, port, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && port != "0" && host != "" && (ip == nil || !ip.IsUnspecified())
}

// warnLimits reports limits that contradict other limits of every entry.
func (s *settingsText) warnLimits() {
	table := s.root.Table("limits")
	if s.Limits.MaxWaitingTasks < callerapi.MaxTasks {
		table.Add("max_waiting_tasks", fmt.Sprintf("%d is below the %d tasks that a job may have: larger jobs are always rejected", s.Limits.MaxWaitingTasks, callerapi.MaxTasks),
			fmt.Sprintf("use a number of at least %d", callerapi.MaxTasks))
	}
	if s.Limits.StopTimeout <= settings.BalancerDelay {
		table.Add("stop_timeout", fmt.Sprintf("%s leaves running tasks no time: a stop first waits %s for the balancer", s.Limits.StopTimeout, settings.BalancerDelay),
			"raise it above the longest timeout of a service")
	}
}

// warnSameEntry reports settings of two entries that cannot run at the same time.
// Names are unique, and so are addresses that other machines connect to.
func (s *settingsText) warnSameEntry(other *settingsText) {
	if s.Name == other.Name {
		s.root.Add("name", "is the name of the entry in "+other.file+" too", "give each entry its own name")
	}
	if s.Listen.Peer == other.Listen.Peer && reachable(s.Listen.Peer) {
		s.root.Table("listen").Add("peer", "is the address of the entry in "+other.file+" too", "give each entry its own address")
	}
}
