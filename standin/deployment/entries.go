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

// probeTimeout bounds one probe of an entry.
const probeTimeout = time.Second

// entryProber finds out which entries are running, in place of the information
// that the platform has about its VMs.
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

// probe returns the VMs of the entries that are running.
func (p *entryProber) probe(ctx context.Context) []platformapi.VM {
	vms := make([]*platformapi.VM, len(p.entries))
	var wg sync.WaitGroup
	for i, entry := range p.entries {
		wg.Go(func() {
			if p.healthy(ctx, entry) {
				vms[i] = p.vm(entry)
			}
		})
	}
	wg.Wait()
	return lo.FromSlicePtr(lo.Compact(vms))
}

func (p *entryProber) healthy(ctx context.Context, e Entry) bool {
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

func (p *entryProber) vm(e Entry) *platformapi.VM {
	return &platformapi.VM{
		Name:          e.Name,
		Role:          platformapi.RoleEntry,
		Address:       e.Peer,
		State:         platformapi.VMLive,
		Region:        p.region,
		FailureDomain: e.FailureDomain,
	}
}
