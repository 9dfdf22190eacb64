package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice/platformapi"
)

// snapshotTimer decides when a snapshot is due: when the last one is old, or
// when many records have followed it.
type snapshotTimer struct {
	every   time.Duration
	records int
	spread  time.Duration
	rand    *rand.Rand

	timer   *time.Timer
	armed   time.Time // when the timer fires
	since   time.Time // of the last snapshot, or of the first record if there is none
	pending int       // records after the last snapshot
}

func newSnapshotTimer(opts Options, random *rand.Rand) snapshotTimer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return snapshotTimer{
		every:   opts.SnapshotInterval,
		records: opts.SnapshotRecords,
		spread:  opts.SnapshotJitter,
		rand:    random,
		timer:   timer,
	}
}

// seen notes a record of the log. A live record has just been written: its
// age does not depend on how far the clocks of platform and VM differ.
func (s *snapshotTimer) seen(record platformapi.Record, kind change.VerdictKind, live bool) {
	s.pending++
	if kind == change.Recorded {
		s.pending = 0
	}
	if kind == change.Recorded || s.since.IsZero() {
		s.since = writtenAt(record, live)
	}
}

func writtenAt(record platformapi.Record, live bool) time.Time {
	now := time.Now()
	if live || record.Time.After(now) {
		return now
	}
	return record.Time
}

// due returns when the next snapshot has to be written at the latest.
func (s *snapshotTimer) due() time.Time {
	if s.pending >= s.records {
		return time.Now()
	}
	return s.since.Add(s.every)
}

// arm sets the timer to the due time and a random delay.
func (s *snapshotTimer) arm() {
	due := s.due()
	if !s.armed.IsZero() && !s.armed.Before(due) && s.armed.Before(due.Add(s.spread)) {
		return
	}
	delay := time.Duration(s.rand.Int64N(int64(s.spread)))
	s.armed = due.Add(delay)
	s.timer.Reset(max(time.Until(s.armed), delay))
}

func (s *snapshotTimer) disarm() {
	s.armed = time.Time{}
	s.timer.Stop()
}

// scheduleSnapshot arms the timer at the end of the log; before it, a newer
// snapshot may follow.
func (f *Follower) scheduleSnapshot(response platformapi.ReadResponse) {
	_, worthwhile := f.replica.Snapshot()
	if !worthwhile || f.replica.Next() < response.Next {
		f.snapshots.disarm()
		return
	}
	f.snapshots.arm()
}

// writeSnapshot appends a snapshot in the background. Its record comes back
// through the log like any other.
func (f *Follower) writeSnapshot(ctx context.Context) {
	f.snapshots.armed = time.Time{}
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
