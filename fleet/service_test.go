package fleet

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

func TestResubmittedJobIsNeverRejected(t *testing.T) {
	rejected := Outcome{Verdict: leased.Rejected, Reason: "no free endpoint", RetryAfter: time.Second}
	if got := abandonIfResubmitted(rejected, &leased.Job{}); got.Verdict != leased.Rejected {
		t.Errorf("first holder: %v, want rejected", got.Verdict)
	}
	if got := abandonIfResubmitted(rejected, &leased.Job{Resubmitted: true}); got.Verdict != leased.Abandoned {
		t.Errorf("second holder: %v, want abandoned", got.Verdict)
	}
}

func TestResolvePicksLongestPathPrefix(t *testing.T) {
	l := &Loop{}
	l.snapshot.Store(&Snapshot{Configuration: &Configuration{Queues: []Queue{
		{Name: "short", Host: "h", PathPrefix: "/a/"},
		{Name: "long", Host: "h", PathPrefix: "/a/b/"},
		{Name: "other", Host: "i", PathPrefix: "/a/b/c/"},
	}}})
	s := &Service{loop: l}
	for _, c := range []struct{ host, path, queue, rest string }{
		{"h", "/a/1", "short", "1"},
		{"h", "/a/b/1", "long", "1"},
		{"h", "/a/b/", "long", ""},
		{"h", "/c/1", "", ""},
		{"j", "/a/1", "", ""},
	} {
		q, rest, ok := s.Resolve(c.host, c.path)
		if ok != (c.queue != "") || q.Name != c.queue || rest != c.rest {
			t.Errorf("%s%s: queue %q, rest %q, want %q, %q", c.host, c.path, q.Name, rest, c.queue, c.rest)
		}
	}
}

func TestJobsGoToHoldersByFreeCapacity(t *testing.T) {
	self := cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1}
	other := cells.Entry{Name: "a2", FailureDomain: "a", Incarnation: 2, Weight: 1, Interval: time.Second}
	now := time.Now()
	r := cells.New(self, now.Add(-time.Minute))
	r.ReceiveHeartbeat(now, other)
	view := r.View(now)
	third := cells.Cell{FailureDomain: "a", Index: 2, Total: 4}
	s := &Snapshot{View: view, CellCounts: map[string]int{"a": 4}, FreeMilliCores: map[cells.Cell]int{
		third: 75_000, {FailureDomain: "a", Index: 0, Total: 4}: 25_000,
	}}
	first, _ := view.Holder(cells.Cell{FailureDomain: "a", Index: 0, Total: 4})
	want, _ := view.Holder(third)
	for draw, want := range map[float64]cells.Entry{0: first, 0.2: first, 0.3: want, 0.99: want} {
		if got, ok := holderFor(s, draw); !ok || got.Incarnation != want.Incarnation {
			t.Errorf("draw %v: picked %q, want %q", draw, got.Name, want.Name)
		}
	}
}

func TestJobsOfADomainWithoutHolderGoToTheOthers(t *testing.T) {
	self := cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1, Leaving: true}
	now := time.Now()
	r := cells.New(self, now.Add(-time.Minute))
	r.ReceiveHeartbeat(now, cells.Entry{Name: "b1", FailureDomain: "b", Incarnation: 2, Weight: 1, Interval: time.Second})
	r.ReceiveHeartbeat(now, cells.Entry{Name: "c1", FailureDomain: "c", Incarnation: 3, Weight: 1, Interval: time.Second})
	s := &Snapshot{View: r.View(now), CellCounts: map[string]int{"a": 0, "b": 1, "c": 1}, FreeMilliCores: map[cells.Cell]int{
		{FailureDomain: "b", Index: 0, Total: 1}: 50_000, {FailureDomain: "c", Index: 0, Total: 1}: 50_000,
	}}
	for draw, want := range map[float64]string{0.1: "b1", 0.9: "c1"} {
		if got, ok := holderFor(s, draw); !ok || got.Name != want {
			t.Errorf("draw %v: picked %q, want %q", draw, got.Name, want)
		}
	}
}

// A job that fits no endpoint of any holder is rejected at once.
func TestJobLargerThanAllEndpointsIsRejectedAtOnce(t *testing.T) {
	l := testLoop(t, nil)
	l.snapshot.Store(&Snapshot{Endpoints: []leased.Endpoint{
		{Service: "s", Capacity: leased.Demand{MilliCores: 20_000, MemoryMiB: 1000}},
		{Service: "other", Capacity: leased.Demand{MilliCores: 90_000, MemoryMiB: 1000}},
	}})
	s := newService(l, l.peers, zap.NewNop(), l.metrics)
	job := leased.Job{ID: "j", Service: "s", CallerTimeout: time.Hour, Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000}}}}
	if got := s.Submit(context.Background(), job); got.Verdict != leased.Rejected || got.RetryAfter == 0 {
		t.Errorf("%+v, want rejected with a time to retry", got)
	}
}

// The same holder is tried first after its call broke, and once: a job must neither
// stay at a holder to which each call breaks, nor go back to one that answered.
func TestSameHolderIsTriedOnceMore(t *testing.T) {
	x, y := cells.Entry{Incarnation: 2}, cells.Entry{Incarnation: 3}
	broken, gone := &brokenCallError{cause: io.EOF}, &brokenCallError{gone: true, cause: io.EOF}
	again := sameHolder{}
	for i, c := range []struct {
		holder cells.Entry
		err    error
		want   cells.Incarnation
	}{
		{x, broken, 2}, {x, broken, 0}, {x, broken, 2}, {y, broken, 3}, {y, gone, 0}, {x, gone, 0},
		{x, broken, 2}, {x, &notSentError{io.EOF}, 0}, {y, &notSentError{io.EOF}, 0}, {y, errors.New("an answer"), 0},
	} {
		if got := again.next(c.holder, c.err); got != c.want {
			t.Errorf("call %d, to %d, failed by %v: next goes to %d, want %d", i, c.holder.Incarnation, c.err, got, c.want)
		}
	}
}

// holderAnswer is what a holder does with a job.
type holderAnswer func(context.Context, *Loop) (*fleetpb.SubmitResponse, error)

func completesJob(context.Context, *Loop) (*fleetpb.SubmitResponse, error) {
	return &fleetpb.SubmitResponse{}, nil
}

func breaksCall(ctx context.Context, _ *Loop) (*fleetpb.SubmitResponse, error) {
	return nil, breakConnection(ctx)
}

func refusesJob(context.Context, *Loop) (*fleetpb.SubmitResponse, error) {
	return nil, twirp.InternalError("an error of the application")
}

// breakingHolders returns a service and the holders x and y of its failure domain.
// The job goes to x at first. From then on all free capacity is announced by y, so
// that the usual choice is y, and x may be leaving.
func breakingHolders(t *testing.T, leaving bool, answers ...holderAnswer) (s *Service, x, y *fakeEntry) {
	t.Helper()
	l := testLoop(t, nil)
	x = startFakeEntry(t, cells.Entry{Name: "x", FailureDomain: "d0", Incarnation: 2, Weight: 1, Interval: time.Second})
	y = startFakeEntry(t, cells.Entry{Name: "y", FailureDomain: "d0", Incarnation: 3, Weight: 1, Interval: time.Second})
	now := time.Now()
	snapshotOf := func(holder, other cells.Entry) *Snapshot {
		r := cells.New(cells.Entry{Name: "e0", FailureDomain: "d0", Incarnation: 1, Weight: 1, Leaving: true}, now.Add(-time.Minute))
		r.ReceiveHeartbeat(now, holder)
		r.ReceiveHeartbeat(now, other)
		latest := &Snapshot{View: r.View(now), CellCounts: map[string]int{"d0": 64}, FreeMilliCores: make(map[cells.Cell]int)}
		for _, cell := range cells.All("d0", 64) {
			if e, _ := latest.View.Holder(cell); e.Name == holder.Name {
				latest.FreeMilliCores[cell] = 10_000
			}
		}
		return latest
	}
	l.snapshot.Store(snapshotOf(x.entry, y.entry))
	x.setSubmit(func(ctx context.Context, call int) (*fleetpb.SubmitResponse, error) {
		e := x.entry
		e.Leaving = leaving
		l.snapshot.Store(snapshotOf(y.entry, e))
		return answers[min(call, len(answers)-1)](ctx, l)
	})
	return newService(l, l.peers, zap.NewNop(), l.metrics), x, y
}

// After its call broke, a job goes back to a holder that is live, and only then to
// another one. Guards against a second holder that starts the tasks while the first
// one still has the job.
func TestJobGoesBackToTheHolderOfItsBrokenCall(t *testing.T) {
	for name, c := range map[string]struct {
		leaving bool
		answers []holderAnswer
		x, y    int // number of calls
	}{
		"broken once":                {false, []holderAnswer{breaksCall, completesJob}, 2, 0},
		"broken twice":               {false, []holderAnswer{breaksCall, breaksCall}, 2, 1},
		"broken, then refused":       {false, []holderAnswer{breaksCall, refusesJob}, 2, 1},
		"broken, holder is leaving":  {true, []holderAnswer{breaksCall}, 1, 1},
		"the holder answered itself": {false, []holderAnswer{refusesJob}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, x, y := breakingHolders(t, c.leaving, c.answers...)
			got := s.runAtHolder(context.Background(), leased.Job{ID: "j", CallerTimeout: 5 * time.Second}, &holderHistory{})
			if got.Verdict != leased.Completed || len(x.submits) != c.x || len(y.submits) != c.y {
				t.Errorf("%v after %d calls to x and %d to y, want completed after %d and %d", got.Verdict, len(x.submits), len(y.submits), c.x, c.y)
			}
		})
	}
}

// The job counts as resubmitted at the same holder, too, in the next epoch.
func TestJobThatGoesBackIsResubmitted(t *testing.T) {
	s, x, _ := breakingHolders(t, false, breaksCall, completesJob)
	s.runAtHolder(context.Background(), leased.Job{ID: "j", CallerTimeout: 5 * time.Second}, &holderHistory{})
	for epoch := range uint64(2) {
		if r := receiveFrom(t, x.submits); r.Epoch != epoch || r.Resubmitted != (epoch == 1) {
			t.Errorf("request of epoch %d, resubmitted %v, want epoch %d", r.Epoch, r.Resubmitted, epoch)
		}
	}
}

// Guards against a job that goes back to a holder that this entry has taken for gone,
// whose calls it cancelled, although the newest snapshot does not say so yet.
func TestJobDoesNotGoBackToAHolderThatIsGone(t *testing.T) {
	s, x, y := breakingHolders(t, false, func(ctx context.Context, l *Loop) (*fleetpb.SubmitResponse, error) {
		l.peers.outbound.giveUp(2, errEntryGone)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	got := s.runAtHolder(context.Background(), leased.Job{ID: "j", CallerTimeout: 5 * time.Second}, &holderHistory{})
	if got.Verdict != leased.Completed || len(x.submits) != 1 || len(y.submits) != 1 {
		t.Errorf("%v after %d calls to x and %d to y, want completed after one each", got.Verdict, len(x.submits), len(y.submits))
	}
}

// Guards against a job that counts as new at its second holder, after a move or
// the loss of the first one: it would circulate or be served ahead of others.
func TestTimeAtEarlierHoldersCountsAsWaited(t *testing.T) {
	now := time.Now()
	wait := callerWait{since: now.Add(-100 * time.Millisecond), timeout: time.Second, before: 300 * time.Millisecond}
	job := leased.Job{CallerTimeout: time.Hour, Waited: time.Hour}
	wait.apply(&job, now)
	if job.CallerTimeout != 900*time.Millisecond || job.Waited != 400*time.Millisecond {
		t.Errorf("waits for another %v after %v, want 900ms after 400ms", job.CallerTimeout, job.Waited)
	}
}

// A caller whose request broke off sends it again and waits for less time than a
// new caller. Guards against counting its whole wait anew.
func TestCallersWhoReturnHaveWaitedBefore(t *testing.T) {
	q := &Queue{Timeout: 1500 * time.Millisecond}
	for timeout, want := range map[time.Duration]time.Duration{
		400 * time.Millisecond: 1100 * time.Millisecond, 1500 * time.Millisecond: 0, 5 * time.Second: 0,
	} {
		if got := q.WaitedBefore(timeout); got != want {
			t.Errorf("timeout %v: has waited %v, want %v", timeout, got, want)
		}
	}
}

// Guards against a job that two entries of a failure domain submit to different holders:
// each of these would run its tasks. The entries know the same holders, and different
// announcements of free capacity.
func TestEntriesSubmitAJobToOneHolder(t *testing.T) {
	const jobs, cellCount = 1000, 8
	entries := []cells.Entry{
		{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1, Interval: time.Second},
		{Name: "a2", FailureDomain: "a", Incarnation: 2, Weight: 1, Interval: time.Second},
		{Name: "a3", FailureDomain: "a", Incarnation: 3, Weight: 1, Interval: time.Second},
	}
	now := time.Now()
	snapshotOf := func(self int, free int) *Snapshot {
		r := cells.New(entries[self], now.Add(-time.Minute))
		for i, e := range entries {
			if i != self {
				r.ReceiveHeartbeat(now, e)
			}
		}
		announced := map[cells.Cell]int{{FailureDomain: "a", Index: free, Total: cellCount}: 90_000}
		return &Snapshot{View: r.View(now), CellCounts: map[string]int{"a": cellCount}, FreeMilliCores: announced}
	}
	l := testLoop(t, nil)
	s := newService(l, l.peers, zap.NewNop(), l.metrics)
	first, second := snapshotOf(0, 1), snapshotOf(1, 5)
	share := make(map[cells.Incarnation]int)
	for n := range jobs {
		job := &leased.Job{ID: leased.JobID(fmt.Sprintf("%016x", n))}
		one, ok := s.chooseHolder(first, job, 0, &passedOver{})
		other, also := s.chooseHolder(second, job, 0, &passedOver{})
		if !ok || !also || one.Incarnation != other.Incarnation {
			t.Fatalf("job %s goes to %q from one entry, and to %q from another", job.ID, one.Name, other.Name)
		}
		share[one.Incarnation]++
	}
	for _, cell := range cells.All("a", cellCount) {
		holder, _ := first.View.Holder(cell)
		if min := jobs / cellCount / 2; share[holder.Incarnation] < min {
			t.Errorf("holder %q gets %d of %d jobs, want %d or more", holder.Name, share[holder.Incarnation], jobs, min)
		}
	}
}

// Guards against a job that goes to the same holder for ever, although that has answered
// that it holds no cell, or cannot be reached.
func TestJobGoesToAnotherHolderAfterARefusal(t *testing.T) {
	holders := []cells.Entry{{Name: "a1", Incarnation: 1}, {Name: "a2", Incarnation: 2}, {Name: "a3", Incarnation: 3}}
	unreachable := &notSentError{errors.New("refused")}
	for _, c := range []struct {
		name  string
		fail  func(p *passedOver, holder cells.Entry)
		moves int // the call after which the job goes to another holder
	}{
		{"it holds no cell", func(p *passedOver, holder cells.Entry) { p.refused(holder) }, 1},
		{"it could not be reached", func(p *passedOver, holder cells.Entry) { p.lost(holder, unreachable, false) }, 2},
		{"the call broke", func(p *passedOver, holder cells.Entry) { p.lost(holder, &brokenCallError{}, false) }, 1},
		{"the call broke, and the job goes there once more", func(p *passedOver, holder cells.Entry) { p.lost(holder, &brokenCallError{}, true) }, 0},
	} {
		var passed passedOver
		first, _ := pickByID(passed.without(holders), "j")
		for call := 1; call <= 2; call++ {
			c.fail(&passed, first)
			next, ok := pickByID(passed.without(holders), "j")
			if moved := next.Incarnation != first.Incarnation; !ok || moved != (c.moves > 0 && call >= c.moves) {
				t.Errorf("%s, call %d: the job goes to %q after %q", c.name, call, next.Name, first.Name)
			}
		}
	}
	all := passedOver{holders: []cells.Incarnation{1, 2, 3}}
	if _, ok := pickByID(all.without(holders), "j"); !ok {
		t.Error("no holder gets the job once all were passed over")
	}
}

// Guards against callers who get no answer from an entry that exits (review/10): their jobs
// wait for a holder or for room, and later requests come in on open connections.
func TestEndedRequestsAreAnsweredAtOnce(t *testing.T) {
	l := testLoop(t, nil)
	view := cells.New(cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1}, time.Now()).View(time.Now())
	l.snapshot.Store(&Snapshot{View: view, Endpoints: []leased.Endpoint{{Service: "s", Capacity: leased.Demand{MilliCores: 90_000, MemoryMiB: 1000}}}})
	s := newService(l, l.peers, zap.NewNop(), l.metrics)
	submit := func(id leased.JobID) <-chan Outcome {
		answer := make(chan Outcome, 1)
		job := leased.Job{ID: id, Service: "s", CallerTimeout: time.Hour, Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000}}}}
		go func() { answer <- s.Submit(context.Background(), job) }()
		return answer
	}
	waiting := submit("j")
	for !s.HasWaitingCaller("j") {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	s.EndRequests()
	for name, answer := range map[string]<-chan Outcome{"open": waiting, "later": submit("k")} {
		if got := <-answer; got.Verdict != leased.Abandoned || got.Reason != reasonStopping {
			t.Errorf("%s request: %+v, want abandoned because the entry stops", name, got)
		}
	}
	if took := time.Since(began); took > holderTimeout/2 {
		t.Errorf("answered after %v", took)
	}
}
