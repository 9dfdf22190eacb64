package tomlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a text.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`          // counted from 1; 0 means the whole file
	Key    string `json:"key,omitempty"` // path of the key, such as service[2].slots
	What   string `json:"what"`          // what is wrong
	Remedy string `json:"remedy"`        // what to write instead
}

// String formats the problem as one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		place += ": " + p.Key
	}
	return place + ": " + p.What + ": " + p.Remedy
}

// Problems is the error for a text with at least one problem.
type Problems struct {
	List []Problem `json:"problems"`
}

// Error returns the problems, one per line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (p *Problems) Add(problem Problem) { p.List = append(p.List, problem) }

// Err returns the problems in order of line, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.List) == 0 {
		return nil
	}
	SortByLine(p.List)
	return p
}

// SortByLine sorts problems by line. Those of one line keep their order.
func SortByLine(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}
