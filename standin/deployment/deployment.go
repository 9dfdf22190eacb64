package deployment

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/go-faster/errors"

	"lovagespread.example/catalog"
	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/standin/fakebalancer"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
	"lovagespread.example/standin/loopback"
)

// listUpdateInterval is the interval at which the platform gets a new list of VMs
// and new usage reports.
const listUpdateInterval = 500 * time.Millisecond

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 10 * time.Second

// Deployment holds the running stand-ins of one region.
type Deployment struct {
	Services *catalog.Catalog
	Platform *fakeplatform.Platform
	Balancer *fakebalancer.Balancer
	Fleet    *fakeendpoint.Fleet

	settings  Settings
	network   *loopback.Network // of the endpoints
	endpoints int               // that have an address
	entries   *entryProber
	addresses Addresses
	servers   []*http.Server
	cancel    context.CancelFunc
}

// Addresses are the addresses of the listeners, each host:port.
type Addresses struct {
	Control  string `json:"control"`
	Platform string `json:"platform"`
	Balancer string `json:"balancer"`
}

// Start starts all stand-ins. Close stops them.
func Start(s Settings) (*Deployment, error) {
	data, err := os.ReadFile(s.ServicesFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the services file: correct services_file")
	}
	services, err := catalog.ParseServices(s.ServicesFile, data)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{
		Services: services,
		Platform: fakeplatform.New(fakeplatform.Options{
			ListLag:          zeroAsNone(s.Platform.ListLag),
			AppendDelay:      zeroAsNone(s.Platform.AppendDelay),
			AppendsPerSecond: s.Platform.AppendsPerSecond,
		}),
		Balancer: fakebalancer.New(fakebalancer.Options{Entries: callerAddresses(s.Entries)}),
		Fleet:    fakeendpoint.NewFleet(),
		settings: s,
		entries:  newEntryProber(s),
		cancel:   cancel,
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// zeroAsNone returns None for zero, which would select the default of the
// platform.
func zeroAsNone(d time.Duration) time.Duration {
	if d == 0 {
		return fakeplatform.None
	}
	return d
}

func (d *Deployment) start(ctx context.Context) error {
	network, err := loopback.Reserve()
	if err != nil {
		return err
	}
	d.network = network
	workers := addWorkers(d.Fleet, d.settings)
	for _, pool := range pools(d.settings, d.Services) {
		if err := d.addPool(workers, pool); err != nil {
			return err
		}
	}
	d.updateLists(ctx)
	if err := d.listen(); err != nil {
		return err
	}
	go d.Balancer.Run(ctx)
	go d.updateListsPeriodically(ctx)
	return nil
}

func (d *Deployment) listen() error {
	listeners := []struct {
		name    string
		address string
		handler http.Handler
		actual  *string
	}{
		{"control", d.settings.ControlListen, d.control(), &d.addresses.Control},
		{"platform", d.settings.Platform.Listen, d.Platform.Handler(), &d.addresses.Platform},
		{"balancer", d.settings.BalancerListen, d.Balancer, &d.addresses.Balancer},
	}
	for _, l := range listeners {
		address, err := d.serve(l.address, l.handler)
		if err != nil {
			return errors.Wrapf(err, "listener of %s: choose a free address", l.name)
		}
		*l.actual = address
	}
	return nil
}

func (d *Deployment) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (d *Deployment) control() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("lovage-standin control", "1")
	config.CreateHooks = nil // no $schema field in responses
	api := humago.New(mux, config)
	d.Fleet.Register(api)
	d.Balancer.Register(api)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// Addresses returns the addresses of the listeners.
func (d *Deployment) Addresses() Addresses { return d.addresses }

func (d *Deployment) updateListsPeriodically(ctx context.Context) {
	ticker := time.NewTicker(listUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.updateLists(ctx)
		}
	}
}

// updateLists sets the VM list and the usage reports of the platform to the
// current state of the fleet and the entries.
func (d *Deployment) updateLists(ctx context.Context) {
	vms := d.Fleet.VMs()
	vms = append(vms, d.entries.probe(ctx)...)
	d.Platform.SetVMs(vms)
	d.Platform.SetUsage(withTime(d.Fleet.Usages(), time.Now()))
}

func withTime(usages []platformapi.Usage, now time.Time) []platformapi.Usage {
	for i := range usages {
		usages[i].AsOf = now
	}
	return usages
}

// Close stops all stand-ins.
func (d *Deployment) Close() {
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.Fleet.Close()
	if d.network != nil {
		d.network.Close()
	}
}
