package main

import (
	"fmt"
	"io"

	"lovagespread.example/catalog/configdiff"
	"lovagespread.example/entry/configlint"
)

// diffReport is the JSON form of a comparison.
type diffReport struct {
	Version     uint64                  `json:"version"` // version in force
	Differences []configdiff.Difference `json:"differences"`
}

func newDiffReport(version uint64, differences []configdiff.Difference) *diffReport {
	return &diffReport{Version: version, Differences: append([]configdiff.Difference{}, differences...)}
}

// err returns a *differsError if there is any difference.
func (r *diffReport) err() error {
	if len(r.Differences) == 0 {
		return nil
	}
	return &differsError{version: r.Version, count: len(r.Differences)}
}

// differsError makes check or diff end with exitDiffers.
type differsError struct {
	version uint64
	count   int
}

func (e *differsError) Error() string {
	return fmt.Sprintf("differences from version %d: %d", e.version, e.count)
}

func diff(in *invocation) error {
	var flags platformFlags
	flags.register(in.flags)
	exitCode := in.flags.Bool("exit-code", false, "end with exit code 9 if there is a difference")
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
	current := s.currentCatalog()
	report := newDiffReport(current.Version, configlint.Compare(current, wanted))
	if err := in.show(report, func(w io.Writer) { writeDiff(w, report) }); err != nil || !*exitCode {
		return err
	}
	return report.err()
}

func writeDiff(w io.Writer, r *diffReport) {
	if len(r.Differences) == 0 {
		fmt.Fprintf(w, "no difference from version %d\n", r.Version)
		return
	}
	fmt.Fprintf(w, "compared with version %d, most harmful first:\n", r.Version)
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Change, d.What, d.Name, detail(d))
	}
}

// detail returns the keys that differ, and the harm of a changed item.
func detail(d configdiff.Difference) string {
	if d.Change != "changed" || d.Harm == configdiff.Other {
		return d.Detail
	}
	return d.Detail + " (" + d.Harm.String() + ")"
}
