package heartbeat

import (
	"time"

	"github.com/samber/lo"

	"lovagespread.example/membership"
)

// target is an entry to exchange a heartbeat with.
type target struct {
	name     string
	domain   string
	address  string
	interval time.Duration
}

// targets returns the entries that this entry exchanges heartbeats with: all
// entries of its failure domain and, if it is the representative of its failure
// domain, one entry of each other failure domain. An entry known only from the
// platform's list is a target too, as its failure domain may have no known
// representative.
//
// An unresponsive entry represents no other failure domain.
func targets(v *membership.View, unresponsive func(name string) bool) []target {
	reachable := append(notGone(v), v.ListedOnly...)
	candidates := lo.Filter(reachable, func(e membership.Entry, _ int) bool { return !unresponsive(e.Name) })
	var list []target
	for _, e := range reachable {
		if e.FailureDomain == v.Self.FailureDomain {
			list = append(list, target{e.Name, e.FailureDomain, e.Address, domainInterval})
		}
	}
	if representative(v, v.Self.FailureDomain) != v.Self.Name {
		return list
	}
	for _, domain := range domains(candidates) {
		if domain == v.Self.FailureDomain {
			continue
		}
		name := representativeOf(candidates, domain)
		e, _ := lo.Find(candidates, func(e membership.Entry) bool { return e.Name == name })
		list = append(list, target{e.Name, e.FailureDomain, e.Address, remoteInterval})
	}
	return list
}

func notGone(v *membership.View) []membership.Entry {
	return lo.Filter(v.Others, func(e membership.Entry, _ int) bool { return e.State != membership.Gone })
}

func domains(list []membership.Entry) []string {
	return lo.Uniq(lo.Map(list, func(e membership.Entry, _ int) string { return e.FailureDomain }))
}

// representative returns the name of the entry that represents a failure domain
// in exchanges with other failure domains.
func representative(v *membership.View, domain string) string {
	live := append(notGone(v), v.Self)
	return representativeOf(live, domain)
}

// representativeOf returns the first live entry of a failure domain by name, or
// the first entry in any state if none is live.
func representativeOf(list []membership.Entry, domain string) string {
	name, live := "", false
	for _, e := range list {
		if e.FailureDomain != domain {
			continue
		}
		isLive := e.State == membership.Live
		if name == "" || isLive && !live || isLive == live && e.Name < name {
			name, live = e.Name, isLive
		}
	}
	return name
}
