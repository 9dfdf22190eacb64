package scenario

import (
	"strings"

	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
)

// crash ends a host at once: its connections are reset and nothing that it
// still does reaches anybody.
func crash(w *world, a *args) string {
	name := a.word("an entry or endpoint")
	if e := w.endpoints[name]; e != nil {
		e.crashed = true
		w.fabric.Remove(name)
		e.AbortTasks()
		w.listVMs()
		return ok("crashed")
	}
	e := w.entry(a, name)
	w.fabric.Remove(name)
	e.cancel()
	delete(w.entries, name)
	w.crashed = append(w.crashed, e)
	w.listVMs()
	return ok("crashed")
}

// stop stops an entry as planned and waits for its end.
func stop(w *world, a *args) string {
	name := a.word("an entry")
	e := w.entry(a, name)
	e.cancel()
	if a.text("wait", "yes") == "no" {
		return ok("stopping")
	}
	return w.awaitStop(e)
}

func freeze(w *world, a *args) string {
	w.fabric.Freeze(w.known(a, a.word("a host")))
	return ok("frozen")
}

func thaw(w *world, a *args) string {
	w.fabric.Thaw(w.known(a, a.word("a host")))
	return ok("thawed")
}

func cut(w *world, a *args) string {
	w.eachLink(a, w.fabric.Cut)
	return ok("cut")
}

func heal(w *world, a *args) string {
	w.eachLink(a, w.fabric.Heal)
	return ok("healed")
}

// eachLink applies do to every pair of hosts that two words name. A word is
// a host, or "domain:" and a failure domain.
func (w *world) eachLink(a *args, do func(string, string)) {
	left := w.group(a, a.word("a host or domain:NAME"))
	right := w.group(a, a.word("a second host or domain:NAME"))
	for _, one := range left {
		for _, other := range right {
			do(one, other)
		}
	}
}

// domainPrefix begins a word that names a failure domain.
const domainPrefix = "domain:"

func (w *world) group(a *args, word string) []string {
	domain, ok := strings.CutPrefix(word, domainPrefix)
	if !ok {
		return []string{w.known(a, word)}
	}
	var hosts []string
	for _, name := range w.order {
		if w.domainOf(name) == domain {
			hosts = append(hosts, name)
		}
	}
	if len(hosts) == 0 {
		a.fail("no host is in %s", word)
	}
	return hosts
}

func (w *world) domainOf(name string) string {
	if e := w.endpoints[name]; e != nil {
		return e.domain
	}
	if e := w.entries[name]; e != nil {
		return e.domain
	}
	return ""
}

func silence(w *world, a *args) string {
	return ok("%d connections", w.fabric.Silence(w.known(a, a.word("a host"))))
}

func breakConnections(w *world, a *args) string {
	return ok("%d connections", w.fabric.Break(w.known(a, a.word("a host"))))
}

// endpointFault sets fault switches of an endpoint; "none" clears them.
func endpointFault(w *world, a *args) string {
	e := w.endpoint(a, a.word("an endpoint"))
	var faults fakeendpoint.Faults
	leaving := false
	for a.more() {
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
	w.listVMs()
	return ok("set")
}

// platformFault sets the fault switches of the platform; "none" clears them.
func platformFault(w *world, a *args) string {
	var faults fakeplatform.Faults
	for a.more() {
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
	w.platform.SetFaults(faults)
	return ok("set")
}
