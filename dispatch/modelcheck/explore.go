package modelcheck

import "crypto/sha256"

// Report is the result of an exploration.
type Report struct {
	States         int // distinct states visited
	Transitions    int
	Depth          int // levels of the breadth-first search, including the initial state
	TerminalStates int // states in which no action is possible
	Violations     []Violation
	Truncated      bool // the limit was reached; the exploration is not exhaustive
}

// Violation is a violated invariant and the actions that lead to it.
type Violation struct {
	Description string
	Steps       []Action
}

// maxViolations bounds the number of violations in a report.
const maxViolations = 5

// node is a visited state that has not been expanded, or whose action is
// needed to list the steps to a violation.
type node struct {
	state  *State
	parent *node
	action Action
}

// Explore visits every state that is reachable from the initial one, breadth
// first, up to the given number of states.
func Explore(config *Config, maxStates int) Report {
	x := explorer{limit: maxStates, seen: make(map[digest]struct{})}
	x.visit(&node{state: New(config)})
	for len(x.frontier) > 0 {
		level := x.frontier
		x.frontier = nil
		for _, n := range level {
			x.expand(n)
		}
		x.report.Depth++
	}
	return x.report
}

// digest is a truncated hash of the encoding of a state.
type digest [16]byte

type explorer struct {
	limit    int
	seen     map[digest]struct{}
	frontier []*node
	buffer   []byte
	report   Report
}

func (x *explorer) visit(n *node) {
	x.buffer = n.state.AppendState(x.buffer[:0])
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
	if description := n.state.Violation(); description != "" {
		x.addViolation(n, description)
		return
	}
	x.frontier = append(x.frontier, n)
}

func (x *explorer) expand(n *node) {
	actions := n.state.Actions()
	if len(actions) == 0 {
		x.report.TerminalStates++
		n.state.CheckTerminal()
		if description := n.state.Violation(); description != "" {
			x.addViolation(n, description)
		}
	}
	for _, a := range actions {
		x.report.Transitions++
		x.visit(&node{state: n.state.Next(a), parent: n, action: a})
	}
	n.state = nil
}

func (x *explorer) addViolation(n *node, description string) {
	if len(x.report.Violations) >= maxViolations {
		return
	}
	var steps []Action
	for ; n.parent != nil; n = n.parent {
		steps = append([]Action{n.action}, steps...)
	}
	x.report.Violations = append(x.report.Violations, Violation{Description: description, Steps: steps})
}
