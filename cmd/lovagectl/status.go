package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
)

// statusReport is the JSON form of the version in force.
type statusReport struct {
	Version    uint64           `json:"version"`
	Digest     string           `json:"digest"`
	Complete   bool             `json:"complete"`
	NextOffset int64            `json:"next_offset"`
	Services   int              `json:"services"`
	Teams      int              `json:"teams"`
	Drains     int              `json:"drains"`
	Counts     change.Counts    `json:"counts"`
	Catalog    *catalog.Catalog `json:"catalog,omitempty"`
}

func status(in *invocation) error {
	var c connection
	c.register(in.flags)
	whole := in.flags.Bool("whole", false, "with -json, include the whole configuration")
	if _, err := in.parse(0, 0); err != nil {
		return err
	}
	s, err := c.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	st := s.follower.Status()
	report := statusReport{
		Version:    st.Catalog.Version,
		Digest:     hex.EncodeToString(st.Digest),
		Complete:   st.Complete,
		NextOffset: st.Next,
		Services:   len(st.Catalog.Services),
		Teams:      len(st.Catalog.Teams),
		Drains:     len(st.Catalog.Drains),
		Counts:     st.Counts,
	}
	if *whole {
		report.Catalog = st.Catalog
	}
	return in.show(report, func(w io.Writer) { writeStatus(w, report, st.Catalog) })
}

func writeStatus(w io.Writer, r statusReport, c *catalog.Catalog) {
	fmt.Fprintf(w, "version\t%d\n", r.Version)
	fmt.Fprintf(w, "digest\t%s\n", r.Digest)
	fmt.Fprintf(w, "whole log known\t%t\n", r.Complete)
	fmt.Fprintf(w, "next offset\t%d\n", r.NextOffset)
	fmt.Fprintf(w, "services\t%d\n", r.Services)
	fmt.Fprintf(w, "teams\t%d\n", r.Teams)
	fmt.Fprintf(w, "records skipped\t%d\n", r.Counts.Unreadable)
	fmt.Fprintf(w, "changes rejected\t%d\n", r.Counts.Rejected)
	for _, d := range c.Drains {
		fmt.Fprintf(w, "drained\t%s %s %s\n", d.Scope, d.Name, d.FailureDomain)
	}
	if len(c.KeyNumbers) > 0 {
		fmt.Fprintf(w, "job-ID keys\t%v\n", c.KeyNumbers)
	}
}

// versionReport is the JSON form of the version of this program.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	Format  int    `json:"record_format"` // newest that this program reads
}

func version(in *invocation) error {
	if _, err := in.parse(0, 0); err != nil {
		return err
	}
	report := versionReport{Version: "unknown", Go: runtime.Version(), Format: change.MaxFormat}
	if info, ok := debug.ReadBuildInfo(); ok {
		report.Version = info.Main.Version
	}
	return in.show(report, func(w io.Writer) {
		fmt.Fprintf(w, "lovagectl %s %s, record format %d\n", report.Version, report.Go, report.Format)
	})
}
