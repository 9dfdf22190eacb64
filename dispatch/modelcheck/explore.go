package modelcheck

import "crypto/sha256"

// Report is the result of an exploration.
type Report struct {
	States         int // different worlds visited
	Transitions    int
	Depth          int // steps of the longest shortest path
	TerminalStates int // worlds in which nothing more can happen
	Violations     []Violation
	Truncated      bool // the limit was reached; the exploration is not exhaustive
}

// Violation is a broken promise and the steps that lead to it.
type Violation struct {
	Description string
	Steps       []Action
}

// maxViolations bounds the violations that a report keeps.
const maxViolations = 5

// node is a visited world that has not been expanded, or whose steps are
// needed to explain a violation.
type node struct {
	world  *State
	parent *node
	action Action
}

// Explore visits every world that can be reached from the first one, breadth
// first, up to the given number of worlds.
func Explore(config *Config, maxStates int) Report {
	x := explorer{limit: maxStates, seen: make(map[digest]struct{})}
	x.visit(&node{world: New(config)})
	for len(x.level) > 0 {
		level := x.level
		x.level = nil
		for _, n := range level {
			x.expand(n)
		}
		x.report.Depth++
	}
	return x.report
}

// digest stands for the encoding of a world.
type digest [16]byte

type explorer struct {
	limit  int
	seen   map[digest]struct{}
	level  []*node
	buffer []byte
	report Report
}

func (x *explorer) visit(n *node) {
	x.buffer = n.world.AppendState(x.buffer[:0])
	sum := sha256.Sum256(x.buffer)
	key := digest(sum[:len(digest{})])
	if _, ok := x.seen[key]; ok {
		return
	}
	if len(x.seen) >= x.limit {
		x.report.Truncated = true
		return
	}
	x.seen[key] = struct{}{}
	x.report.States++
	if promise := n.world.Violation(); promise != "" {
		x.found(n, promise)
		return
	}
	x.level = append(x.level, n)
}

func (x *explorer) expand(n *node) {
	actions := n.world.Actions()
	if len(actions) == 0 {
		x.report.TerminalStates++
		n.world.CheckEnd()
		if promise := n.world.Violation(); promise != "" {
			x.found(n, promise)
		}
	}
	for _, a := range actions {
		x.report.Transitions++
		x.visit(&node{world: n.world.Next(a), parent: n, action: a})
	}
	n.world = nil
}

func (x *explorer) found(n *node, promise string) {
	if len(x.report.Violations) >= maxViolations {
		return
	}
	var steps []Action
	for ; n.parent != nil; n = n.parent {
		steps = append([]Action{n.action}, steps...)
	}
	x.report.Violations = append(x.report.Violations, Violation{Description: promise, Steps: steps})
}
