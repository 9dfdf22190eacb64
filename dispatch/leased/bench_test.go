package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// newCoreHolding returns a core that holds the given number of idle endpoints.
func newCoreHolding(b *testing.B, endpoints int) (*leased.Core, time.Time) {
	b.Helper()
	token := int64(0)
	core := leased.New(leased.Options{
		MaxLease: maxLease, NextToken: func(floor int64) int64 { token = max(token, floor) + 1; return token },
		Yields: func(string) bool { return false },
	})
	now := simStart
	list := make([]leased.Endpoint, endpoints)
	for i := range list {
		id := leased.EndpointID(fmt.Sprintf("e%03d", i))
		list[i] = leased.Endpoint{ID: id, Address: string(id), Service: "s", FailureDomain: "a", Cell: "c",
			Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 128_000}}
	}
	holds := append([]leased.Hold(nil), core.Step(now, &leased.SetEndpoints{Endpoints: list}).Holds...)
	for _, h := range holds {
		core.Step(now, &leased.HoldReply{Endpoint: h.Endpoint, Sequence: h.Sequence, Clock: time.Second})
	}
	return core, now
}

// BenchmarkPlacement measures the end of a run on an endpoint and the placement of
// the next of at least 2,000 waiting tasks, for a holder of one cell (32
// endpoints) and of a whole large site (350).
func BenchmarkPlacement(b *testing.B) {
	for _, endpoints := range []int{32, 350} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { benchmarkPlacement(b, endpoints) })
	}
}

func benchmarkPlacement(b *testing.B, endpoints int) {
	core, now := newCoreHolding(b, endpoints)
	var running []leased.Start // as many as the endpoints can run
	slot := 0                  // index of the run that ended last, reused by the next one
	pollSequences := make(map[leased.EndpointID]uint64)
	endNumbers := make(map[leased.EndpointID]int64)
	record := func(out *leased.Actions) {
		for _, s := range out.Starts {
			if len(running) < 2*endpoints {
				running = append(running, s)
				continue
			}
			running[slot] = s
		}
		for _, h := range out.Holds {
			pollSequences[h.Endpoint] = h.Sequence
		}
	}
	submit := func(n int) {
		record(core.Step(now, &leased.Submit{Ticket: leased.Ticket(n), Job: leased.Job{
			ID: leased.JobID(fmt.Sprintf("j%08d", n)), Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6,
			Slack: time.Hour, CallerTimeout: 24 * time.Hour,
			Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: 60 * time.Millisecond}},
		}}))
	}
	// Jobs are submitted in batches, because stopping the timer stops the world
	// and empties caches. At least 2,000 jobs wait at any time.
	const batch = 500
	n := 0
	for range 2*endpoints + 2000 {
		n++
		submit(n)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		if i%batch == 0 {
			b.StopTimer()
			for range batch {
				n++
				submit(n)
			}
			b.StartTimer()
		}
		slot = i % len(running)
		s := &running[slot]
		endNumbers[s.Endpoint]++
		reply := leased.HoldReply{Endpoint: s.Endpoint, Sequence: pollSequences[s.Endpoint], Clock: time.Second, More: true,
			Ended: []leased.EndedRun{{Number: endNumbers[s.Endpoint], Task: s.Task, Run: s.Run}}}
		record(core.Step(now, &reply))
	}
}
