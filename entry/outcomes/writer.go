package outcomes

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"lovagespread.example/dispatch"
	"lovagespread.example/logservice/appender"
)

// queueLength is the maximum number of answers that wait to be encoded.
const queueLength = 4096

// Queue accepts records to be appended asynchronously.
type Queue interface {
	Enqueue(k appender.Kind, record []byte) bool
}

// Writer writes outcomes asynchronously. It is safe for concurrent use.
type Writer struct {
	queue   Queue
	answers chan *dispatch.Answer
	dropped atomic.Int64
}

// NewWriter returns a writer. Nothing is written before Run.
func NewWriter(queue Queue) *Writer {
	return &Writer{queue: queue, answers: make(chan *dispatch.Answer, queueLength)}
}

// Write queues the outcome of a job. It never blocks: if the queue is full, the
// outcome is dropped and counted. The answer must not be changed afterwards.
func (w *Writer) Write(a *dispatch.Answer) {
	select {
	case w.answers <- a:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of outcomes that were dropped.
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
