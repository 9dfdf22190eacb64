package appender

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkEnqueue measures the cost of enqueuing an outcome while the queue is
// full and drops the oldest record.
func BenchmarkEnqueue(b *testing.B) {
	a := New(Options{Log: newSlowLog(0), Rand: rand.New(rand.NewPCG(1, 2))})
	record := make([]byte, 300)
	for b.Loop() {
		a.Enqueue(Outcomes, record)
	}
}
