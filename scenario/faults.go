package scenario

import (
	"strings"

	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
)

// crash stops a host at once: its connections are reset, and nothing that its
// goroutines still send is delivered.
func crash(env *environment, a *args) string {
	name := a.word("an entry or endpoint")
	if e := env.endpoints[name]; e != nil {
		e.crashed = true
		env.fabric.Remove(name)
		e.AbortTasks()
		env.updateVMList()
		return outputf("crashed")
	}
	e := env.entry(a, name)
	env.fabric.Remove(name)
	e.cancel()
	delete(env.entries, name)
	env.crashed = append(env.crashed, e)
	env.updateVMList()
	return outputf("crashed")
}

// stop starts the planned stop of an entry and, unless wait=no, waits for its
// end.
func stop(env *environment, a *args) string {
	name := a.word("an entry")
	e := env.entry(a, name)
	e.cancel()
	if a.text("wait", "yes") == "no" {
		return outputf("stopping")
	}
	return env.awaitStop(e)
}

func freeze(env *environment, a *args) string {
	env.fabric.Freeze(env.checkHost(a, a.word("a host")))
	return outputf("frozen")
}

func thaw(env *environment, a *args) string {
	env.fabric.Thaw(env.checkHost(a, a.word("a host")))
	return outputf("thawed")
}

func cut(env *environment, a *args) string {
	env.eachLink(a, env.fabric.Cut)
	return outputf("cut")
}

func heal(env *environment, a *args) string {
	env.eachLink(a, env.fabric.Heal)
	return outputf("healed")
}

// eachLink calls apply for every pair of hosts that two words name. A word is
// a host, or "domain:" followed by a failure domain.
func (env *environment) eachLink(a *args, apply func(string, string)) {
	left := env.hostsNamed(a, a.word("a host or domain:NAME"))
	right := env.hostsNamed(a, a.word("a second host or domain:NAME"))
	for _, first := range left {
		for _, second := range right {
			apply(first, second)
		}
	}
}

// domainPrefix is the prefix of a word that names a failure domain.
const domainPrefix = "domain:"

func (env *environment) hostsNamed(a *args, word string) []string {
	domain, isDomain := strings.CutPrefix(word, domainPrefix)
	if !isDomain {
		return []string{env.checkHost(a, word)}
	}
	var hosts []string
	for _, name := range env.hosts {
		if env.domainOf(name) == domain {
			hosts = append(hosts, name)
		}
	}
	if len(hosts) == 0 {
		a.fail("no host is in %s", word)
	}
	return hosts
}

func (env *environment) domainOf(name string) string {
	if e := env.endpoints[name]; e != nil {
		return e.domain
	}
	if e := env.entries[name]; e != nil {
		return e.domain
	}
	return ""
}

func silence(env *environment, a *args) string {
	return outputf("%d connections", env.fabric.Silence(env.checkHost(a, a.word("a host"))))
}

func breakConnections(env *environment, a *args) string {
	return outputf("%d connections", env.fabric.Break(env.checkHost(a, a.word("a host"))))
}

// endpointFault replaces the fault switches of an endpoint; "none" clears them.
func endpointFault(env *environment, a *args) string {
	e := env.endpoint(a, a.word("an endpoint"))
	var faults fakeendpoint.Faults
	leaving := false
	for a.hasWords() {
		switch word := a.word("a fault"); word {
		case "none":
		case "fail":
			faults.FailFast = true
		case "lose-reply":
			faults.LoseReply = true
		case "break-after-read":
			faults.BreakAfterRead = true
		case "pause":
			faults.Paused = true
		case "leaving":
			leaving = true
		default:
			a.fail("unknown fault %s", word)
		}
	}
	faults.StraggleFactor = float64(a.number("straggle", 0))
	e.SetFaults(faults)
	e.SetLeaving(leaving)
	env.updateVMList()
	return outputf("set")
}

// platformFault replaces the fault switches of the platform; "none" clears
// them.
func platformFault(env *environment, a *args) string {
	var faults fakeplatform.Faults
	for a.hasWords() {
		switch word := a.word("a fault"); word {
		case "none":
		case "down":
			faults.Down = true
		case "hang":
			faults.Hang = true
		case "stale-list":
			faults.List = fakeplatform.ListStale
		case "empty-list":
			faults.List = fakeplatform.ListEmpty
		default:
			a.fail("unknown fault %s", word)
		}
	}
	if keep := a.number("keep-vms", -1); keep >= 0 {
		faults.List, faults.KeepVMs = fakeplatform.ListShrunken, keep
	}
	faults.SlowMS = a.duration("slow", 0).Milliseconds()
	faults.LoseReplies = a.number("lose-replies", 0)
	env.platform.SetFaults(faults)
	return outputf("set")
}
