package control

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Sample is the overhead of control traffic per entry in a deployment of one
// size. Rates and memory are means over the entries.
type Sample struct {
	Entries         int     `json:"entries"`
	Endpoints       int     `json:"endpoints"`
	ChangesPerDay   float64 `json:"changes_per_day"`
	Seconds         float64 `json:"seconds"`
	CPUPercent      float64 `json:"cpu_percent"`  // of one core
	MemoryMiB       float64 `json:"memory_mib"`   // resident
	HeapMiB         float64 `json:"heap_mib"`     // live objects and garbage not yet collected
	PeerBytes       float64 `json:"peer_bytes_s"` // sent and received
	PlatformBytes   float64 `json:"platform_bytes_s"`
	Heartbeats      float64 `json:"heartbeats_s"`
	SpreadCPUPct    float64 `json:"spread_cpu_percent"` // maximum minus minimum over the entries
	SpreadMemoryMiB float64 `json:"spread_memory_mib"`
}

// Names of the metrics that are read.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricMemory   = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_heap_inuse_bytes"
	metricBytes    = "lovage_control_bytes_total"
	metricMessages = "lovage_messages_total"
)

// reading holds the metrics of one entry at one time.
type reading struct {
	cpu, memory, heap, peers, platform, heartbeats float64
}

const mib = 1 << 20

// Measure reads the metrics of the entries at the given admin addresses,
// host:port, twice, with the given time in between.
func Measure(ctx context.Context, admins []string, over time.Duration) (Sample, error) {
	before, err := readAll(ctx, admins)
	if err != nil {
		return Sample{}, err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return Sample{}, ctx.Err()
	case <-time.After(over):
	}
	after, err := readAll(ctx, admins)
	if err != nil {
		return Sample{}, err
	}
	return summarise(before, after, time.Since(start).Seconds()), nil
}

func summarise(before, after []reading, seconds float64) Sample {
	s := Sample{Entries: len(after), Seconds: seconds}
	n := float64(len(after))
	var cpuRange, memoryRange valueRange
	for i := range after {
		used := 100 * (after[i].cpu - before[i].cpu) / seconds
		s.CPUPercent += used / n
		cpuRange.add(used)
		s.MemoryMiB += after[i].memory / mib / n
		memoryRange.add(after[i].memory / mib)
		s.HeapMiB += after[i].heap / mib / n
		s.PeerBytes += (after[i].peers - before[i].peers) / seconds / n
		s.PlatformBytes += (after[i].platform - before[i].platform) / seconds / n
		s.Heartbeats += (after[i].heartbeats - before[i].heartbeats) / seconds / n
	}
	s.SpreadCPUPct, s.SpreadMemoryMiB = cpuRange.width(), memoryRange.width()
	return s
}

// valueRange holds the smallest and the largest of several values.
type valueRange struct {
	low, high float64
	any       bool
}

func (r *valueRange) add(v float64) {
	if !r.any || v < r.low {
		r.low = v
	}
	if !r.any || v > r.high {
		r.high = v
	}
	r.any = true
}

func (r *valueRange) width() float64 { return r.high - r.low }

func readAll(ctx context.Context, admins []string) ([]reading, error) {
	readings := make([]reading, len(admins))
	for i, admin := range admins {
		var err error
		if readings[i], err = read(ctx, admin); err != nil {
			return nil, errors.Wrapf(err, "metrics of %s: check that the entry is running", admin)
		}
	}
	return readings, nil
}

func read(ctx context.Context, admin string) (reading, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return reading{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reading{}, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return reading{}, err
	}
	return reading{
		cpu:        total(families[metricCPU], nil),
		memory:     total(families[metricMemory], nil),
		heap:       total(families[metricHeap], nil),
		peers:      total(families[metricBytes], labels{"purpose": "peers"}),
		platform:   total(families[metricBytes], labels{"purpose": "platform"}),
		heartbeats: total(families[metricMessages], labels{"kind": "heartbeat"}),
	}, nil
}

// labels are the labels that a metric must have.
type labels map[string]string

func (l labels) match(m *dto.Metric) bool {
	found := 0
	for _, pair := range m.GetLabel() {
		if l[pair.GetName()] == pair.GetValue() {
			found++
		}
	}
	return found == len(l)
}

// total returns the sum of the metrics of a family that have the labels.
func total(family *dto.MetricFamily, with labels) float64 {
	sum := 0.0
	for _, m := range family.GetMetric() {
		if with.match(m) {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}
