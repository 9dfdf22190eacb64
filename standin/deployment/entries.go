package deployment

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/logservice/platformapi"
)

// probeTimeout bounds one look at an entry.
const probeTimeout = time.Second

// entryProber finds out which entries are there. It stands for the
// platform's own knowledge of its VMs.
type entryProber struct {
	region  string
	entries []Entry
	client  http.Client
}

func newEntryProber(s Settings) *entryProber {
	return &entryProber{
		region:  s.Region,
		entries: s.Entries,
		client:  http.Client{Timeout: probeTimeout},
	}
}

func callerAddresses(entries []Entry) []string {
	return lo.Map(entries, func(e Entry, _ int) string { return e.Caller })
}

// probe returns the lines of the entries that are there.
func (p *entryProber) probe(ctx context.Context) []platformapi.VM {
	lines := make([]*platformapi.VM, len(p.entries))
	var all sync.WaitGroup
	for i, entry := range p.entries {
		all.Go(func() {
			if p.answers(ctx, entry) {
				lines[i] = p.line(entry)
			}
		})
	}
	all.Wait()
	return lo.FromSlicePtr(lo.Compact(lines))
}

func (p *entryProber) answers(ctx context.Context, e Entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Caller+"/healthz", nil)
	if err != nil {
		return false
	}
	res, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

func (p *entryProber) line(e Entry) *platformapi.VM {
	return &platformapi.VM{
		Name:          e.Name,
		Role:          platformapi.RoleEntry,
		Address:       e.Peer,
		State:         platformapi.VMLive,
		Region:        p.region,
		FailureDomain: e.FailureDomain,
	}
}
