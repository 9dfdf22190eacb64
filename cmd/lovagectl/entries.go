package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/entry/adminapi"
)

// entryReport is the status of one entry, or the error of reading it.
type entryReport struct {
	Admin  string           `json:"admin"` // address of the admin listener
	Status *adminapi.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

// entries shows the status of entries side by side.
func entries(in *invocation) error {
	var flags adminFlags
	flags.register(in.flags)
	addresses, err := in.parse(1, -1)
	if err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	reports := make([]entryReport, len(addresses))
	failures := make([]error, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			reports[i], failures[i] = client.report(in, address)
		})
	}
	group.Wait()
	shown := in.show(reports, func(w io.Writer) { writeEntries(w, reports) })
	return errors.Join(append(failures, shown)...)
}

func (c *adminClient) report(in *invocation, address string) (entryReport, error) {
	var status adminapi.Status
	if err := c.call(in.ctx, http.MethodGet, address, "/v1/status", &status); err != nil {
		return entryReport{Admin: address, Error: err.Error()}, err
	}
	return entryReport{Admin: address, Status: &status}, nil
}

func writeEntries(w io.Writer, reports []entryReport) {
	fmt.Fprintln(w, "ADMIN\tENTRY\tFAILURE DOMAIN\tREADY\tVERSION\tDIGEST\tOPEN JOBS\tLIVE ENTRIES\tLIVE ENDPOINTS")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\tnot reached\t-\t-\t-\t-\t-\n", r.Admin)
			continue
		}
		s := r.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\t%d\t%d of %d\t%d of %d\n", r.Admin, s.Entry.Name, s.Entry.FailureDomain,
			s.Ready, s.Configuration.Version, s.Configuration.Digest, s.OpenJobs,
			countLive(s.Others, func(e adminapi.Entry) string { return e.State }), len(s.Others),
			countLive(s.Endpoints, func(e adminapi.Endpoint) string { return e.State }), len(s.Endpoints))
	}
}

func countLive[T any](list []T, state func(T) string) int {
	live := 0
	for _, item := range list {
		if state(item) == "live" {
			live++
		}
	}
	return live
}

// explain shows the decisions of an entry about a job.
func explain(in *invocation) error {
	var flags adminFlags
	flags.register(in.flags)
	args, err := in.parse(2, 2)
	if err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	var reply adminapi.Decisions
	path := "/v1/jobs/" + url.PathEscape(args[1]) + "/decisions"
	if err := client.call(in.ctx, http.MethodGet, args[0], path, &reply); err != nil {
		return err
	}
	return in.show(reply, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tKIND\tTASK\tATTEMPT\tENDPOINT\tELIGIBLE\tURGENCY\tREASON")
		for _, d := range reply.Decisions {
			fmt.Fprintf(w, "%s\t%v\t%d\t%d\t%s\t%d\t%g\t%s\n", d.Time.UTC().Format(time.RFC3339Nano), d.Kind,
				d.Task, d.Attempt, d.Endpoint, d.Eligible, d.Urgency, d.Reason)
		}
	})
}

// stopReport is the JSON form of a planned stop that has started.
type stopReport struct {
	Admin    string `json:"admin"`
	Stopping bool   `json:"stopping"`
}

// stopEntry starts the planned stop of an entry.
func stopEntry(in *invocation) error {
	var flags adminFlags
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	if err := client.call(in.ctx, http.MethodPost, args[0], "/v1/stop", nil); err != nil {
		return err
	}
	return in.show(stopReport{Admin: args[0], Stopping: true}, func(w io.Writer) {
		fmt.Fprintf(w, "the entry at %s is stopping\n", args[0])
	})
}
