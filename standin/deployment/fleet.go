package deployment

import (
	"fmt"
	"net/netip"

	"lovagespread.example/catalog"
	"lovagespread.example/standin/fakeendpoint"
)

const (
	milliPerCore = 1000
	mibPerGiB    = 1024
)

// workersByDomain holds the workers of each failure domain.
type workersByDomain map[string][]*fakeendpoint.Worker

func addWorkers(fleet *fakeendpoint.Fleet, s Settings) workersByDomain {
	workers := make(workersByDomain)
	for _, domain := range s.FailureDomains {
		for i := range s.Workers.PerFailureDomain {
			w := newWorker(s, domain, i)
			fleet.AddWorker(w)
			workers[domain] = append(workers[domain], w)
		}
	}
	return workers
}

func newWorker(s Settings, domain string, i int) *fakeendpoint.Worker {
	return &fakeendpoint.Worker{
		Name:          fmt.Sprintf("%s-w%02d", domain, i),
		Region:        s.Region,
		FailureDomain: domain,
		Rack:          fmt.Sprintf("%s-r%d", domain, i/s.Workers.PerRack),
		Capacity: catalog.Resources{
			MilliCores:   s.Workers.Cores * milliPerCore,
			MemoryMiB:    s.Workers.MemoryGiB * mibPerGiB,
			Accelerators: s.Workers.Accelerators,
		},
	}
}

// addPool spreads the executors of a pool round robin over the failure domains,
// and over the workers of each failure domain.
func (d *Deployment) addPool(byDomain workersByDomain, p Pool) error {
	s := d.settings
	for i := range p.Executors {
		domain := s.FailureDomains[i%len(s.FailureDomains)]
		workers := byDomain[domain]
		_, err := d.Fleet.Add(fakeendpoint.Options{
			Name:    fmt.Sprintf("%s-%s-%02d", p.Service, domain, i/len(s.FailureDomains)),
			Service: p.Service,
			Slots:   p.Slots,
			Worker:  workers[(i/len(s.FailureDomains))%len(workers)],
		}, d.nextEndpointAddress())
		if err != nil {
			return err
		}
	}
	return nil
}

// nextEndpointAddress returns the address of the next endpoint. An endpoint that has
// crashed listens on its address again later, so nobody else may get it meanwhile.
func (d *Deployment) nextEndpointAddress() string {
	const (
		host      = 2
		firstPort = 10_000 // below the range from which the kernel chooses ports
	)
	port := firstPort + d.endpoints
	d.endpoints++
	return netip.AddrPortFrom(d.network.Host(host), uint16(port)).String()
}

// pools returns the pool of each service of the services file.
func pools(s Settings, services *catalog.Catalog) []Pool {
	var list []Pool
	for _, service := range services.Services {
		list = append(list, poolOf(s, service))
	}
	return list
}

func poolOf(s Settings, service catalog.Service) Pool {
	pool := Pool{Service: service.Name, Executors: s.DefaultExecutors}
	for _, p := range s.Pools {
		if p.Service == service.Name {
			pool = p
		}
	}
	if pool.Slots == 0 {
		pool.Slots = service.Slots
	}
	return pool
}
