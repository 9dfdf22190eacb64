package configlint

import (
	"errors"

	"github.com/pelletier/go-toml/v2"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/configdiff"
	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/entry/settings"
	"lovagespread.example/logservice/platformapi"
)

// Kind is the kind of a configuration file.
type Kind string

// Kinds of files.
const (
	KindServices Kind = "services"
	KindSettings Kind = "settings"
)

// Detect recognizes a services file by its tables. Other texts, also those with
// syntax errors, count as settings.
func Detect(text []byte) Kind {
	var probe struct {
		Service any `toml:"service"`
		Team    any `toml:"team"`
	}
	_ = toml.Unmarshal(text, &probe) // a syntax error is reported by Check
	if probe.Service != nil || probe.Team != nil {
		return KindServices
	}
	return KindSettings
}

// Text is the content of one file.
type Text struct {
	File    string // names the text in problems
	Kind    Kind
	Content []byte
}

// Facts are what is known beside the texts. Rules that need an unknown fact report
// nothing.
type Facts struct {
	// Current is the configuration in force; nil if unknown.
	Current *catalog.Catalog
	// VMs is the platform's list, with the endpoints of all failure domains; empty
	// if unknown.
	VMs []platformapi.VM
	// Callers holds the names in tokens.callers_file, by the file of the settings.
	Callers map[string][]string
}

// Result is what Check has found. Each list is in order of file, then line.
type Result struct {
	Problems    []tomlcheck.Problem // errors: the text must not be used
	Warnings    []tomlcheck.Problem
	Differences []configdiff.Difference // from Facts.Current and Facts.VMs, most harmful first
}

// Check checks texts one by one, together, and against the facts. If any text has
// an error, only the errors are reported, because warnings about the values that
// replace wrong ones would mislead.
func Check(texts []Text, facts Facts) Result {
	var result Result
	c := &checker{facts: &facts}
	for _, text := range texts {
		result.Problems = append(result.Problems, c.parse(text)...)
	}
	if len(result.Problems) > 0 {
		return result
	}
	c.warn()
	for _, doc := range c.docs {
		result.Warnings = append(result.Warnings, problemsOf(doc.Err())...)
	}
	result.Warnings = append(result.Warnings, inForceWarnings(&facts)...)
	result.Differences = c.differences()
	return result
}

// checker holds the parsed texts.
type checker struct {
	facts    *Facts
	docs     []*tomlcheck.Document // collect the warnings, in the order of the texts
	services []*servicesText
	settings []*settingsText
}

// servicesText is a services file without errors.
type servicesText struct {
	file     string
	catalog  *catalog.Catalog
	services []*tomlcheck.Table // of catalog.Services
	teams    []*tomlcheck.Table // of catalog.Teams
	root     *tomlcheck.Table
}

// settingsText is a settings file without errors.
type settingsText struct {
	file string
	settings.Settings
	root *tomlcheck.Table
}

// parse parses a text with the parser that the entries use, and returns its errors.
func (c *checker) parse(text Text) []tomlcheck.Problem {
	doc := tomlcheck.Parse(text.File, text.Content)
	root := doc.Root()
	if text.Kind == KindServices {
		parsed, err := catalog.ParseServices(text.File, text.Content)
		if err == nil {
			err = c.checkResult(text.File, parsed)
		}
		if err != nil {
			return problemsOf(err)
		}
		c.services = append(c.services, &servicesText{
			file: text.File, catalog: parsed, root: root, services: root.Tables("service"), teams: root.Tables("team"),
		})
	} else {
		parsed, err := settings.Parse(text.File, text.Content)
		if err != nil {
			return problemsOf(err)
		}
		c.settings = append(c.settings, &settingsText{file: text.File, Settings: parsed, root: root})
	}
	c.docs = append(c.docs, doc)
	return nil
}

// warn applies all rules for warnings.
func (c *checker) warn() {
	for _, s := range c.services {
		s.warnNames()
		s.warnTimeouts()
		s.warnDeployment(c.facts.VMs)
	}
	for i, s := range c.settings {
		for _, other := range c.settings[:i] {
			s.warnSameEntry(other)
		}
		s.warnPeers()
		s.warnLimits()
		s.warnDeployment(c.facts)
		for _, services := range c.services {
			warnTogether(s, services)
			warnCallers(s, services, c.facts)
		}
	}
}

// problemsOf returns the problems in the error of a parser, in order of line.
func problemsOf(err error) []tomlcheck.Problem {
	var problems *tomlcheck.Problems
	switch {
	case err == nil:
		return nil
	case errors.As(err, &problems):
		tomlcheck.SortByLine(problems.List)
		return problems.List
	}
	return []tomlcheck.Problem{{What: err.Error(), Remedy: "correct the text"}}
}
