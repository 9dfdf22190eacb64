package stored

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Replay applies the events of a record that was read from the log, in the
// order of their offsets, before the first Step.
func (s *Shard) Replay(now time.Time, offset int64, events []Event) {
	s.now = now
	for i := range events {
		s.apply(&events[i], offset)
	}
}

// Loaded says that the whole log was replayed, and offers what has not ended.
func (s *Shard) Loaded(now time.Time) *Actions {
	s.now = now
	s.out.reset()
	for _, j := range s.jobs {
		if j.state.Ended() {
			continue
		}
		j.begun = true // by the owner before
		s.offer(j)
	}
	slices.SortFunc(s.out.Offers, func(a, b Offer) int {
		if a.Job.ID < b.Job.ID {
			return -1
		}
		return 1
	})
	return &s.out
}

// apply applies a stored event.
func (s *Shard) apply(e *Event, offset int64) {
	j := s.jobs[e.Job]
	switch e.Kind {
	case JobAccepted:
		s.applyAccepted(e, offset)
	case JobRewritten:
		s.applyRewritten(e, offset)
	case TaskEnded:
		if j != nil && !j.state.Ended() && j.taskEnded(e) {
			j.end(j.endState(), s.now)
		}
	case JobCancelled:
		if j != nil && !j.state.Ended() {
			j.end(Cancelled, s.now)
		}
	case JobFailed:
		if j != nil && !j.state.Ended() {
			j.end(Failed, s.now)
		}
	}
}

// writtenBefore is when a record that is read now counts as written.
func (s *Shard) writtenBefore() time.Time { return s.now.Add(loadedAge - s.opts.Rewrite) }

func (s *Shard) applyAccepted(e *Event, offset int64) {
	j := s.jobs[e.Job]
	if j != nil && j.stored {
		return // a repeat
	}
	if j == nil && e.Spec == nil {
		return // nobody knows what to run
	}
	written := s.now
	if j == nil { // replayed
		j = newEntry(e.Spec, s.now)
		s.jobs[e.Job] = j
		written = s.writtenBefore()
	}
	j.stored = true
	j.offset = offset
	j.writtenAt = written
}

func (s *Shard) applyRewritten(e *Event, offset int64) {
	if j := s.jobs[e.Job]; j != nil { // the events before are known
		j.offset = offset
		j.writtenAt = s.now
		j.rewriting = false
		return
	}
	if e.State.Ended() {
		j := &entry{id: e.Job, stored: true, offset: offset, writtenAt: s.writtenBefore()}
		j.end(e.State, s.now)
		s.jobs[e.Job] = j
		return
	}
	if e.Spec == nil {
		return // nobody knows what to run
	}
	j := newEntry(e.Spec, s.now)
	j.stored, j.offset, j.writtenAt = true, offset, s.writtenBefore()
	s.jobs[e.Job] = j
	for i := range e.Progress {
		j.restore(&e.Progress[i])
	}
}

// restore takes the progress of a task from a rewritten record.
func (j *entry) restore(p *leased.TaskProgress) {
	t := j.task(leased.TaskID{Job: j.id, Step: p.Step, Index: p.Index})
	if t == nil {
		return
	}
	t.saved, t.newest = p.Checkpoint, p.LastRun
	for n := range p.Failures {
		t.failed = append(t.failed, -1-n) // their numbers are not kept
	}
	if p.Done && !t.done {
		t.done = true
		j.left--
		j.reportDone(t)
	}
}

// afterwards decides what follows from an event that has just been stored.
func (s *Shard) afterwards(p *pending) {
	j := s.jobs[p.event.Job]
	if j == nil {
		return
	}
	switch p.event.Kind {
	case JobAccepted:
		s.offer(j)
	case JobCancelled, JobFailed:
		s.out.Withdraws = append(s.out.Withdraws, j.id)
	case TaskEnded:
		if j.state.Ended() {
			s.out.Withdraws = append(s.out.Withdraws, j.id)
		}
	}
}

// report takes news of runs. Ends are stored before the report is answered.
func (s *Shard) report(in *Report) {
	waits := false
	for i := range in.Tasks {
		if s.reportOne(in, &in.Tasks[i]) {
			waits = true
		}
	}
	if !waits {
		s.reply(in.Ticket, Stored)
	}
}

// reportOne returns true if the report has to wait for an event to be stored.
func (s *Shard) reportOne(in *Report, r *TaskReport) bool {
	j := s.jobs[r.Task.Job]
	if j == nil || !j.stored || j.state.Ended() {
		return false
	}
	t := j.task(r.Task)
	if t == nil || t.done {
		return false
	}
	t.newest = max(t.newest, r.Run)
	j.state = Running
	if r.Begun || slices.Contains(t.failed, r.Run) {
		return false
	}
	if r.Done && !t.reported {
		j.reportDone(t)
		s.out.Learned = append(s.out.Learned, Learned{Task: r.Task, From: in.From})
	}
	event := Event{Kind: TaskEnded, Job: j.id, Task: r.Task, Run: r.Run, Done: r.Done, Saved: r.Saved}
	if !s.join(&event, in.Ticket) {
		s.add(event, in.Ticket, in.From)
	}
	return true
}
