package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/entry/settings"
)

// checkReport is the JSON form of the result of check.
type checkReport struct {
	Files    []string            `json:"files"`
	Problems []tomlcheck.Problem `json:"problems"`
}

func check(in *invocation) error {
	kind := in.flags.String("kind", "auto", "kind of the files: settings, services, or auto to detect it from their tables")
	checkNamedFiles := in.flags.Bool("files", false, "also check that files named in the settings can be read on this machine")
	files, err := in.parse(1, -1)
	if err != nil {
		return err
	}
	found := &tomlcheck.Problems{}
	for _, file := range files {
		err := checkFile(*kind, file, *checkNamedFiles)
		var problems *tomlcheck.Problems
		if errors.As(err, &problems) {
			found.List = append(found.List, problems.List...)
		} else if err != nil {
			return err
		}
	}
	report := checkReport{Files: files, Problems: append([]tomlcheck.Problem{}, found.List...)}
	if len(found.List) > 0 {
		if in.json {
			_ = in.writeJSON(report)
		}
		return found
	}
	return in.show(report, func(w io.Writer) {
		for _, file := range files {
			fmt.Fprintf(w, "%s: no problem found\n", file)
		}
	})
}

func checkFile(kind, file string, checkNamedFiles bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "name a readable file")
	}
	if kind == "auto" {
		kind = guessKind(text)
	}
	switch kind {
	case "services":
		_, err = catalog.ParseServices(file, text)
	case "settings":
		err = checkSettings(file, text, checkNamedFiles)
	default:
		return usagef("unknown kind %q: use settings, services or auto", kind)
	}
	return err
}

func checkSettings(file string, text []byte, checkNamedFiles bool) error {
	s, err := settings.Parse(file, text)
	if err != nil || !checkNamedFiles {
		return err
	}
	return s.CheckFiles(file)
}

// guessKind detects a services file by its tables. Other files count as settings.
func guessKind(text []byte) string {
	var probe struct {
		Service any `toml:"service"`
		Team    any `toml:"team"`
	}
	_ = toml.Unmarshal(text, &probe) // a syntax error is reported by the check
	if probe.Service != nil || probe.Team != nil {
		return "services"
	}
	return "settings"
}
