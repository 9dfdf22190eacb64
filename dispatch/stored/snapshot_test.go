package stored

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

const manyTasks = 9990

// logOf is the log of a shard with the offsets of its records.
type logOf struct {
	t       *testing.T
	records [][]Event
	trimmed int64
}

// store stores the batches of a step, and of those that follow. At most limit records are
// stored; negative: no limit.
func (l *logOf) store(s *Shard, now time.Time, out *Actions, limit int) {
	for len(out.Appends) > 0 && limit != 0 {
		a := out.Appends[0]
		size := 0
		for i := range a.Events {
			size += maxEncodedSize(&a.Events[i])
		}
		if size > maxBatchBytes {
			l.t.Errorf("a record of up to %d bytes, want at most %d", size, maxBatchBytes)
		}
		l.records = append(l.records, a.Events)
		for _, before := range out.Trims {
			l.trimmed = max(l.trimmed, before)
		}
		out = s.Step(now, &Appended{Sequence: a.Sequence, Offset: int64(len(l.records) - 1)})
		limit--
	}
}

// replay returns a shard that has replayed what the log holds.
func (l *logOf) replay(now time.Time) *Shard {
	s := New(testOptions())
	for offset := l.trimmed; offset < int64(len(l.records)); offset++ {
		s.Replay(now, offset, l.records[offset])
	}
	return s
}

// shardWithManyTasks returns a shard with a job of which all tasks but the last one are done,
// and its log.
func shardWithManyTasks(t *testing.T) (*Shard, *logOf) {
	s, l := New(testOptions()), &logOf{t: t}
	l.store(s, start, s.Step(start, &Accept{Ticket: 1, Job: testJob("large", manyTasks)}), -1)
	for index := range manyTasks - 1 {
		report := doneReport(2, "large", index, 17)
		report.Tasks[0].Checkpoint = fmt.Sprintf("checkpoint%08d", index)
		l.store(s, start, s.Step(start, report), -1)
	}
	return s, l
}

func doneTasks(s *Shard, id leased.JobID) int {
	n := 0
	for _, task := range s.jobs[id].tasks {
		if task.done {
			n++
		}
	}
	return n
}

// Guards against a shard that stores nothing any more (review/9): the store refuses the
// snapshot of a job with thousands of tasks, because it is larger than a record may be.
func TestSnapshotOfManyTasksFitsIntoRecords(t *testing.T) {
	s, l := shardWithManyTasks(t)
	late := start.Add(3 * time.Minute)
	l.store(s, late, s.Step(late, &Tick{}), -1)
	l.store(s, late, s.Step(late.Add(time.Minute), &Tick{}), -1)
	l.trimmed = s.jobs["large"].offset
	if l.trimmed < manyTasks-1 {
		t.Fatalf("records from offset %d on are needed, want those of the snapshot only", l.trimmed)
	}
	next := l.replay(late)
	if n := doneTasks(next, "large"); n != manyTasks-1 || next.State("large") != Running {
		t.Errorf("%d tasks are done after a replay of the snapshot, want %d; %v", n, manyTasks-1, next.State("large"))
	}
	l.store(next, late, next.Step(late, doneReport(3, "large", manyTasks-1, 17)), -1)
	if state := next.State("large"); state != Completed {
		t.Errorf("state %v, want completed", state)
	}
}

// Guards against ends that are forgotten because a snapshot counts as stored before its last
// part is: the owner is lost between two parts.
func TestPartOfASnapshotReplacesNothing(t *testing.T) {
	for parts := 1; parts <= 3; parts++ {
		s, l := shardWithManyTasks(t)
		before := len(l.records)
		late := start.Add(3 * time.Minute)
		l.store(s, late, s.Step(late, &Tick{}), parts)
		if stored := len(l.records) - before; stored < parts {
			t.Fatalf("the snapshot has %d records, want more", stored)
		}
		l.trimmed = s.jobs["large"].offset
		if n := doneTasks(l.replay(late), "large"); n != manyTasks-1 {
			t.Errorf("%d tasks are done after %d records of the snapshot, want %d", n, parts, manyTasks-1)
		}
	}
}
