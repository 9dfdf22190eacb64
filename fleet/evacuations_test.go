package fleet

import (
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
	"lovagespread.example/membership/cells"
)

func evacuatingLoop(t *testing.T) *Loop {
	t.Helper()
	l := testLoop(t, nil)
	l.settings.EvacuationBound = 5 * time.Second
	l.requests = evacuation.NewRequests(l.settings.EvacuationBound)
	return l
}

func read(offset int64, age time.Duration, domains ...string) evacuationsRead {
	return evacuationsRead{domains: domains, read: follow.Progress{Offset: offset, Age: age}}
}

// Guards against a drain in steps at an entry that learns of a request late.
func TestLateRequestsAreInForceAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		messages []message
		drained  bool
	}{
		"first read":      {[]message{read(5, 0, "d1")}, true},
		"read in time":    {[]message{read(5, 0), read(6, 2500*time.Millisecond, "d1")}, false},
		"after an outage": {[]message{read(5, 0), read(6, 3300*time.Millisecond, "d1")}, true},
		"from a peer":     {[]message{read(5, 0), peerEvacuations{Evacuations{Revision: 6, Domains: []string{"d1"}}}}, true},
	} {
		l := evacuatingLoop(t)
		for _, m := range c.messages {
			m.handle(l)
		}
		if share := l.Latest().share("d1"); (share == 0) != c.drained {
			t.Errorf("%s: share %v of the endpoints get tasks, drained at once: %v", name, share, c.drained)
		}
	}
}

// Guards against a snapshot of a peer that was cut off, and brings back a request
// that was removed, or removes one that is in force.
func TestOlderEvacuationsOfAPeerAreIgnored(t *testing.T) {
	l := evacuatingLoop(t)
	read(5, 0, "d1").handle(l)
	read(8, 0).handle(l)
	peerEvacuations{Evacuations{Revision: 5, Domains: []string{"d1"}}}.handle(l)
	if domains := l.Latest().Evacuations.Domains; len(domains) > 0 {
		t.Errorf("%v are evacuated, want none", domains)
	}
	peerEvacuations{Evacuations{Revision: 9, Domains: []string{"d2"}}}.handle(l)
	peerEvacuations{Evacuations{Revision: 9, Domains: nil}}.handle(l)
	if domains := l.Latest().Evacuations.Domains; !slices.Equal(domains, []string{"d2"}) {
		t.Errorf("%v are evacuated, want d2", domains)
	}
}

// Guards against entries that ask each other for their snapshots whenever any
// record of the operators changes.
func TestOtherRecordsKeepTheRevisionOfEvacuations(t *testing.T) {
	l := evacuatingLoop(t)
	read(5, 0, "d1").handle(l)
	read(9, 0, "d1").handle(l)
	if revision := l.directory.Evacuations.Revision; revision != 5 {
		t.Errorf("revision %d, want 5", revision)
	}
}

// Guards against an entry that starts tasks before it knows whether its domain is
// evacuated.
func TestNoEndpointIsHeldBeforeEvacuationsAreKnown(t *testing.T) {
	l := evacuatingLoop(t)
	l.roster = cells.New(l.view.Self, time.Now().Add(-time.Minute))
	l.view = l.roster.View(time.Now())
	setDirectory{Directory{Endpoints: endpointsNamed("e1", "e2")}}.handle(l)
	if n := l.core.Status().Endpoints; n != 0 {
		t.Errorf("%d endpoints are held, want none", n)
	}
	read(5, 0).handle(l)
	if n := l.core.Status().Endpoints; n != 2 {
		t.Errorf("%d endpoints are held, want 2", n)
	}
}

// Guards against an entry that has just started and starts tasks by the list of a
// peer that has lost the platform, although its own first read is under way; and
// against one that never starts tasks because it cannot read the platform.
func TestPeersEvacuationsCountOnceAReadHasFailed(t *testing.T) {
	l := evacuatingLoop(t)
	l.roster = cells.New(l.view.Self, time.Now().Add(-time.Minute))
	l.view = l.roster.View(time.Now())
	setDirectory{Directory{Endpoints: endpointsNamed("e1", "e2")}}.handle(l)
	peerEvacuations{Evacuations{Revision: 5}}.handle(l)
	if n := l.core.Status().Endpoints; n != 0 {
		t.Errorf("%d endpoints are held before the first read has ended, want none", n)
	}
	evacuationsUnread{}.handle(l)
	if n := l.core.Status().Endpoints; n != 2 {
		t.Errorf("%d endpoints are held after the first read has failed, want 2", n)
	}
}

// Guards against requests that deployments without evacuations could receive.
func TestEvacuationsAreIgnoredWhereTheSettingsLackThem(t *testing.T) {
	l := testLoop(t, nil)
	read(5, 0, "d0").handle(l)
	if l.Latest().Evacuations != nil || l.core.DomainShares(time.Now()) != nil {
		t.Error("an evacuation is in force")
	}
}

// Guards against jobs of an evacuated domain's callers that go to a holder there,
// and against others that do.
func TestJobsAvoidEvacuatedDomains(t *testing.T) {
	now := time.Now()
	r := cells.New(cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1}, now.Add(-time.Minute))
	for n, domain := range []string{"b", "c"} {
		r.ReceiveHeartbeat(now, cells.Entry{Name: domain + "1", FailureDomain: domain, Incarnation: cells.Incarnation(n + 2), Weight: 1, Interval: time.Second})
	}
	s := &Snapshot{View: r.View(now), CellCounts: map[string]int{"a": 1, "b": 1, "c": 1}, FreeMilliCores: map[cells.Cell]int{}}
	for _, c := range []struct {
		shares map[string]float64
		draw   float64
		want   string
	}{
		{nil, 0.9, "a1"},
		{map[string]float64{"a": 0}, 0, "b1"},
		{map[string]float64{"a": 0}, 0.9, "c1"},
		{map[string]float64{"a": 0, "b": 0}, 0, "c1"},
		{map[string]float64{"a": 0.5}, 0.4, "a1"},
		{map[string]float64{"a": 0.5}, 0.6, "b1"},
		{map[string]float64{"b": 0}, 0.9, "a1"},
	} {
		s.DomainShares = c.shares
		if got, ok := holderFor(s, c.draw); !ok || got.Name != c.want {
			t.Errorf("shares %v, draw %v: picked %q, want %q", c.shares, c.draw, got.Name, c.want)
		}
	}
}

// Guards against callers of an evacuated domain that wait while no entry of
// another domain can be reached.
func TestJobsOfAnIsolatedEvacuatedDomainAreRejectedAtOnce(t *testing.T) {
	l := evacuatingLoop(t)
	l.snapshot.Store(&Snapshot{View: l.view, CellCounts: map[string]int{"d0": 1, "d1": 1}, DomainShares: map[string]float64{"d0": 0}})
	s := newService(l, l.peers, l.log, l.metrics)
	job := leased.Job{ID: "j", Service: "s", CallerTimeout: time.Hour, Steps: []leased.Step{{Tasks: 1}}}
	began := time.Now()
	got := s.Submit(t.Context(), job)
	if took := time.Since(began); got.Verdict != leased.Rejected || got.RetryAfter == 0 || took > holderTimeout/2 {
		t.Errorf("%+v after %v, want rejected at once with a time to retry", got, took)
	}
}

// Guards against callers that wait for a holder although no domain may get tasks.
func TestJobsAreRejectedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	l := evacuatingLoop(t)
	l.snapshot.Store(&Snapshot{CellCounts: map[string]int{"a": 1, "b": 2}, DomainShares: map[string]float64{"a": 0, "b": 0}})
	s := newService(l, l.peers, l.log, l.metrics)
	job := leased.Job{ID: "j", Service: "s", CallerTimeout: time.Hour, Steps: []leased.Step{{Tasks: 1}}}
	if got := s.Submit(t.Context(), job); got.Verdict != leased.Rejected || got.RetryAfter == 0 {
		t.Errorf("%+v, want rejected with a time to retry", got)
	}
}
