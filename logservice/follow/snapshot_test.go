package follow

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice/platformapi"
)

// TestSnapshotDueTimeToleratesClockSkew checks that a VM whose clock is off by an
// hour neither writes snapshots continuously nor delays the next one.
func TestSnapshotDueTimeToleratesClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const every = 15 * time.Minute
		opts := Options{SnapshotInterval: every, Rand: rand.New(rand.NewPCG(1, 2))}.withDefaults()
		cases := []struct {
			name string
			skew time.Duration // of the platform's clock
			live bool
			want time.Duration // until the next snapshot
		}{
			{"live, clock ahead", -time.Hour, true, every},
			{"live, clock behind", time.Hour, true, every},
			{"catching up", -10 * time.Minute, false, 5 * time.Minute},
			{"catching up, clock behind", time.Hour, false, every},
		}
		for _, c := range cases {
			timer := newSnapshotTimer(opts, opts.Rand)
			record := platformapi.Record{Time: time.Now().Add(c.skew)}
			timer.observe(record, change.Recorded, c.live)
			if got := time.Until(timer.due()); got != c.want {
				t.Errorf("%s: due in %s, want %s", c.name, got, c.want)
			}
		}
	})
}
