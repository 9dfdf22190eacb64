package tomlcheck

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxSyntaxErrors limits how many lines are blanked out to find further syntax
// errors.
const maxSyntaxErrors = 20

// Document is a parsed text with the problems found in it.
type Document struct {
	file     string
	values   map[string]any
	lines    lineIndex
	problems Problems
}

// Parse parses a text. Syntax errors are recorded as problems of the document.
func Parse(file string, text []byte) *Document {
	d := &Document{file: file, values: make(map[string]any)}
	if d.checkSyntax(text) {
		d.lines = indexLines(text)
	}
	return d
}

// checkSyntax decodes the text and reports whether it is valid TOML. To find
// further errors it blanks out each invalid line, unless the line is a table
// header: without the header, the keys that follow would be checked against the
// wrong table.
func (d *Document) checkSyntax(text []byte) bool {
	rest := bytes.Clone(text)
	for range maxSyntaxErrors {
		values := make(map[string]any)
		err := toml.Unmarshal(rest, &values)
		if err == nil {
			break
		}
		line := d.addSyntaxError(err)
		if !blankLine(rest, line) {
			break
		}
	}
	if d.Failed() {
		return false
	}
	return toml.Unmarshal(text, &d.values) == nil
}

func (d *Document) addSyntaxError(err error) int {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		d.Add(0, "", err.Error(), "write the text in TOML")
		return 0
	}
	line, _ := decode.Position()
	d.Add(line, "", strings.TrimPrefix(decode.Error(), "toml: "), "correct the TOML syntax of this line")
	return line
}

// blankLine overwrites a line with spaces. It returns false if the line does
// not exist, is blank already or is a table header.
func blankLine(text []byte, line int) bool {
	start := 0
	for range line - 1 {
		end := bytes.IndexByte(text[start:], '\n')
		if end < 0 {
			return false
		}
		start += end + 1
	}
	end := bytes.IndexByte(text[start:], '\n')
	if end < 0 {
		end = len(text) - start
	}
	content := text[start : start+end]
	trimmed := bytes.TrimSpace(content)
	if line < 1 || len(trimmed) == 0 || trimmed[0] == '[' {
		return false
	}
	for i := range content {
		content[i] = ' '
	}
	return true
}

// Add records a problem with the text.
func (d *Document) Add(line int, key, what, remedy string) {
	d.problems.Add(Problem{File: d.file, Line: line, Key: key, What: what, Remedy: remedy})
}

// Failed reports whether any problem has been found so far.
func (d *Document) Failed() bool { return len(d.problems.List) > 0 }

// Err returns a *Problems with all problems found so far, or nil.
func (d *Document) Err() error { return d.problems.Err() }

// Root returns the top-level table.
func (d *Document) Root() *Table {
	return newTable(d, "", d.values)
}
