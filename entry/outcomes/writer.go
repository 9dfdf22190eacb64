package outcomes

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"lovagespread.example/dispatch"
	"lovagespread.example/logservice/appender"
)

// queueLength is the number of answers that wait to be encoded.
const queueLength = 4096

// Queue takes records to be appended behind.
type Queue interface {
	Enqueue(k appender.Kind, record []byte) bool
}

// Writer writes outcomes behind. It is safe for concurrent use.
type Writer struct {
	queue   Queue
	answers chan *dispatch.Answer
	dropped atomic.Int64
}

// NewWriter returns a writer. Nothing is written before Run.
func NewWriter(queue Queue) *Writer {
	return &Writer{queue: queue, answers: make(chan *dispatch.Answer, queueLength)}
}

// Write queues the outcome of a job. It never blocks: without room the outcome
// is dropped and counted. The answer must not change afterwards.
func (w *Writer) Write(a *dispatch.Answer) {
	select {
	case w.answers <- a:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of outcomes that were not queued.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run encodes outcomes until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.answers:
			w.encode(a)
		}
	}
}

func (w *Writer) encode(a *dispatch.Answer) {
	data, err := json.Marshal(recordOf(a))
	if err != nil || len(data) > maxRecordBytes || !w.queue.Enqueue(appender.Outcomes, data) {
		w.dropped.Add(1)
	}
}
