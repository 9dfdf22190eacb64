package deployment

import (
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog/tomlcheck"
)

// Defaults and bounds of the settings.
const (
	DefaultListen         = "127.0.0.1:0"
	DefaultListLag        = 2 * time.Second
	DefaultAppendDelay    = 4 * time.Millisecond
	DefaultAppendsPerSec  = 400
	DefaultWorkersPerRack = 8
	DefaultWorkers        = 16 // in each failure domain
	DefaultCores          = 64
	DefaultMemoryGiB      = 128
	DefaultExecutors      = 6 // of a service without a pool

	maxLag       = time.Hour
	maxExecutors = 10_000
	maxSlots     = 4096
	maxWorkers   = 10_000
	maxCores     = 1024
	maxMemoryGiB = 1 << 16
	maxDevices   = 64
	maxRate      = 1_000_000
)

// Settings describe the stand-ins of one region.
type Settings struct {
	Region         string
	FailureDomains []string
	ServicesFile   string // path, relative to the settings file
	ControlListen  string
	BalancerListen string
	Platform       Platform
	Workers        Workers
	Pools          []Pool
	// DefaultExecutors is the size of the pool of each service of the services
	// file that has no [[pool]].
	DefaultExecutors int
	Entries          []Entry
}

// Platform holds the settings of the stand-in platform.
type Platform struct {
	Listen           string
	ListLag          time.Duration
	AppendDelay      time.Duration
	AppendsPerSecond int
}

// Workers describes the workers of each failure domain.
type Workers struct {
	PerFailureDomain int
	PerRack          int
	Cores            int
	MemoryGiB        int
	Accelerators     int
}

// Pool describes the executors of one service, which are spread evenly over the
// failure domains and their workers.
type Pool struct {
	Service   string
	Executors int
	Slots     int // of each executor; 0: as in the services file
}

// Entry is an entry process that the platform lists and the balancer uses.
type Entry struct {
	Name          string
	FailureDomain string
	Caller        string // host:port
	Peer          string // host:port
}

// Load reads the settings file at path. If the settings are invalid, it returns a
// *tomlcheck.Problems that lists every problem.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings: specify a readable file")
	}
	s, err := Parse(path, data)
	if s.ServicesFile != "" && !filepath.IsAbs(s.ServicesFile) {
		s.ServicesFile = filepath.Join(filepath.Dir(path), s.ServicesFile)
	}
	return s, err
}

// Parse parses settings. file is the file name in errors.
func Parse(file string, data []byte) (Settings, error) {
	doc := tomlcheck.Parse(file, data)
	if doc.Failed() {
		return Settings{}, doc.Err()
	}
	root := doc.Root()
	s := Settings{
		Region:         root.String("region", tomlcheck.Required),
		FailureDomains: root.Strings("failure_domains"),
		ServicesFile:   root.String("services_file", tomlcheck.Required),
		ControlListen:  listen(root.Table("control")),
		BalancerListen: listen(root.Table("balancer")),
		Platform:       parsePlatform(root.Table("platform")),
		Workers:        parseWorkers(root.Table("workers")),
		DefaultExecutors: root.Int("default_executors", tomlcheck.Optional, DefaultExecutors,
			tomlcheck.Range{Max: maxExecutors}),
	}
	for _, t := range root.Tables("pool") {
		s.Pools = append(s.Pools, parsePool(t))
	}
	for _, t := range root.Tables("entry") {
		s.Entries = append(s.Entries, parseEntry(t))
	}
	root.RejectUnknown(nil)
	if len(s.FailureDomains) == 0 {
		root.Add("failure_domains", "no failure domain", `name at least one: failure_domains = ["a"]`)
	}
	return s, doc.Err()
}

func listen(t *tomlcheck.Table) string {
	address := optional(t, "listen", DefaultListen)
	t.RejectUnknown(nil)
	return address
}

func optional(t *tomlcheck.Table, key, fallback string) string {
	if value := t.String(key, tomlcheck.Optional); value != "" {
		return value
	}
	return fallback
}

func parsePlatform(t *tomlcheck.Table) Platform {
	p := Platform{
		Listen:      optional(t, "listen", DefaultListen),
		ListLag:     t.Duration("list_lag", tomlcheck.Optional, DefaultListLag, 0, maxLag),
		AppendDelay: t.Duration("append_delay", tomlcheck.Optional, DefaultAppendDelay, 0, maxLag),
		AppendsPerSecond: t.Int("appends_per_second", tomlcheck.Optional, DefaultAppendsPerSec,
			tomlcheck.Range{Min: 1, Max: maxRate}),
	}
	t.RejectUnknown(nil)
	return p
}

func parseWorkers(t *tomlcheck.Table) Workers {
	w := Workers{
		PerFailureDomain: count(t, "per_failure_domain", DefaultWorkers, 1, maxWorkers),
		PerRack:          count(t, "per_rack", DefaultWorkersPerRack, 1, maxWorkers),
		Cores:            count(t, "cores", DefaultCores, 1, maxCores),
		MemoryGiB:        count(t, "memory_gib", DefaultMemoryGiB, 1, maxMemoryGiB),
		Accelerators:     count(t, "accelerators", 0, 0, maxDevices),
	}
	t.RejectUnknown(nil)
	return w
}

func count(t *tomlcheck.Table, key string, fallback int, low, high float64) int {
	return t.Int(key, tomlcheck.Optional, fallback, tomlcheck.Range{Min: low, Max: high})
}

func parsePool(t *tomlcheck.Table) Pool {
	p := Pool{
		Service:   t.String("service", tomlcheck.Required),
		Executors: count(t, "executors", DefaultExecutors, 0, maxExecutors),
		Slots:     count(t, "slots", 0, 0, maxSlots),
	}
	t.RejectUnknown(nil)
	return p
}

func parseEntry(t *tomlcheck.Table) Entry {
	e := Entry{
		Name:          t.String("name", tomlcheck.Required),
		FailureDomain: t.String("failure_domain", tomlcheck.Required),
		Caller:        t.String("caller", tomlcheck.Required),
		Peer:          t.String("peer", tomlcheck.Required),
	}
	t.RejectUnknown(nil)
	return e
}
