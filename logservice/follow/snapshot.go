package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice/platformapi"
)

// snapshotTimer decides when a snapshot is due: when the last one is old enough,
// or when enough records have followed it.
type snapshotTimer struct {
	interval   time.Duration
	maxRecords int
	jitter     time.Duration
	rand       *rand.Rand

	timer        *time.Timer
	firesAt      time.Time // when the timer fires; zero if it is not set
	lastSnapshot time.Time // time of the last snapshot, or of the first record if there is none
	recordsSince int       // number of records after the last snapshot
}

func newSnapshotTimer(opts Options, random *rand.Rand) snapshotTimer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return snapshotTimer{
		interval:   opts.SnapshotInterval,
		maxRecords: opts.SnapshotRecords,
		jitter:     opts.SnapshotJitter,
		rand:       random,
		timer:      timer,
	}
}

// observe accounts for a record of the log. A live record has just been written,
// so its age is known even if the clocks of the platform and the VM differ.
func (s *snapshotTimer) observe(record platformapi.Record, kind change.VerdictKind, live bool) {
	s.recordsSince++
	if kind == change.Recorded {
		s.recordsSince = 0
	}
	if kind == change.Recorded || s.lastSnapshot.IsZero() {
		s.lastSnapshot = writtenAt(record, live)
	}
}

func writtenAt(record platformapi.Record, live bool) time.Time {
	now := time.Now()
	if live || record.Time.After(now) {
		return now
	}
	return record.Time
}

// due returns the time at which the next snapshot is due.
func (s *snapshotTimer) due() time.Time {
	if s.recordsSince >= s.maxRecords {
		return time.Now()
	}
	return s.lastSnapshot.Add(s.interval)
}

// arm sets the timer to the due time plus a random delay, unless it is already set
// to such a time.
func (s *snapshotTimer) arm() {
	due := s.due()
	if !s.firesAt.IsZero() && !s.firesAt.Before(due) && s.firesAt.Before(due.Add(s.jitter)) {
		return
	}
	delay := time.Duration(s.rand.Int64N(int64(s.jitter)))
	s.firesAt = due.Add(delay)
	s.timer.Reset(max(time.Until(s.firesAt), delay))
}

func (s *snapshotTimer) disarm() {
	s.firesAt = time.Time{}
	s.timer.Stop()
}

// scheduleSnapshot arms the timer if the replica has reached the end of the log.
// Before the end, the rest of the log may contain a newer snapshot.
func (f *Follower) scheduleSnapshot(response platformapi.ReadResponse) {
	_, worthwhile := f.replica.Snapshot()
	if !worthwhile || f.replica.Next() < response.Next {
		f.snapshots.disarm()
		return
	}
	f.snapshots.arm()
}

// writeSnapshot appends a snapshot in the background, if one is still due. The
// reader receives its record through the log like any other.
func (f *Follower) writeSnapshot(ctx context.Context) {
	f.snapshots.firesAt = time.Time{}
	snapshot, ok := f.replica.Snapshot()
	if !ok || time.Now().Before(f.snapshots.due()) {
		return
	}
	record, err := change.EncodeSnapshot(snapshot)
	if err != nil {
		f.opts.Logger.Error("encoding a snapshot failed", zap.Error(err))
		return
	}
	go func() {
		if _, err := f.opts.Log.Append(ctx, f.opts.Stream, [][]byte{record}); err != nil {
			f.opts.Logger.Warn("writing a snapshot failed", zap.Error(err))
		}
	}()
}
