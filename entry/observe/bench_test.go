package observe

import (
	"path/filepath"
	"testing"

	"lovagespread.example/dispatch"
	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/endpointclient"
	"lovagespread.example/entry/explain"
	"lovagespread.example/entry/metrics"
)

// BenchmarkObservePlacement measures the recording of one placement: its log line
// through the buffered file, its metrics and its entry in the ring of decisions.
func BenchmarkObservePlacement(b *testing.B) {
	log, err := decisionlog.Open("info", filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	o := New(log.Logger, metrics.New(), explain.NewRing())
	task := endpointclient.Task{Label: "0123456789abcdef-42", Start: dispatch.Start{
		Service: "booking", Endpoint: "booking-lodz-a-07", Eligible: 12, Reason: dispatch.ReasonLeastLoaded, Urgency: 1.25, Attempt: 1,
	}}
	b.ReportAllocs()
	for b.Loop() {
		o.Started(task)
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}
