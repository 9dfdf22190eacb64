package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/samber/lo"

	"lovagespread.example/entry/adminapi"
)

// domainReport is the state of one failure domain, as its entries report it.
type domainReport struct {
	Domain string `json:"failure_domain"`
	// Requested reports whether the configuration in force requests the evacuation.
	Requested bool     `json:"evacuation_requested"`
	Phases    []string `json:"phases"`  // distinct ones; entries may be up to one phase apart
	Entries   int      `json:"entries"` // entries that replied
	Running   int      `json:"running"` // attempts of these entries in flight
}

// entryFlags holds the flags of status for the administration API of entries.
type entryFlags struct {
	addresses string
	admin     adminFlags
}

func (f *entryFlags) register(in *invocation) {
	in.flags.StringVar(&f.addresses, "entries", "", "admin `addresses` of all entries, host:port,...; shows the phase and the running tasks of each failure domain")
	in.flags.StringVar(&f.admin.tokenFile, "operator-token-file", "", "`file` that holds the operator token for -entries (default: no token)")
	in.flags.StringVar(&f.admin.caFile, "ca-file", "", "PEM `file` with the CA certificates of -entries; enables TLS (default: plain TCP)")
}

// domains reads the status of the entries and combines it by failure domain. An
// entry that cannot be read is listed in unread.
func (f *entryFlags) domains(in *invocation, requested []string) (domains []domainReport, unread []string, err error) {
	byName := make(map[string]*domainReport)
	for _, name := range requested {
		byName[name] = &domainReport{Domain: name, Requested: true}
	}
	if f.addresses != "" {
		client, err := f.admin.client()
		if err != nil {
			return nil, nil, err
		}
		for _, report := range client.reports(in, strings.Split(f.addresses, ",")) {
			if report.Status == nil {
				unread = append(unread, report.Admin)
				continue
			}
			addEntry(byName, report.Status)
		}
	}
	for _, d := range byName {
		domains = append(domains, *d)
	}
	slices.SortFunc(domains, func(a, b domainReport) int { return cmp.Compare(a.Domain, b.Domain) })
	return domains, unread, nil
}

func addEntry(byName map[string]*domainReport, s *adminapi.Status) {
	name := s.Entry.FailureDomain
	d := byName[name]
	if d == nil {
		d = &domainReport{Domain: name}
		byName[name] = d
	}
	d.Entries++
	d.Running += s.Evacuation.Running
	d.Phases = lo.Uniq(append(d.Phases, s.Evacuation.Phase))
	slices.Sort(d.Phases)
}

// reports reads the status of entries in parallel.
func (c *adminClient) reports(in *invocation, addresses []string) []entryReport {
	reports := make([]entryReport, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { reports[i], _ = c.report(in, address) }) // the report holds the error
	}
	group.Wait()
	return reports
}

func writeDomains(w io.Writer, domains []domainReport, unread []string) {
	if len(domains) > 0 {
		fmt.Fprintln(w, "FAILURE DOMAIN\tEVACUATION\tPHASE\tENTRIES\tRUNNING")
	}
	for _, d := range domains {
		requested := "-"
		if d.Requested {
			requested = "requested"
		}
		phase, running := "unknown", "unknown"
		if d.Entries > 0 {
			phase, running = strings.Join(d.Phases, ","), fmt.Sprint(d.Running)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", d.Domain, requested, phase, d.Entries, running)
	}
	for _, address := range unread {
		fmt.Fprintf(w, "not reached\t%s\n", address)
	}
}
