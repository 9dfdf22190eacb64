package control

import (
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
)

const metricsText = `
# TYPE process_cpu_seconds_total counter
process_cpu_seconds_total 2.5
# TYPE process_resident_memory_bytes gauge
process_resident_memory_bytes 2.097152e+06
# TYPE lovage_control_bytes_total counter
lovage_control_bytes_total{direction="sent",purpose="peers"} 10
lovage_control_bytes_total{direction="received",purpose="peers"} 20
lovage_control_bytes_total{direction="received",purpose="platform"} 40
# TYPE lovage_messages_total counter
lovage_messages_total{kind="heartbeat"} 7
lovage_messages_total{kind="task"} 9
`

func TestReadSumsDirectionsPerPurpose(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(metricsText))
	}))
	defer server.Close()
	got, err := read(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	want := reading{cpu: 2.5, memory: 2 * mib, peers: 30, platform: 40, heartbeats: 7}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestFitFindsSlope(t *testing.T) {
	var samples []Sample
	for _, n := range []int{3, 6, 12, 24} {
		samples = append(samples, Sample{Entries: n, PeerBytes: 100 + 50*float64(n)})
	}
	fits, err := Fit(samples, AgainstEntries)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fits.PeerBytes.At(44)-2300) > 1e-6 {
		t.Fatalf("%+v gives %v at 44 entries, want 2300", fits.PeerBytes, fits.PeerBytes.At(44))
	}
}

func TestFitRejectsTooFewSizes(t *testing.T) {
	if _, err := Fit([]Sample{{Entries: 1}, {Entries: 2}, {Entries: 2}, {Entries: 3}}, AgainstEntries); err == nil {
		t.Fatal("three sizes were accepted")
	}
	var unknown *UnknownSizeError
	if _, err := Fit(nil, "racks"); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
}

func TestTotalOfMissingFamilyIsZero(t *testing.T) {
	if got := total((*dto.MetricFamily)(nil), nil); got != 0 {
		t.Fatalf("got %v", got)
	}
}
