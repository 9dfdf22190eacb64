package fleet

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lovagespread.example/dispatch/leased"
)

// The records of hundreds of endpoints arrive together whenever one of them has
// changed. Only that one is decoded again.
func TestOnlyChangedEndpointsAreDecoded(t *testing.T) {
	l := testLoop(t, nil)
	p := &Process{loop: l, log: zap.NewNop()}
	decodes := make(map[string]int)
	update := p.endpointUpdater(&Sources{DecodeEndpoint: func(key string, data []byte) (leased.Endpoint, error) {
		decodes[key]++
		if string(data) == "garbage" {
			return leased.Endpoint{}, errors.New("unusable")
		}
		return leased.Endpoint{ID: leased.EndpointID(key), Address: string(data)}, nil
	}})
	endpoints := func() int { return len((<-l.messages).(setDirectory).directory.Endpoints) }

	update(map[string][]byte{"a": []byte("1"), "b": []byte("1"), "c": []byte("garbage")})
	if n := endpoints(); n != 2 {
		t.Fatalf("%d endpoints, want 2", n)
	}
	update(map[string][]byte{"a": []byte("1"), "b": []byte("2"), "c": []byte("garbage")})
	if n := endpoints(); n != 2 || decodes["a"] != 1 || decodes["b"] != 2 || decodes["c"] != 1 {
		t.Errorf("%d endpoints, decoded %v, want 2, and only b again", n, decodes)
	}
	update(map[string][]byte{"b": []byte("2")})
	if n := endpoints(); n != 1 {
		t.Errorf("%d endpoints after two have left, want 1", n)
	}
	update(map[string][]byte{"a": []byte("1"), "b": []byte("2")})
	if n := endpoints(); n != 2 || decodes["a"] != 2 {
		t.Errorf("%d endpoints, decoded %v, want 2, and a again after its return", n, decodes)
	}
}

// Guards against odd records that fill the log: each change of a record is counted, and
// logged at a bounded rate and length. It also guards against one that is logged for
// only one of its contents.
func TestUnusableRecordsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	const keys, changes = 300, 4
	l := testLoop(t, nil)
	core, logs := observer.New(zapcore.WarnLevel)
	p := &Process{loop: l, log: zap.New(core)}
	update := p.endpointUpdater(&Sources{DecodeEndpoint: func(key string, data []byte) (leased.Endpoint, error) {
		return leased.Endpoint{}, fmt.Errorf("%s is odd: %s", key, strings.Repeat("x", 10_000))
	}})
	for change := range changes {
		records := make(map[string][]byte)
		for key := range keys {
			records[fmt.Sprint(key)] = fmt.Append(nil, change)
			if key > 0 && change == 0 {
				break // the first record alone, and then all at once
			}
		}
		for range 2 { // other records have changed
			update(records)
			<-l.messages
		}
		if change == 1 && logs.Len() < 3 {
			t.Errorf("%d log lines after a record has changed, want another one", logs.Len())
		}
	}
	if n := refusedRecords(t, l.metrics)["endpoint"]; n != (changes-1)*keys+2 {
		t.Errorf("%v refused records are counted, want %d", n, (changes-1)*keys+2)
	}
	if logs.Len() != maxRefusalLines {
		t.Errorf("%d log lines, want %d", logs.Len(), maxRefusalLines)
	}
	for _, line := range logs.All() {
		if text := fmt.Sprint(line.ContextMap()); len(text) > maxRefusalReason+100 {
			t.Errorf("a log line of %d bytes", len(text))
		}
	}
}

// Guards against a period in which refusals are no longer logged that never ends, and
// against a wrong number of those that were not logged.
func TestRefusalsAreLoggedAgainInTheNextPeriod(t *testing.T) {
	r := newRefusals(newMetrics(func() float64 { return 0 }), "endpoint")
	now := time.Now()
	for range maxRefusalLines + 7 {
		r.mayLog(now)
	}
	if _, ok := r.mayLog(now.Add(refusalPeriod - time.Second)); ok {
		t.Error("a line beyond the limit of the period")
	}
	if notLogged, ok := r.mayLog(now.Add(refusalPeriod)); !ok || notLogged != 8 {
		t.Errorf("logged in the next period: %t, %d were not logged before, want 8", ok, notLogged)
	}
}

// refusedRecords returns the counted refused records by kind.
func refusedRecords(t *testing.T, m *metrics) map[string]float64 {
	t.Helper()
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != "lovage_records_refused_total" {
			continue
		}
		for _, metric := range f.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

// Guards against an endpoint that is back as another incarnation and gets no task until
// the next regular read of the records.
func TestRecordsAreReadAtOnceForAnUndescribedEndpoint(t *testing.T) {
	l := testLoop(t, nil)
	l.logEndpointEvent(&leased.EndpointEvent{Event: "endpoint_held", Endpoint: "x"})
	if n := len(l.recordsWanted); n != 0 {
		t.Errorf("%d reads are wanted for an endpoint that is held, want none", n)
	}
	for range 3 { // more than the channel holds must not block the loop
		l.logEndpointEvent(&leased.EndpointEvent{Event: leased.EventUndescribed, Endpoint: "x"})
	}
	if n := len(l.recordsWanted); n != 1 {
		t.Errorf("%d reads are wanted, want one", n)
	}
}
