package fleet

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lovagespread.example/dispatch/leased"
)

// durationBuckets are in seconds, from a network hop to the longest time that a
// caller waits.
var durationBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// metrics are the metrics of a process.
type metrics struct {
	registry             *prometheus.Registry
	answers              *prometheus.CounterVec   // by queue and verdict
	answerSeconds        *prometheus.HistogramVec // by queue
	jobs                 *prometheus.CounterVec   // ended at this holder, by verdict
	starts               *prometheus.CounterVec   // by result
	startSeconds         prometheus.Histogram
	stops                prometheus.Counter
	runEnds              *prometheus.CounterVec // of runs, by end
	crashes              *prometheus.CounterVec // of endpoints under a run, by queue and whether the run was alone
	holds                *prometheus.CounterVec // by result
	delegations          *prometheus.CounterVec // by end
	withdrawnCalls       *prometheus.CounterVec // calls that their entries have given up, by result
	endpointEvents       *prometheus.CounterVec // by event
	balanced             *prometheus.CounterVec // jobs, by decision
	predictedWait        prometheus.Gauge
	waitTrend            prometheus.Gauge
	held                 prometheus.Gauge
	ejected              prometheus.Gauge
	freeCores            prometheus.Gauge
	waiting              prometheus.Gauge
	demand               prometheus.Gauge
	admissionThreshold   prometheus.Gauge
	openJobs             prometheus.Gauge
	entries              prometheus.Gauge
	configurationVersion prometheus.Gauge
	shards               prometheus.Gauge
	shardYields          *prometheus.CounterVec // by change
	appends              *prometheus.CounterVec // by result
	panics               *prometheus.CounterVec // by operation
	recordsRefused       *prometheus.CounterVec // by kind
	domainChanges        *prometheus.CounterVec // of the phase of a failure domain, by phase
	domainShare          *prometheus.GaugeVec   // of the endpoints that may get tasks, by failure domain
	evacuatedRuns        prometheus.Gauge
	placements           *prometheus.CounterVec // on endpoints of different speeds, by decision
	unequalServices      prometheus.Gauge
	countedPlacements    leased.PlacementCounts // that placements contains
	recovering           prometheus.Gauge
	recoveryRejections   prometheus.Counter
	appendSeconds        prometheus.Histogram
}

func newMetrics(dropped func() float64) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "lovage", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "lovage", Name: name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	m.answers = counter("answers_total", "Answers to callers.", "queue", "verdict")
	m.jobs = counter("jobs_ended_total", "Jobs that ended at this holder.", "verdict")
	m.starts = counter("starts_total", "Starts of tasks, by the endpoint's reply.", "result")
	m.holds = counter("holds_total", "Holds sent to endpoints, by the endpoint's reply.", "result")
	m.runEnds = counter("runs_ended_total", "Runs that ended, by how they ended.", "end")
	m.crashes = counter("endpoint_crashes_total", "Runs under which their endpoint has crashed.", "queue", "alone")
	m.delegations = counter("lends_total", "Tasks delegated to other holders, by how they ended.", "end")
	m.withdrawnCalls = counter("withdrawn_calls_total", "Calls of other entries that those have given up, which were open (cancelled) or arrived later (refused), and calls that were on their way for too long (late).", "result")
	m.endpointEvents = counter("endpoint_events_total", "Changes of the assumed state of endpoints, by event.", "event")
	m.balanced = counter("balanced_jobs_total", "Jobs that went to another holder because of its shorter queue, when submitted (sent) or later (moved).", "decision")
	m.predictedWait = gauge("predicted_wait_seconds", "Predicted wait of a new job in the queue of this holder.")
	m.waitTrend = gauge("predicted_wait_trend", "Change of the predicted wait, in seconds per second.")
	m.stops = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "lovage", Name: "stops_total", Help: "Stops of tasks sent to endpoints."})
	m.answerSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "lovage", Name: "answer_seconds", Help: "Time from a caller's request to its answer.", Buckets: durationBuckets}, []string{"queue"})
	m.startSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "lovage", Name: "start_seconds", Help: "Time until an endpoint answered a start.", Buckets: durationBuckets})
	m.appendSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "lovage", Name: "append_seconds", Help: "Time until the log answered an append of stored jobs.", Buckets: durationBuckets})
	m.appends = counter("appends_total", "Appends to the log of stored jobs, by the log's reply.", "result")
	m.shardYields = counter("shard_yields_total", "Changes of whether this entry leaves its shards to entries that the log serves, by change.", "change")
	m.panics = counter("panics_total", "Operations that ended by an unexpected error, by operation.", "operation")
	m.recordsRefused = counter("records_refused_total", "Records of endpoints and addresses of entries that this entry cannot use, by kind.", "kind")
	m.domainChanges = counter("failure_domain_changes_total", "Failure domains that began to be evacuated or returned to service, by phase.", "phase")
	m.domainShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "lovage", Name: "failure_domain_share", Help: "Share of a failure domain's endpoints that may get tasks; absent while all may."}, []string{"failure_domain"})
	m.registry.MustRegister(m.domainShare)
	m.evacuatedRuns = gauge("evacuated_runs", "Runs that have not ended on evacuated endpoints.")
	m.placements = counter("placements_total", "Decisions about endpoints of different speeds, by decision.", "decision")
	m.unequalServices = gauge("services_unequal", "Services whose held endpoints differ clearly in speed.")
	m.shards = gauge("shards_owned", "Shards of stored jobs that this entry owns.")
	m.registry.MustRegister(m.stops, m.answerSeconds, m.startSeconds, m.appendSeconds)
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "lovage", Name: "log_lines_dropped_total", Help: "Log lines dropped because of the rate limit, a full buffer or a failed write."}, dropped))
	m.held = gauge("endpoints_held", "Endpoints that this entry holds.")
	m.ejected = gauge("endpoints_ejected", "Held endpoints that are ejected and get no work.")
	m.freeCores = gauge("free_cores", "Free cores of held endpoints.")
	m.waiting = gauge("jobs_waiting", "Jobs with tasks that wait for a free endpoint.")
	m.demand = gauge("demand", "Observed demand divided by capacity.")
	m.admissionThreshold = gauge("admission_threshold", "Price below which jobs are rejected; 0 without a shortage.")
	m.openJobs = gauge("jobs_open", "Jobs that have not ended at this holder.")
	m.entries = gauge("entries_live", "Other entries that are live.")
	m.recovering = gauge("recovering", "1 while this holder rejects jobs because announced endpoints do not answer, else 0.")
	m.recoveryRejections = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "lovage", Name: "recovery_rejections_total", Help: "Jobs rejected because missing capacity could not serve them in time."})
	m.registry.MustRegister(m.recoveryRejections)
	m.configurationVersion = gauge("configuration_version", "Version of the configuration in force.")
	return m
}

// publish sets the gauges from a snapshot.
func (m *metrics) publish(s *Snapshot) {
	m.held.Set(float64(s.Status.Held))
	m.ejected.Set(float64(s.Status.Ejected))
	m.freeCores.Set(s.Status.FreeCores)
	m.waiting.Set(float64(s.Status.Waiting))
	m.evacuatedRuns.Set(float64(s.Status.EvacuatedRuns))
	m.domainShare.Reset()
	for domain, share := range s.DomainShares {
		m.domainShare.WithLabelValues(domain).Set(share)
	}
	m.demand.Set(s.Status.Admission.Demand)
	m.admissionThreshold.Set(s.Status.Admission.Threshold)
	m.openJobs.Set(float64(s.Status.Jobs))
	m.publishPlacements(&s.Status.Placement)
	m.entries.Set(float64(len(s.View.Live)))
	if s.Configuration != nil {
		m.configurationVersion.Set(float64(s.Configuration.Version))
	}
}

// publishPlacements adds the placements since the last snapshot to the counters.
func (m *metrics) publishPlacements(counts *leased.PlacementCounts) {
	m.unequalServices.Set(float64(counts.Active))
	last := &m.countedPlacements
	for decision, n := range map[string]uint64{
		"together": counts.Together - last.Together, "spared": counts.Spared - last.Spared, "waited": counts.Waited - last.Waited,
		"moved": counts.Moved - last.Moved, "speed_changed": counts.Changed - last.Changed, "ignored": counts.Ignored - last.Ignored,
	} {
		m.placements.WithLabelValues(decision).Add(float64(n))
	}
	*last = *counts
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
