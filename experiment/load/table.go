package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Write writes the details as text tables.
func (d Detail) Write(out io.Writer) error {
	const padding = 2
	table := tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tcomplete\tslowdown p50\tp99\tp99.9\t")
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		s := d.Services[name]
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", name, s.Jobs, s.P50, s.P99, s.P999)
	}
	for _, code := range slices.Sorted(maps.Keys(d.Codes)) {
		fmt.Fprintf(table, "not complete: %s\t%d\t\n", code, d.Codes[code])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return d.writeMessages(out)
}

func (d Detail) writeMessages(out io.Writer) error {
	m := d.Messages
	_, err := fmt.Fprintf(out, "at the endpoints: %d task requests, %d refused, %d failed, %d heartbeats, %d stops, %d throttles; repeated by callers: %d\n",
		m.Tasks, m.Refusals, m.Failures, m.Heartbeats, m.Stops, m.Throttles, d.Repeats)
	if err != nil {
		return err
	}
	if len(d.Entries) > 0 {
		fmt.Fprintln(out, "counted by the entries:", d.Entries)
	}
	for _, r := range d.DoubleStarts {
		fmt.Fprintf(out, "started %d times: task %d of %s (%s)\n", r.Count, r.Index, r.Job, r.Service)
	}
	for _, name := range d.FalseNotRun {
		fmt.Fprintf(out, "reported as not_run but started: %s\n", name)
	}
	return nil
}
