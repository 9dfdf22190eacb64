package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagespread.example/dispatch/internal/fixedseed"
)

var (
	epoch   = time.Unix(1_700_000_000, 0)
	options = Options{
		Interval:   10 * time.Millisecond,
		Retention:  time.Hour,
		Timeout:    time.Second,
		MaxPending: 100,
	}
)

func keyNamed(name string) Key { return Key{Team: "t", Name: name} }

func TestFirstClaimInOffsetOrderWins(t *testing.T) {
	a, b := New(options), New(options)
	ofA := a.Step(epoch, &Request{Key: keyNamed("k"), JobID: "a1"}).Append
	ofB := b.Step(epoch, &Request{Key: keyNamed("k"), JobID: "b1"}).Append
	if len(ofA) != 1 || len(ofB) != 1 {
		t.Fatalf("appends: %v, %v", ofA, ofB)
	}
	log := &RecordsRead{Records: append(ofB, ofA...)}
	gotA := a.Step(epoch, log).Bindings
	gotB := b.Step(epoch, log).Bindings
	if len(gotA) != 1 || gotA[0] != (Binding{Key: keyNamed("k"), JobID: "b1"}) {
		t.Fatalf("the loser hears %+v", gotA)
	}
	if len(gotB) != 1 || gotB[0] != (Binding{Key: keyNamed("k"), JobID: "b1", Own: true}) {
		t.Fatalf("the winner hears %+v", gotB)
	}
}

func TestClaimIsRefusedWhenTheLogDoesNotConfirm(t *testing.T) {
	c := New(options)
	c.Step(epoch, &Request{Key: keyNamed("k"), JobID: "1"})
	c.Step(epoch, &AppendFailed{})
	ready := c.Step(epoch.Add(2*time.Second), &Tick{})
	if len(ready.Refusals) != 1 || ready.Refusals[0].Reason != ReasonLogUnavailable || len(ready.Append) != 0 {
		t.Fatalf("%+v", ready)
	}
	late := c.Step(epoch.Add(3*time.Second), &RecordsRead{Records: []Record{{Key: keyNamed("k"), JobID: "1"}}})
	if len(late.Bindings) != 0 {
		t.Fatalf("a refused claim is answered again: %+v", late.Bindings)
	}
	again := c.Step(epoch.Add(3*time.Second), &Request{Key: keyNamed("k"), JobID: "2"})
	if len(again.Bindings) != 1 || again.Bindings[0].JobID != "1" || len(again.Append) != 0 {
		t.Fatalf("the key does not stand for what took effect: %+v", again)
	}
}

func TestAppendsKeepToTheBudget(t *testing.T) {
	c := New(options)
	if n := len(c.Step(epoch, &Request{Key: keyNamed("0"), JobID: "0"}).Append); n != 1 {
		t.Fatalf("first append of %d records", n)
	}
	for i := 1; i <= 5; i++ {
		name := fmt.Sprint(i)
		if n := len(c.Step(epoch, &Request{Key: keyNamed(name), JobID: name}).Append); n != 0 {
			t.Fatalf("an append of %d records beside another", n)
		}
	}
	if n := len(c.Step(epoch.Add(time.Millisecond), &Appended{}).Append); n != 0 {
		t.Fatalf("an append of %d records before the interval is over", n)
	}
	if n := len(c.Step(epoch.Add(options.Interval), &Tick{}).Append); n != 5 {
		t.Fatalf("%d records in one append, want 5", n)
	}
}

func TestPendingClaimsAreBounded(t *testing.T) {
	c := New(options)
	for i := range options.MaxPending {
		name := fmt.Sprint(i)
		c.Step(epoch, &Request{Key: keyNamed(name), JobID: name})
	}
	ready := c.Step(epoch, &Request{Key: keyNamed("more"), JobID: "more"})
	if len(ready.Refusals) != 1 || ready.Refusals[0].Reason != ReasonOverload {
		t.Fatalf("%+v", ready)
	}
}

func TestBindingsAreForgottenAfterTheRetention(t *testing.T) {
	c := New(options)
	c.Step(epoch, &RecordsRead{Records: []Record{{Key: keyNamed("k"), JobID: "1"}}})
	c.Step(epoch.Add(options.Retention+time.Second), &Tick{})
	if len(c.bound) != 0 || len(c.order) != 0 {
		t.Fatalf("%d bindings left", len(c.bound))
	}
}

// world is a log and the claimers that use it.
type world struct {
	t        *rapid.T
	now      time.Time
	log      []Record
	claimers []*Claimer
	appends  [][]Record     // under way, one a claimer
	meaning  map[Key]string // what any claimer said
	wants    int
}

func (w *world) step(i int, in Input) {
	ready := w.claimers[i].Step(w.now, in)
	if len(ready.Append) > 0 {
		w.appends[i] = ready.Append
	}
	for _, b := range ready.Bindings {
		if said, ok := w.meaning[b.Key]; ok && said != b.JobID {
			w.t.Fatalf("%v stands for %s and %s", b.Key, said, b.JobID)
		}
		w.meaning[b.Key] = b.JobID
	}
}

// append lets an append take effect, or not, and tells the truth or not.
func (w *world) append(i int) {
	records := w.appends[i]
	if len(records) == 0 {
		return
	}
	w.appends[i] = nil
	if rapid.Bool().Draw(w.t, "takes effect") {
		w.log = append(w.log, records...)
		if rapid.Bool().Draw(w.t, "reply arrives") {
			w.step(i, &Appended{})
			return
		}
	}
	w.step(i, &AppendFailed{})
}

func (w *world) read(i int) {
	from := int(w.claimers[i].Offset())
	from = rapid.IntRange(0, from).Draw(w.t, "read from") // some again
	w.step(i, &RecordsRead{First: int64(from), Records: w.log[from:]})
}

func TestClaimersAgree(t *testing.T) {
	fixedseed.Use(1000)
	rapid.Check(t, func(t *rapid.T) {
		const claimers = 3
		w := &world{t: t, now: epoch, appends: make([][]Record, claimers), meaning: make(map[Key]string)}
		for range claimers {
			w.claimers = append(w.claimers, New(options))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, claimers-1).Draw(t, "claimer")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.wants++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				w.step(i, &Request{Key: keyNamed(name), JobID: fmt.Sprint(w.wants)})
			case 1:
				w.append(i)
			case 2:
				w.read(i)
			case 3:
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 2 * time.Second}).Draw(t, "time"))
				w.step(i, &Tick{})
			}
		}
		w.now = w.now.Add(2 * options.Timeout)
		for i, c := range w.claimers {
			w.step(i, &Tick{})
			if len(c.pending) != 0 {
				t.Fatalf("%d claims were never answered", len(c.pending))
			}
		}
	})
}

// BenchmarkClaims reports the appends that 1,000 claims cost when they arrive
// evenly at the given rate and an append takes 5 ms.
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
		r := runClaims(claims, time.Second/time.Duration(rate), latency)
		b.ReportMetric(float64(r.appends), "appends/1000claims")
		b.ReportMetric(r.waited.Seconds()*1000/claims, "ms_added_mean")
	}
}

type claimRun struct {
	appends int
	waited  time.Duration // sum over all claims
}

// runClaims feeds one claimer in virtual time, in steps of a tenth of a
// millisecond.
func runClaims(claims int, gap, latency time.Duration) claimRun {
	opts := options
	opts.Interval = 50 * time.Millisecond
	opts.MaxPending = claims
	var (
		c       = New(opts)
		run     claimRun
		wanted  int
		flying  []Record
		landing time.Duration
		offset  int64
		since   = make(map[Key]time.Duration)
	)
	note := func(ready *Ready, at time.Duration) {
		for _, bound := range ready.Bindings {
			run.waited += at - since[bound.Key]
		}
		if len(ready.Append) > 0 {
			run.appends++
			flying, landing = ready.Append, at+latency
		}
	}
	for at := time.Duration(0); offset < int64(claims); at += 100 * time.Microsecond {
		now := epoch.Add(at)
		for ; wanted < claims && time.Duration(wanted)*gap <= at; wanted++ {
			key := keyNamed(fmt.Sprint(wanted))
			since[key] = at
			note(c.Step(now, &Request{Key: key, JobID: key.Name}), at)
		}
		if flying != nil && at >= landing {
			records := flying
			flying = nil
			note(c.Step(now, &RecordsRead{First: offset, Records: records}), at)
			offset += int64(len(records))
			note(c.Step(now, &Appended{}), at)
		}
		note(c.Step(now, &Tick{}), at)
	}
	return run
}
