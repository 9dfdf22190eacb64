package ledger

import (
	"runtime"
	"testing"
	"time"

	"lovagespread.example/dispatch/jobid"
)

// unsignedIDs returns a function that returns IDs with consecutive sequence
// numbers without signing each one.
func unsignedIDs(b *testing.B) func() jobid.ID {
	id := newID(b)
	return func() jobid.ID {
		id.Sequence++
		return id
	}
}

// BenchmarkJob opens, starts, resolves and ends a job of one task.
func BenchmarkJob(b *testing.B) {
	l, next := New(1), unsignedIDs(b)
	idempotent := []bool{false}
	b.ReportAllocs()
	for b.Loop() {
		id := next()
		l.Open(id, idempotent)
		attempt, _ := l.Start(id, 0)
		l.Resolve(id, 0, attempt, AttemptDone)
		l.End(id)
	}
}

// BenchmarkTransition starts and resolves one attempt, with 10,000 open jobs.
func BenchmarkTransition(b *testing.B) {
	l, next := New(1), unsignedIDs(b)
	ids := make([]jobid.ID, 10_000)
	for i := range ids {
		ids[i] = next()
		l.Open(ids[i], []bool{true})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		id := ids[i%len(ids)]
		attempt, _ := l.Start(id, 0)
		l.Resolve(id, 0, attempt, AttemptNotStarted)
		i++
	}
}

// BenchmarkMemory reports the heap bytes of one job record.
func BenchmarkMemory(b *testing.B) {
	const jobs = 100_000
	b.Run("open/tasks=1", func(b *testing.B) { benchmarkOpen(b, jobs, 1) })
	b.Run("open/tasks=10", func(b *testing.B) { benchmarkOpen(b, jobs, 10) })
	b.Run("finished", func(b *testing.B) {
		reportHeap(b, jobs, func(l *Ledger, next func() jobid.ID) {
			for range jobs {
				l.Close(next())
			}
		})
	})
}

func benchmarkOpen(b *testing.B, jobs, tasks int) {
	idempotent := make([]bool, tasks)
	reportHeap(b, jobs, func(l *Ledger, next func() jobid.ID) {
		for range jobs {
			l.Open(next(), idempotent)
		}
	})
}

func reportHeap(b *testing.B, jobs int, fill func(*Ledger, func() jobid.ID)) {
	for b.Loop() {
		before := heapBytes()
		l := New(1)
		fill(l, unsignedIDs(b))
		after := heapBytes()
		runtime.KeepAlive(l)
		b.ReportMetric(float64(after-before)/float64(jobs), "bytes/job")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkExpire measures one call with two million records, none of which
// has expired.
func BenchmarkExpire(b *testing.B) {
	l, next := New(1), unsignedIDs(b)
	for range 2_000_000 {
		l.Close(next())
	}
	now := epoch.Add(time.Second)
	for b.Loop() {
		l.Expire(now)
	}
}

// BenchmarkHandover hands over 10,000 open jobs of ten tasks and two million
// finished jobs.
func BenchmarkHandover(b *testing.B) {
	a, next := New(1), unsignedIDs(b)
	idempotent := make([]bool, 10)
	for range 10_000 {
		a.Open(next(), idempotent)
	}
	for range 2_000_000 {
		a.Close(next())
	}
	b.ReportAllocs()
	for b.Loop() {
		to := New(2)
		a.BeginHandover(2)
		parts := 0
		for a.Pending() > 0 {
			part, _ := a.NextPart(PartLimit{Records: 500})
			to.Accept(part)
			parts++
		}
		last, _ := a.Relinquish()
		if accepted, err := to.Accept(last); !accepted {
			b.Fatal(err)
		}
		a.Reclaim()
		b.ReportMetric(float64(parts+1), "parts")
	}
}
