package stored

import (
	"time"

	"lovagespread.example/dispatch/leased"
)

// Options are the fixed parameters of a Shard.
type Options struct {
	// Retain is how long an ended job is known.
	Retain time.Duration
	// SnapshotAge is the age at which a job's record is written again: well below
	// the age at which the log drops it.
	SnapshotAge time.Duration
}

// Bounds of batches.
const (
	// maxBatch keeps a record within the log's bound of 256 KiB: an accepted job
	// takes 4 KB and some hundred bytes a step at most.
	maxBatch = 150 << 10
	// maxWaiting bounds the events that wait for their batch; beyond, new jobs
	// are refused.
	maxWaiting = 4000
	// refusedPause is how long no batch is sent after one was refused.
	refusedPause = 100 * time.Millisecond
	// loadedAge is what is assumed of the age of records that were read: they
	// are written again soon, but not all in the rush of a takeover.
	loadedAge = 30 * time.Second
	// trimInterval is how often records that are needed no more are deleted.
	trimInterval = 10 * time.Second
	// confirmTime is how long after a holder said that a job has ended its
	// reports may still come; then the job is offered again.
	confirmTime = 4 * time.Second
)

// Shard owns the jobs of one partition. It is not safe for concurrent use.
type Shard struct {
	opts     Options
	now      time.Time
	jobs     map[leased.JobID]*entry
	waiting  []pending // for the next batch
	flight   []pending // the batch under way
	sequence uint64
	pauseTo  time.Time
	trimmed  int64
	nextTrim time.Time
	out      Actions
}

// pending is an event that is not stored yet.
type pending struct {
	event   Event
	replies []Ticket // answered once it is stored, if it is the last they wait for
	from    uint64   // incarnation of the reporter
	size    int
}

// New returns a shard without jobs.
func New(opts Options) *Shard {
	return &Shard{opts: opts, jobs: make(map[leased.JobID]*entry)}
}

// Step applies one input at the given time, which must not go back, and
// returns what is to be done. The result is valid until the next Step.
func (s *Shard) Step(now time.Time, in Input) *Actions {
	s.now = now
	s.out.reset()
	switch in := in.(type) {
	case *Accept:
		s.accept(in)
	case *Cancel:
		s.cancel(in)
	case *Report:
		s.report(in)
	case *Outcome:
		s.outcome(in)
	case *Appended:
		s.appended(in)
	case *AppendRefused:
		s.refused(in)
	case *Tick:
		s.tick()
	}
	s.flush()
	return &s.out
}

// State returns what a caller is told of a job.
func (s *Shard) State(id leased.JobID) State {
	j := s.jobs[id]
	switch {
	case j == nil || !j.stored:
		return Unknown
	case !j.state.Ended() && j.unreported == 0:
		return Completed // until that is stored, the endpoints list it
	}
	return j.state
}

// Pending counts, by queue, the jobs of which no task has started.
func (s *Shard) Pending() map[string]int {
	counts := make(map[string]int)
	for _, j := range s.jobs {
		if j.stored && j.state == Queued {
			counts[j.spec.Queue]++
		}
	}
	return counts
}

// Len returns how many jobs are known, and how many of them have not ended.
func (s *Shard) Len() (known, open int) {
	for _, j := range s.jobs {
		if !j.state.Ended() {
			open++
		}
	}
	return len(s.jobs), open
}

func (s *Shard) accept(in *Accept) {
	if j := s.jobs[in.Job.ID]; j != nil {
		if j.stored {
			s.reply(in.Ticket, Stored)
			return
		}
		s.join(&Event{Kind: JobAccepted, Job: in.Job.ID}, in.Ticket)
		return
	}
	if len(s.waiting) >= maxWaiting || s.now.Before(s.pauseTo) {
		s.reply(in.Ticket, Refused)
		return
	}
	spec := in.Job
	s.jobs[spec.ID] = newEntry(&spec, s.now)
	s.add(Event{Kind: JobAccepted, Job: spec.ID, Spec: &spec}, in.Ticket, 0)
}

func (s *Shard) cancel(in *Cancel) {
	j := s.jobs[in.Job]
	switch {
	case j == nil || !j.stored:
		s.reply(in.Ticket, NoSuchJob)
	case j.state.Ended():
		s.reply(in.Ticket, Stored)
	default:
		event := Event{Kind: JobCancelled, Job: in.Job}
		if !s.join(&event, in.Ticket) {
			s.add(event, in.Ticket, 0)
		}
	}
}

// outcome takes the end of an offer. What tasks have done is known from
// reports; a holder that was lost is replaced.
func (s *Shard) outcome(in *Outcome) {
	j := s.jobs[in.Job]
	if j == nil || j.state.Ended() || in.Attempt != j.attempt {
		return
	}
	j.begun = j.begun || in.Begun
	switch {
	case in.Lost:
		s.offer(j)
	case in.Verdict == leased.Failed:
		event := Event{Kind: JobFailed, Job: in.Job}
		if !s.join(&event, 0) {
			s.add(event, 0, 0)
		}
	default:
		j.confirmBy = s.now.Add(confirmTime)
	}
}

// offer hands a job to the next holder.
func (s *Shard) offer(j *entry) {
	j.attempt++
	j.confirmBy = time.Time{}
	s.out.Offers = append(s.out.Offers, Offer{Attempt: j.attempt, Job: j.offered(s.now)})
}

func (s *Shard) reply(t Ticket, r Result) {
	if t != 0 {
		s.out.Replies = append(s.out.Replies, Reply{t, r})
	}
}

func (s *Shard) tick() {
	for id, j := range s.jobs {
		switch {
		case j.state.Ended() && s.now.Sub(j.endedAt) > s.opts.Retain:
			delete(s.jobs, id)
		case j.stored && !j.rewriting && s.now.Sub(j.writtenAt) > s.opts.SnapshotAge:
			s.rewrite(j)
		case !j.confirmBy.IsZero() && s.now.After(j.confirmBy):
			j.begun = true
			s.offer(j)
		}
	}
	s.trim()
}

// rewrite writes all that is known of a job once more, before the log drops
// its records.
func (s *Shard) rewrite(j *entry) {
	if s.hasPending(j.id) {
		return // a later event must not stand before the record that replaces it
	}
	j.rewriting = true
	event := Event{Kind: JobSnapshot, Job: j.id, State: j.state}
	if !j.state.Ended() {
		event.Spec = j.spec
		event.Progress = j.progress(true)
	}
	s.add(event, 0, 0)
}

// trim deletes the records before the oldest that some job needs.
func (s *Shard) trim() {
	if s.now.Before(s.nextTrim) {
		return
	}
	s.nextTrim = s.now.Add(trimInterval)
	oldest := int64(-1)
	for _, j := range s.jobs {
		if j.stored && (oldest < 0 || j.offset < oldest) {
			oldest = j.offset
		}
	}
	if oldest > s.trimmed {
		s.trimmed = oldest
		s.out.Trims = append(s.out.Trims, oldest)
	}
}
