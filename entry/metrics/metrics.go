// Package metrics defines the Prometheus metrics of an entry. Every name ends
// in its unit.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "lovage"

// Values of the label kind of Messages.
const (
	KindTask              = "task"
	KindTaskAnswer        = "task_answer"
	KindRefusal           = "refusal"
	KindRetry             = "retry"
	KindHedge             = "hedge"
	KindStop              = "stop"
	KindForward           = "forward"
	KindHeartbeat         = "heartbeat"
	KindEndpointHeartbeat = "endpoint_heartbeat"
	KindHandover          = "hand_over"
	KindAppend            = "append"
)

// Set holds all metrics of one entry.
type Set struct {
	registry *prometheus.Registry

	ResponseRatio   *prometheus.HistogramVec // response time divided by ideal time, by service
	ResponseSeconds *prometheus.HistogramVec // from the admission of a job to its end, by service
	Messages        *prometheus.CounterVec   // sent and received, by kind
	Starts          *prometheus.CounterVec   // attempts, by service
	Replies         *prometheus.CounterVec   // to callers, by code and execution
	JobsEnded       *prometheus.CounterVec   // ended jobs, by service and code
	BatchSeconds    prometheus.Histogram     // one batch of the control loop
	Running         *prometheus.GaugeVec     // attempts in flight, by service
	OpenJobs        prometheus.Gauge
	CatalogVersion  prometheus.Gauge
	Members         *prometheus.GaugeVec // by role and state

	EvacuationPhase   *prometheus.GaugeVec // by failure domain
	EvacuationRunning *prometheus.GaugeVec // attempts in flight in the own failure domain
}

// New returns metrics registered in a new registry.
func New() *Set {
	s := &Set{
		registry:        prometheus.NewRegistry(),
		ResponseRatio:   histograms("response_to_ideal_ratio", "Response time of a job divided by its ideal time.", ratioBuckets, "service"),
		ResponseSeconds: histograms("response_seconds", "Time from the admission of a job to its end.", secondBuckets, "service"),
		Messages:        counters("messages_total", "Messages sent and received.", "kind"),
		Starts:          counters("task_starts_total", "Attempts sent to endpoints.", "service"),
		Replies:         counters("replies_total", "Replies to callers.", "code", "execution"),
		JobsEnded:       counters("jobs_ended_total", "Jobs that have ended.", "service", "code"),
		Running:         gauges("attempts_running", "Attempts in flight.", "service"),
		Members:         gauges("members", "Known members.", "role", "state"),
		EvacuationPhase: gauges("evacuation_phase", "Phase of a failure domain: 0 in service, 1 draining, 2 evacuated, 3 returning.", "failure_domain"),
		EvacuationRunning: gauges("evacuation_running", "Attempts of this entry in flight in its failure domain, unless it is in service.",
			"failure_domain"),
		OpenJobs:       gauge("open_jobs", "Jobs that have not ended."),
		CatalogVersion: gauge("configuration_version", "Version of the configuration in force."),
		BatchSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "control_batch_seconds", Buckets: batchBuckets,
			Help: "Time of one batch of the control loop.",
		}),
	}
	s.registry.MustRegister(s.ResponseRatio, s.ResponseSeconds, s.Messages, s.Starts, s.Replies,
		s.JobsEnded, s.BatchSeconds, s.Running, s.OpenJobs, s.CatalogVersion, s.Members, s.EvacuationPhase, s.EvacuationRunning,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// CountBytes registers counters of the bytes sent and received for one purpose.
func (s *Set) CountBytes(purpose string, sent, received func() int64) {
	for direction, read := range map[string]func() int64{"sent": sent, "received": received} {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace:   namespace,
			Name:        "control_bytes_total",
			Help:        "Bytes of control traffic on connections opened by this entry, by purpose.",
			ConstLabels: prometheus.Labels{"purpose": purpose, "direction": direction},
		}, func() float64 { return float64(read()) }))
	}
}

// CountRecords registers counters of the records of one kind that this entry has
// written to the platform's log, of its appends, and of the records that it has
// dropped.
func (s *Set) CountRecords(kind string, written, appends, dropped func() int) {
	for _, c := range []struct {
		name, help string
		read       func() int
	}{
		{"log_records_total", "Records written to the platform's log, by kind.", written},
		{"log_appends_total", "Appends to the platform's log, including failed ones, by kind.", appends},
		{"log_records_dropped_total", "Records that were dropped without being written, by kind.", dropped},
	} {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: c.name, Help: c.help, ConstLabels: prometheus.Labels{"kind": kind},
		}, func() float64 { return float64(c.read()) }))
	}
}

// Handler returns the HTTP handler of /metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

var (
	ratioBuckets  = []float64{1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 20, 50, 100}
	secondBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)
	batchBuckets  = prometheus.ExponentialBuckets(1e-6, 4, 10)
)

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, labels)
}
