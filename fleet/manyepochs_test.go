package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/membership/cells"
)

// Guards against a heartbeat that counts as contact with an entry that has withdrawn a
// call and does not say so: the connections to many entries break within a short time, and
// there are more epochs than one heartbeat names. The called entry, whose side of the
// connection is silent, would renew the run until its pings fail.
func TestHeartbeatNamesTheEpochsOfAllBrokenConnections(t *testing.T) {
	const entries = maxAnnouncedEpochs + 16
	s := newCallSet()
	broken := make([]*call, entries)
	for i := range broken {
		broken[i] = s.open(context.Background(), cells.Incarnation(i+1))
	}
	for _, c := range broken {
		s.giveUpBroken(c)
	}
	w := s.withdrawals(time.Now())
	named := make(map[uint64]bool)
	for _, e := range w.epochs {
		named[e.Incarnation] = true
	}
	for _, n := range w.calls {
		named[n.Incarnation] = true
	}
	missing := 0
	for _, c := range broken {
		if !errors.Is(context.Cause(c.ctx), errCallsGivenUp) {
			t.Fatal("a call was not given up")
		}
		if !named[uint64(c.entry)] {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("a heartbeat does not name the withdrawn calls to %d of %d entries", missing, entries)
	}
}
