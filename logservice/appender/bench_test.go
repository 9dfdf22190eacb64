package appender

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkEnqueue measures what one outcome costs its job, with a full queue
// that drops the oldest.
func BenchmarkEnqueue(b *testing.B) {
	a := New(Options{Log: newSlowLog(0), Rand: rand.New(rand.NewPCG(1, 2))})
	record := make([]byte, 300)
	for b.Loop() {
		a.Enqueue(Outcomes, record)
	}
}
