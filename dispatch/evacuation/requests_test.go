package evacuation

import (
	"slices"
	"testing"
	"time"
)

// Guards against a peer that has read a removal, but not the renewed request after
// it, and whose list replaces that of an entry that has read both at once.
func TestRenewedRequestReplacesItsRemoval(t *testing.T) {
	both, removal := NewRequests(5*time.Second), NewRequests(5*time.Second)
	both.ApplyRead(Read{Offset: 10, Domains: []string{"a"}, Touched: true})
	removal.ApplyRead(Read{Offset: 11, Touched: true})
	both.ApplyRead(Read{Offset: 12, Domains: []string{"a"}, Touched: true})
	if _, accepted := both.ApplyPeer(*removal.Latest()); accepted {
		t.Error("the list of an earlier offset was accepted")
	}
	if !removal.OlderThan(both.Latest().Revision) {
		t.Error("the peer does not see that its list is older")
	}
	if _, accepted := removal.ApplyPeer(*both.Latest()); !accepted || !slices.Equal(removal.Latest().Domains, []string{"a"}) {
		t.Errorf("the peer knows %v, want a", removal.Latest().Domains)
	}
}

// Guards against a drain in steps at an entry that reads an old state of the log, and
// learns from a peer that its requests are older than the read tells.
func TestPeersListEndsADrainInSteps(t *testing.T) {
	r := NewRequests(5 * time.Second)
	r.ApplyRead(Read{Offset: 3, Touched: true})
	if u, _ := r.ApplyRead(Read{Offset: 4, Domains: []string{"a"}, Touched: true}); u.Late {
		t.Error("the request counts as late")
	}
	if u, accepted := r.ApplyPeer(List{Revision: 7, Domains: []string{"a"}}); !accepted || !u.Changed || !u.Late {
		t.Errorf("accepted %v, %+v, want the request in force at once", accepted, u)
	}
}

// Guards against a request that was read late, is drained in steps all the same, and so
// is in force later than the deployment's bound.
func TestLateRequestsAreInForceWithinTheBound(t *testing.T) {
	for _, c := range []struct {
		bound, age time.Duration
		late       bool
	}{
		{5 * time.Second, 3 * time.Second, false},
		{5 * time.Second, 3300 * time.Millisecond, true},
		{3 * time.Second, time.Second, false},
		{3 * time.Second, 1300 * time.Millisecond, true},
		{time.Second, 0, true},
	} {
		r := NewRequests(c.bound)
		r.ApplyRead(Read{Offset: 3, Touched: true})
		u, _ := r.ApplyRead(Read{Offset: 4, Domains: []string{"a"}, Touched: true, Age: c.age})
		if u.Late != c.late {
			t.Errorf("bound %v, age %v: late %t, want %t", c.bound, c.age, u.Late, c.late)
		}
	}
}
