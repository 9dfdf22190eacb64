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

// statusReport is the JSON form of the status of the configuration.
type statusReport struct {
	Version    uint64           `json:"version"`
	Digest     string           `json:"digest"`
	Complete   bool             `json:"complete"`
	NextOffset int64            `json:"next_offset"`
	Services   int              `json:"services"`
	Teams      int              `json:"teams"`
	Drains     int              `json:"drains"`
	Domains    []domainReport   `json:"failure_domains,omitempty"` // evacuated ones, and those of -entries
	Unread     []string         `json:"entries_not_reached,omitempty"`
	Counts     change.Counts    `json:"counts"`
	Catalog    *catalog.Catalog `json:"catalog,omitempty"`
}

func status(in *invocation) error {
	var flags platformFlags
	flags.register(in.flags)
	withCatalog := in.flags.Bool("whole", false, "with -json, include the whole configuration")
	var entries entryFlags
	entries.register(in)
	if _, err := in.parse(0, 0); err != nil {
		return err
	}
	s, err := flags.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	current := s.follower.Status()
	report := statusReport{
		Version:    current.Catalog.Version,
		Digest:     hex.EncodeToString(current.Digest),
		Complete:   current.Complete,
		NextOffset: current.Next,
		Services:   len(current.Catalog.Services),
		Teams:      len(current.Catalog.Teams),
		Drains:     len(current.Catalog.Drains),
		Counts:     current.Counts,
	}
	entries.admin.timeout = flags.timeout
	if report.Domains, report.Unread, err = entries.domains(in, current.Catalog.Evacuated); err != nil {
		return err
	}
	if *withCatalog {
		report.Catalog = current.Catalog
	}
	return in.show(report, func(w io.Writer) { writeStatus(w, report, current.Catalog) })
}

func writeStatus(w io.Writer, r statusReport, c *catalog.Catalog) {
	fmt.Fprintf(w, "version\t%d\n", r.Version)
	fmt.Fprintf(w, "digest\t%s\n", r.Digest)
	fmt.Fprintf(w, "log complete\t%t\n", r.Complete)
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
	writeDomains(w, r.Domains, r.Unread)
}

// versionReport is the JSON form of the version of this program.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	Format  int    `json:"record_format"` // newest format that this program can read
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
