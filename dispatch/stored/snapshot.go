package stored

import (
	"time"

	"lovagespread.example/dispatch/leased"
)

// maxSnapshotBytes bounds an event of a snapshot: the store refuses records that are larger
// than its limit, and a job may have thousands of tasks with checkpoints.
const maxSnapshotBytes = 64 << 10

// snapshot is the state of the snapshot of a job that is being stored or replayed.
type snapshot struct {
	offset    int64 // of the record with its JobSnapshot
	partsLeft int   // that are not stored or replayed yet
	restores  bool  // the job is restored from it; false: the job's earlier events are known
}

// snapshotEvents returns the whole state of a job as a JobSnapshot, followed by as many
// JobSnapshotParts as keep each event within maxSnapshotBytes.
func (j *jobState) snapshotEvents() []Event {
	first := Event{Kind: JobSnapshot, Job: j.id, State: j.state}
	progress := j.supersededProgress()
	if !j.state.Ended() {
		first.Spec, progress = j.spec, j.progress(true)
	}
	events := []Event{first}
	size := maxEncodedSize(&first)
	for i := range progress {
		more := progressSize(&progress[i])
		if size+more > maxSnapshotBytes {
			events = append(events, Event{Kind: JobSnapshotPart, Job: j.id})
			size = maxEncodedSize(&events[len(events)-1])
		}
		last := &events[len(events)-1]
		last.Progress = append(last.Progress, progress[i])
		size += more
	}
	events[0].Parts = len(events) - 1
	return events
}

// applySnapshotPart applies a part of a snapshot that is stored or replayed. A part without
// its JobSnapshot, which the log has deleted, tells nothing.
func (j *jobState) applySnapshotPart(e *Event, now time.Time) {
	if j.snapshot.partsLeft == 0 {
		return
	}
	j.snapshot.partsLeft--
	if !j.snapshot.restores {
		j.snapshotStored(now)
		return
	}
	if j.state.Ended() {
		j.restoreSuperseded(e.Progress)
		return
	}
	for i := range e.Progress {
		j.restoreProgress(&e.Progress[i])
	}
}

// snapshotStored records that the job can be restored from its snapshot, once all parts are
// stored: its earlier events are not needed any more.
func (j *jobState) snapshotStored(now time.Time) {
	if j.snapshot.partsLeft > 0 {
		return
	}
	j.offset = j.snapshot.offset
	j.writtenAt = now
	j.snapshotPending = false
}

// progressSize returns an upper bound of the size of the progress of a task on the log.
func progressSize(p *leased.TaskProgress) int {
	const perTask, perRun = 32, 40
	size := perTask + len(p.Checkpoint)
	for _, run := range p.Counted {
		size += perRun + len(run.ID.Endpoint)
	}
	return size
}
