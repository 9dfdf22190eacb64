package tomlcheck

import (
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of a key, a table or an array element to its line
// number.
type lineIndex map[string]int

type indexer struct {
	parser   unstable.Parser
	newlines []int // offsets of the line feeds
	lines    lineIndex
	counts   map[string]int // number of elements of each array of tables
	table    string         // path of the current table
}

// indexLines returns the line index of a valid text.
func indexLines(text []byte) lineIndex {
	x := &indexer{lines: make(lineIndex), counts: make(map[string]int)}
	for i, b := range text {
		if b == '\n' {
			x.newlines = append(x.newlines, i)
		}
	}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.lines
}

func (x *indexer) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		x.table, _ = x.header(node)
	case unstable.ArrayTable:
		path, line := x.header(node)
		x.counts[path]++
		x.table = element(path, x.counts[path]-1)
		x.lines[x.table] = line
	case unstable.KeyValue:
		x.keyValue(x.table, node)
	}
}

// header indexes the dotted key of a table header. It returns the path of the
// key, without an array index after the last part, and its line.
func (x *indexer) header(node *unstable.Node) (path string, line int) {
	for it := node.Key(); it.Next(); {
		if n := x.counts[path]; n > 0 {
			path = element(path, n-1)
		}
		path = join(path, string(it.Node().Data))
		line = x.line(it.Node())
		if _, known := x.lines[path]; !known {
			x.lines[path] = line
		}
	}
	return path, line
}

func (x *indexer) keyValue(table string, node *unstable.Node) {
	path := table
	for it := node.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
		x.lines[path] = x.line(it.Node())
	}
	x.value(path, node.Value())
}

func (x *indexer) value(path string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.Array:
		x.elements(path, children)
	case unstable.InlineTable:
		for children.Next() {
			if children.Node().Kind == unstable.KeyValue {
				x.keyValue(path, children.Node())
			}
		}
	}
}

func (x *indexer) elements(path string, children unstable.Iterator) {
	n := 0
	for children.Next() {
		node := children.Node()
		if node.Kind == unstable.Comment {
			continue
		}
		name := element(path, n)
		n++
		x.lines[name] = x.lines[path]
		if node.Raw.Length > 0 {
			x.lines[name] = x.line(node)
		}
		x.value(name, node)
	}
}

// line returns the line at which a node begins, counted from 1. It does not use
// Parser.Shape, which counts the lines from the start of the text at each call.
func (x *indexer) line(node *unstable.Node) int {
	before, _ := slices.BinarySearch(x.newlines, int(node.Raw.Offset))
	return before + 1
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func element(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
