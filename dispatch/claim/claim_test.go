package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagespread.example/dispatch/internal/fixedseed"
)

var (
	startTime = time.Unix(1_700_000_000, 0)
	options   = Options{
		Interval:   10 * time.Millisecond,
		Retention:  time.Hour,
		Timeout:    time.Second,
		MaxPending: 100,
	}
)

func keyNamed(name string) Key { return Key{Team: "t", Name: name} }

func TestFirstClaimInOffsetOrderWins(t *testing.T) {
	a, b := New(options), New(options)
	appendA := a.Step(startTime, &Request{Key: keyNamed("k"), JobID: "a1"}).Append
	appendB := b.Step(startTime, &Request{Key: keyNamed("k"), JobID: "b1"}).Append
	if len(appendA) != 1 || len(appendB) != 1 {
		t.Fatalf("appends: %v, %v", appendA, appendB)
	}
	read := &RecordsRead{Records: append(appendB, appendA...)}
	gotA := a.Step(startTime, read).Bindings
	gotB := b.Step(startTime, read).Bindings
	if len(gotA) != 1 || gotA[0] != (Binding{Key: keyNamed("k"), JobID: "b1"}) {
		t.Fatalf("bindings returned to the losing claimer: %+v", gotA)
	}
	if len(gotB) != 1 || gotB[0] != (Binding{Key: keyNamed("k"), JobID: "b1", Own: true}) {
		t.Fatalf("bindings returned to the winning claimer: %+v", gotB)
	}
}

func TestClaimIsRefusedWhenLogDoesNotConfirmInTime(t *testing.T) {
	c := New(options)
	c.Step(startTime, &Request{Key: keyNamed("k"), JobID: "1"})
	c.Step(startTime, &AppendFailed{})
	ready := c.Step(startTime.Add(2*time.Second), &Tick{})
	if len(ready.Refusals) != 1 || ready.Refusals[0].Reason != ReasonLogUnavailable || len(ready.Append) != 0 {
		t.Fatalf("got %+v, want one refusal because of the log and no append", ready)
	}
	late := c.Step(startTime.Add(3*time.Second), &RecordsRead{Records: []Record{{Key: keyNamed("k"), JobID: "1"}}})
	if len(late.Bindings) != 0 {
		t.Fatalf("refused claim was answered again: %+v", late.Bindings)
	}
	again := c.Step(startTime.Add(3*time.Second), &Request{Key: keyNamed("k"), JobID: "2"})
	if len(again.Bindings) != 1 || again.Bindings[0].JobID != "1" || len(again.Append) != 0 {
		t.Fatalf("key is not bound to the job ID that took effect: %+v", again)
	}
}

func TestOneAppendPerInterval(t *testing.T) {
	c := New(options)
	if n := len(c.Step(startTime, &Request{Key: keyNamed("0"), JobID: "0"}).Append); n != 1 {
		t.Fatalf("first append has %d records, want 1", n)
	}
	for i := 1; i <= 5; i++ {
		name := fmt.Sprint(i)
		if n := len(c.Step(startTime, &Request{Key: keyNamed(name), JobID: name}).Append); n != 0 {
			t.Fatalf("append of %d records started while another was in progress", n)
		}
	}
	if n := len(c.Step(startTime.Add(time.Millisecond), &Appended{}).Append); n != 0 {
		t.Fatalf("append of %d records started before the interval had passed", n)
	}
	if n := len(c.Step(startTime.Add(options.Interval), &Tick{}).Append); n != 5 {
		t.Fatalf("%d records in one append, want 5", n)
	}
}

func TestPendingClaimsAreBounded(t *testing.T) {
	c := New(options)
	for i := range options.MaxPending {
		name := fmt.Sprint(i)
		c.Step(startTime, &Request{Key: keyNamed(name), JobID: name})
	}
	ready := c.Step(startTime, &Request{Key: keyNamed("more"), JobID: "more"})
	if len(ready.Refusals) != 1 || ready.Refusals[0].Reason != ReasonOverload {
		t.Fatalf("got %+v, want one refusal because of overload", ready)
	}
}

func TestBindingsAreDroppedAfterRetention(t *testing.T) {
	c := New(options)
	c.Step(startTime, &RecordsRead{Records: []Record{{Key: keyNamed("k"), JobID: "1"}}})
	c.Step(startTime.Add(options.Retention+time.Second), &Tick{})
	if len(c.bindings) != 0 || len(c.retained) != 0 {
		t.Fatalf("%d bindings left", len(c.bindings))
	}
}

// simulation holds a log and the claimers that use it.
type simulation struct {
	t        *rapid.T
	now      time.Time
	log      []Record
	claimers []*Claimer
	appends  [][]Record     // in progress, one per claimer
	boundTo  map[Key]string // job IDs in the bindings returned by any claimer
	requests int
}

func (s *simulation) step(i int, in Input) {
	ready := s.claimers[i].Step(s.now, in)
	if len(ready.Append) > 0 {
		s.appends[i] = ready.Append
	}
	for _, b := range ready.Bindings {
		if previous, ok := s.boundTo[b.Key]; ok && previous != b.JobID {
			s.t.Fatalf("%v is bound to %s and %s", b.Key, previous, b.JobID)
		}
		s.boundTo[b.Key] = b.JobID
	}
}

// append ends the append that a claimer has in progress. It may or may not take
// effect, and an append that took effect may be reported as failed.
func (s *simulation) append(i int) {
	records := s.appends[i]
	if len(records) == 0 {
		return
	}
	s.appends[i] = nil
	if rapid.Bool().Draw(s.t, "takes effect") {
		s.log = append(s.log, records...)
		if rapid.Bool().Draw(s.t, "reply arrives") {
			s.step(i, &Appended{})
			return
		}
	}
	s.step(i, &AppendFailed{})
}

func (s *simulation) readLog(i int) {
	from := int(s.claimers[i].Offset())
	from = rapid.IntRange(0, from).Draw(s.t, "read from") // may repeat records
	s.step(i, &RecordsRead{First: int64(from), Records: s.log[from:]})
}

func TestClaimersAgree(t *testing.T) {
	fixedseed.Use(1000)
	rapid.Check(t, func(t *rapid.T) {
		const claimers = 3
		s := &simulation{t: t, now: startTime, appends: make([][]Record, claimers), boundTo: make(map[Key]string)}
		for range claimers {
			s.claimers = append(s.claimers, New(options))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, claimers-1).Draw(t, "claimer")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.requests++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				s.step(i, &Request{Key: keyNamed(name), JobID: fmt.Sprint(s.requests)})
			case 1:
				s.append(i)
			case 2:
				s.readLog(i)
			case 3:
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 2 * time.Second}).Draw(t, "time"))
				s.step(i, &Tick{})
			}
		}
		s.now = s.now.Add(2 * options.Timeout)
		for i, c := range s.claimers {
			s.step(i, &Tick{})
			if len(c.pending) != 0 {
				t.Fatalf("%d claims were never answered", len(c.pending))
			}
		}
	})
}

// BenchmarkClaims reports the number of appends for 1,000 claims that arrive
// evenly at the given rate, and the mean latency that they add, if an append
// takes 5 ms.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { benchmarkClaims(b, rate) })
	}
}

func benchmarkClaims(b *testing.B, rate int) {
	const (
		claims  = 1000
		latency = 5 * time.Millisecond
	)
	for b.Loop() {
		cost := measureClaims(claims, time.Second/time.Duration(rate), latency)
		b.ReportMetric(float64(cost.appends), "appends/1000claims")
		b.ReportMetric(cost.totalWait.Seconds()*1000/claims, "ms_added_mean")
	}
}

type claimCost struct {
	appends   int
	totalWait time.Duration // sum over all claims
}

// measureClaims sends claims to one claimer in virtual time, in steps of a
// tenth of a millisecond.
func measureClaims(claims int, gap, latency time.Duration) claimCost {
	opts := options
	opts.Interval = 50 * time.Millisecond
	opts.MaxPending = claims
	var (
		c           = New(opts)
		cost        claimCost
		requested   int
		inFlight    []Record
		appendDone  time.Duration
		offset      int64
		requestedAt = make(map[Key]time.Duration)
	)
	record := func(ready *Ready, elapsed time.Duration) {
		for _, b := range ready.Bindings {
			cost.totalWait += elapsed - requestedAt[b.Key]
		}
		if len(ready.Append) > 0 {
			cost.appends++
			inFlight, appendDone = ready.Append, elapsed+latency
		}
	}
	for elapsed := time.Duration(0); offset < int64(claims); elapsed += 100 * time.Microsecond {
		now := startTime.Add(elapsed)
		for ; requested < claims && time.Duration(requested)*gap <= elapsed; requested++ {
			key := keyNamed(fmt.Sprint(requested))
			requestedAt[key] = elapsed
			record(c.Step(now, &Request{Key: key, JobID: key.Name}), elapsed)
		}
		if inFlight != nil && elapsed >= appendDone {
			records := inFlight
			inFlight = nil
			record(c.Step(now, &RecordsRead{First: offset, Records: records}), elapsed)
			offset += int64(len(records))
			record(c.Step(now, &Appended{}), elapsed)
		}
		record(c.Step(now, &Tick{}), elapsed)
	}
	return cost
}
