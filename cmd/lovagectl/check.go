package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/entry/configlint"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/token"
	"lovagespread.example/logservice"
	"lovagespread.example/platform/routelint"
)

// checkReport is the JSON form of the result of check.
type checkReport struct {
	Files    []string            `json:"files"`
	Problems []tomlcheck.Problem `json:"problems"` // errors
	Warnings []tomlcheck.Problem `json:"warnings"`
	InForce  *diffReport         `json:"in_force,omitempty"` // only with -platform or -store
}

// kindAuto is the value of -kind with which the kind of each file is detected.
const kindAuto = "auto"

// checkFlags holds the flags of check.
type checkFlags struct {
	platformFlags
	store      string
	kind       string
	namedFiles bool
}

func (f *checkFlags) register(in *invocation) {
	f.platformFlags.register(in.flags)
	in.flags.Lookup("platform").Usage = "base `URL` of the platform, as in http://10.0.0.1:9000; also compare with the version in force and the list of VMs (default: no network access)"
	in.flags.StringVar(&f.kind, "kind", kindAuto, "kind of the files: settings, services, routes, or auto to detect it from their tables, and routes from JSON")
	in.flags.StringVar(&f.store, "store", "", "`address`, host:port, of the store of the users' platform; also compare routes with the version in force (default: no network access)")
	in.flags.BoolVar(&f.namedFiles, "files", false, "also check that files named in the settings can be read on this machine, and the teams of tokens.callers_file")
}

func check(in *invocation) error {
	var flags checkFlags
	flags.register(in)
	files, err := in.parse(1, -1)
	if err != nil {
		return err
	}
	texts, err := readTexts(flags.kind, files)
	if err != nil {
		return err
	}
	if err := flags.checkSources(texts); err != nil {
		return err
	}
	facts := configlint.Facts{}
	result := checkTexts(texts, facts, nil)
	if flags.namedFiles {
		result.Problems = append(result.Problems, checkNamedFiles(texts, &facts)...)
	}
	if len(result.Problems) > 0 {
		return showCheck(in, files, nil, &result)
	}
	return flags.compare(in, files, texts, facts)
}

// compare checks texts without errors again, together with what is in force.
func (f *checkFlags) compare(in *invocation, files []string, texts []configlint.Text, facts configlint.Facts) error {
	var (
		routes    *routelint.Record
		undecoded []tomlcheck.Problem
		version   *uint64
		err       error
	)
	switch {
	case f.url != "":
		if err = f.readFacts(in.ctx, &facts); err == nil {
			version = &facts.Current.Version
		}
	case f.store != "":
		if routes, undecoded, err = f.readRoutes(in.ctx); routes != nil {
			version = &routes.Version
		}
	}
	if err != nil {
		return err
	}
	result := checkTexts(texts, facts, routes)
	result.Warnings = append(result.Warnings, undecoded...)
	return showCheck(in, files, version, &result)
}

func readTexts(kind string, files []string) ([]configlint.Text, error) {
	texts := make([]configlint.Text, len(files))
	for i, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "name a readable file")
		}
		texts[i] = configlint.Text{File: file, Kind: configlint.Kind(kind), Content: content}
		switch texts[i].Kind {
		case kindAuto:
			texts[i].Kind = detect(content)
		case configlint.KindServices, configlint.KindSettings, kindRoutes:
		default:
			return nil, usagef("unknown kind %q: use settings, services, routes or auto", kind)
		}
	}
	return texts, nil
}

// detect recognizes the kind of a text.
func detect(text []byte) configlint.Kind {
	if routelint.IsRoutes(text) {
		return kindRoutes
	}
	return configlint.Detect(text)
}

// checkNamedFiles checks the files that valid settings name, and adds the names of
// the callers to the facts.
func checkNamedFiles(texts []configlint.Text, facts *configlint.Facts) []tomlcheck.Problem {
	found := &tomlcheck.Problems{}
	facts.Callers = make(map[string][]string)
	for _, text := range texts {
		if text.Kind != configlint.KindSettings {
			continue
		}
		s, err := settings.Parse(text.File, text.Content)
		if err != nil {
			continue // already reported
		}
		var problems *tomlcheck.Problems
		if err := s.CheckFiles(text.File); errors.As(err, &problems) {
			found.List = append(found.List, problems.List...)
			continue
		}
		callers, err := token.Load(s.Tokens.CallersFile)
		if err != nil {
			found.Add(tomlcheck.Problem{File: text.File, Key: "tokens.callers_file", What: err.Error(), Remedy: "correct the file"})
		} else if callers != nil {
			facts.Callers[text.File] = callers.Names()
		}
	}
	return found.List
}

// readFacts reads the version in force and the list of VMs.
func (f *platformFlags) readFacts(ctx context.Context, facts *configlint.Facts) error {
	s, err := f.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	client, err := f.client()
	if err != nil {
		return err
	}
	list, err := client.VMs(s.ctx, logservice.VMQuery{})
	if err != nil {
		return err
	}
	facts.Current, facts.VMs = s.currentCatalog(), list.VMs
	return nil
}

// showCheck writes the report and returns the error that sets the exit code: errors
// go before warnings, and warnings before differences. The version is that in force,
// or nil if nothing was compared.
func showCheck(in *invocation, files []string, version *uint64, result *configlint.Result) error {
	report := checkReport{
		Files:    files,
		Problems: append([]tomlcheck.Problem{}, result.Problems...),
		Warnings: append([]tomlcheck.Problem{}, result.Warnings...),
	}
	if len(result.Problems) > 0 {
		if in.json {
			_ = in.writeJSON(report)
		}
		return &tomlcheck.Problems{List: result.Problems}
	}
	if version != nil {
		report.InForce = newDiffReport(*version, result.Differences)
	}
	if err := in.show(report, func(w io.Writer) { writeCheck(w, report) }); err != nil {
		return err
	}
	switch {
	case len(result.Warnings) > 0:
		return &warningsError{result.Warnings}
	case report.InForce != nil:
		return report.InForce.err()
	}
	return nil
}

func writeCheck(w io.Writer, report checkReport) {
	count := make(map[string]int)
	for _, warning := range report.Warnings {
		count[warning.File]++
	}
	for _, file := range report.Files {
		if count[file] == 0 {
			fmt.Fprintf(w, "%s: no problem found\n", file)
		} else {
			fmt.Fprintf(w, "%s: no error found, warnings: %d\n", file, count[file])
		}
	}
	if report.InForce != nil {
		writeDiff(w, report.InForce)
	}
}

// warningsError makes check end with exitWarnings. Its text lists the warnings.
type warningsError struct{ list []tomlcheck.Problem }

func (e *warningsError) Error() string {
	lines := make([]string, len(e.list))
	for i, warning := range e.list {
		lines[i] = "warning: " + warning.String()
	}
	return strings.Join(lines, "\n")
}
