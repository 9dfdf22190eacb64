package heartbeat

import (
	"time"

	"github.com/samber/lo"

	"lovagespread.example/membership"
)

// target is an entry to exchange a heartbeat with.
type target struct {
	name    string
	domain  string
	address string
	spacing time.Duration
}

// targets returns whom this entry exchanges heartbeats with: all entries of
// its failure domain, and, if it is the delegate of its failure domain, one
// entry of each other. An entry that is alone in the list so far is a target
// too, as its failure domain has no known delegate.
//
// An entry for which down returns true speaks for no failure domain.
func targets(v *membership.View, down func(name string) bool) []target {
	reachable := append(alive(v), v.ListedOnly...)
	candidates := lo.Filter(reachable, func(e membership.Entry, _ int) bool { return !down(e.Name) })
	var list []target
	for _, e := range reachable {
		if e.FailureDomain == v.Self.FailureDomain {
			list = append(list, target{e.Name, e.FailureDomain, e.Address, nearSpacing})
		}
	}
	if delegate(v, v.Self.FailureDomain) != v.Self.Name {
		return list
	}
	for _, domain := range domains(candidates) {
		if domain == v.Self.FailureDomain {
			continue
		}
		name := delegateOf(candidates, domain)
		e, _ := lo.Find(candidates, func(e membership.Entry) bool { return e.Name == name })
		list = append(list, target{e.Name, e.FailureDomain, e.Address, farSpacing})
	}
	return list
}

func alive(v *membership.View) []membership.Entry {
	return lo.Filter(v.Others, func(e membership.Entry, _ int) bool { return e.State != membership.Gone })
}

func domains(list []membership.Entry) []string {
	return lo.Uniq(lo.Map(list, func(e membership.Entry, _ int) string { return e.FailureDomain }))
}

// delegate returns the name of the entry that speaks for a failure domain.
func delegate(v *membership.View, domain string) string {
	live := append(alive(v), v.Self)
	return delegateOf(live, domain)
}

// delegateOf returns the first live entry by name, or the first of any state.
func delegateOf(list []membership.Entry, domain string) string {
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
