package load

import (
	"context"
	"time"

	"lovagespread.example/standin/fakeendpoint"
)

// Measurement compares the counts at endpoints and entries before and after a
// run.
type Measurement struct {
	standins  *Standins
	start     time.Time
	starts    fakeendpoint.StartReport
	messages  fakeendpoint.Messages
	admins    []string
	entries   map[string]EntryMessages
	startRate float64 // task starts per second, until RecordStartRate
}

// StartMeasurement reads the counts of the endpoints and of the entries at the
// given admin addresses, host:port.
func StartMeasurement(ctx context.Context, standins *Standins, admins ...string) (*Measurement, error) {
	starts, err := standins.Starts(ctx)
	if err != nil {
		return nil, err
	}
	messages, err := standins.Messages(ctx)
	if err != nil {
		return nil, err
	}
	return &Measurement{
		standins: standins,
		start:    time.Now(),
		starts:   starts,
		messages: messages,
		admins:   admins,
		entries:  entryMessages(ctx, admins),
	}, nil
}

// RecordStartRate records the rate of task starts since StartMeasurement, for
// the report. Without this call the reported rate is 0.
func (m *Measurement) RecordStartRate(ctx context.Context) error {
	messages, err := m.standins.Messages(ctx)
	if err != nil {
		return err
	}
	received := messages.Sub(m.messages)
	m.startRate = float64(received.Tasks-received.Refusals) / time.Since(m.start).Seconds()
	return nil
}

// Report combines the outcomes at the callers with the counts at the endpoints
// since StartMeasurement. repeats is the number of repeated requests of
// callers.
func (m *Measurement) Report(ctx context.Context, tally *Tally, repeats int64, idempotent func(service string) bool) (Report, Detail, error) {
	starts, err := m.standins.Starts(ctx)
	if err != nil {
		return Report{}, Detail{}, err
	}
	messages, err := m.standins.Messages(ctx)
	if err != nil {
		return Report{}, Detail{}, err
	}
	starts.Starts -= m.starts.Starts
	starts.Tasks -= m.starts.Tasks
	counts := endpointCounts{
		starts:    starts,
		messages:  messages.Sub(m.messages),
		startRate: m.startRate,
		repeats:   repeats,
	}
	report, detail := tally.report(counts, idempotent)
	detail.Entries = sumSince(m.entries, entryMessages(ctx, m.admins))
	return report, detail, nil
}
