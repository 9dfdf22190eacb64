package main

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"lovagespread.example/catalog"
)

// difference is one service or team that differs.
type difference struct {
	What   string `json:"what"` // service or team
	Name   string `json:"name"`
	Change string `json:"change"` // added, removed or changed
	Detail string `json:"detail,omitempty"`
}

// diffReport is the JSON form of a comparison.
type diffReport struct {
	Version     uint64       `json:"version"` // version in force
	Differences []difference `json:"differences"`
}

func diff(in *invocation) error {
	var flags platformFlags
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	wanted, err := readServices(args[0])
	if err != nil {
		return err
	}
	s, err := flags.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	report := compare(s.currentCatalog(), wanted)
	return in.show(report, func(w io.Writer) { writeDiff(w, report) })
}

func compare(current, wanted *catalog.Catalog) diffReport {
	report := diffReport{Version: current.Version, Differences: []difference{}}
	report.add("service", differences(current.Services, wanted.Services, func(s catalog.Service) string { return s.Name }))
	if len(wanted.Teams) > 0 {
		report.add("team", differences(current.Teams, wanted.Teams, func(t catalog.Team) string { return t.Name }))
	}
	return report
}

func (r *diffReport) add(what string, list []difference) {
	for _, d := range list {
		d.What = what
		r.Differences = append(r.Differences, d)
	}
}

// differences compares two lists, matching their items by name.
func differences[T any](current, wanted []T, name func(T) string) []difference {
	currentByName := make(map[string]T, len(current))
	for _, item := range current {
		currentByName[name(item)] = item
	}
	var list []difference
	wantedNames := make(map[string]bool, len(wanted))
	for _, item := range wanted {
		wantedNames[name(item)] = true
		before, ok := currentByName[name(item)]
		if !ok {
			list = append(list, difference{Name: name(item), Change: "added"})
			continue
		}
		if detail := fieldChanges(before, item); detail != "" {
			list = append(list, difference{Name: name(item), Change: "changed", Detail: detail})
		}
	}
	for _, item := range current {
		if !wantedNames[name(item)] {
			list = append(list, difference{Name: name(item), Change: "removed"})
		}
	}
	return list
}

// fieldChanges lists the fields in which two structs differ.
func fieldChanges(before, after any) string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range a.NumField() {
		was, is := fmt.Sprintf("%+v", a.Field(i)), fmt.Sprintf("%+v", b.Field(i))
		if was != is {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", a.Type().Field(i).Name, was, is))
		}
	}
	return strings.Join(changes, ", ")
}

func writeDiff(w io.Writer, r diffReport) {
	if len(r.Differences) == 0 {
		fmt.Fprintf(w, "no difference from version %d\n", r.Version)
		return
	}
	fmt.Fprintf(w, "compared with version %d:\n", r.Version)
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Change, d.What, d.Name, d.Detail)
	}
}
