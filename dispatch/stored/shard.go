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
	// maxBatchBytes keeps a record within the log's bound of 256 KiB: an accepted job
	// takes 4 KB and some hundred bytes a step at most.
	maxBatchBytes = 150 << 10
	// maxWaitingEvents bounds the events that wait for their batch; beyond, new jobs
	// are refused.
	maxWaitingEvents = 4000
	// refusedPause is how long no batch is sent after one was refused.
	refusedPause = 100 * time.Millisecond
	// replayedAge is what is assumed of the age of records that were read: they
	// are written again soon, but not all in the rush of a takeover.
	replayedAge = 30 * time.Second
	// trimInterval is how often records that are needed no more are deleted.
	trimInterval = 10 * time.Second
	// confirmTimeout is how long after a holder said that a job has ended its
	// reports may still come; then the job is offered again.
	confirmTimeout = 4 * time.Second
)

// Shard owns the jobs of one partition. It is not safe for concurrent use.
type Shard struct {
	opts        Options
	now         time.Time
	jobs        map[leased.JobID]*jobState
	waiting     []pendingEvent // for the next batch
	inFlight    []pendingEvent // the batch under way
	sequence    uint64
	pausedUntil time.Time
	trimmedTo   int64
	nextTrim    time.Time
	out         Actions
}

// pendingEvent is an event that is not stored yet.
type pendingEvent struct {
	event   Event
	tickets []Ticket // answered once it is stored, if it is the last they wait for
	from    uint64   // incarnation of the reporter
	size    int
}

// New returns a shard without jobs.
func New(opts Options) *Shard {
	return &Shard{opts: opts, jobs: make(map[leased.JobID]*jobState)}
}

// Step applies one input at the given time, which must not go back, and
// returns what is to be done. The result is valid until the next Step.
func (s *Shard) Step(now time.Time, in Input) *Actions {
	s.now = now
	s.out.reset()
	switch in := in.(type) {
	case *Accept:
		s.handleAccept(in)
	case *Cancel:
		s.handleCancel(in)
	case *Report:
		s.handleReport(in)
	case *Outcome:
		s.handleOutcome(in)
	case *Appended:
		s.handleAppended(in)
	case *AppendRefused:
		s.handleAppendRefused(in)
	case *Tick:
		s.handleTick()
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

func (s *Shard) handleAccept(in *Accept) {
	if j := s.jobs[in.Job.ID]; j != nil {
		if j.stored {
			s.reply(in.Ticket, Stored)
			return
		}
		s.joinPending(&Event{Kind: JobAccepted, Job: in.Job.ID}, in.Ticket)
		return
	}
	if len(s.waiting) >= maxWaitingEvents || s.now.Before(s.pausedUntil) {
		s.reply(in.Ticket, Refused)
		return
	}
	spec := in.Job
	s.jobs[spec.ID] = newJobState(&spec, s.now)
	s.enqueue(Event{Kind: JobAccepted, Job: spec.ID, Spec: &spec}, in.Ticket, 0)
}

func (s *Shard) handleCancel(in *Cancel) {
	j := s.jobs[in.Job]
	switch {
	case j == nil || !j.stored:
		s.reply(in.Ticket, NoSuchJob)
	case j.state.Ended():
		s.reply(in.Ticket, Stored)
	default:
		event := Event{Kind: JobCancelled, Job: in.Job}
		if !s.joinPending(&event, in.Ticket) {
			s.enqueue(event, in.Ticket, 0)
		}
	}
}

// handleOutcome takes the end of an offer. What tasks have done is known from
// reports; a holder that was lost is replaced.
func (s *Shard) handleOutcome(in *Outcome) {
	j := s.jobs[in.Job]
	if j == nil || j.state.Ended() || in.Attempt != j.attempt {
		return
	}
	j.mayHaveStarted = j.mayHaveStarted || in.Begun
	switch {
	case in.Lost:
		s.offer(j)
	case in.Verdict == leased.Failed:
		event := Event{Kind: JobFailed, Job: in.Job}
		if !s.joinPending(&event, 0) {
			s.enqueue(event, 0, 0)
		}
	default:
		j.confirmBy = s.now.Add(confirmTimeout)
	}
}

// offer hands a job to the next holder.
func (s *Shard) offer(j *jobState) {
	j.attempt++
	j.confirmBy = time.Time{}
	s.out.Offers = append(s.out.Offers, Offer{Attempt: j.attempt, Job: j.jobToOffer(s.now)})
}

func (s *Shard) reply(t Ticket, r Result) {
	if t != 0 {
		s.out.Replies = append(s.out.Replies, Reply{t, r})
	}
}

func (s *Shard) handleTick() {
	for id, j := range s.jobs {
		switch {
		case j.state.Ended() && s.now.Sub(j.endedAt) > s.opts.Retain:
			delete(s.jobs, id)
		case j.stored && !j.snapshotPending && s.now.Sub(j.writtenAt) > s.opts.SnapshotAge:
			s.writeSnapshot(j)
		case !j.confirmBy.IsZero() && s.now.After(j.confirmBy):
			j.mayHaveStarted = true
			s.offer(j)
		}
	}
	s.trim()
}

// writeSnapshot writes all that is known of a job once more, before the log drops
// its records.
func (s *Shard) writeSnapshot(j *jobState) {
	if s.hasPending(j.id) {
		return // a later event must not stand before the record that replaces it
	}
	j.snapshotPending = true
	event := Event{Kind: JobSnapshot, Job: j.id, State: j.state}
	if !j.state.Ended() {
		event.Spec = j.spec
		event.Progress = j.progress(true)
	}
	s.enqueue(event, 0, 0)
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
	if oldest > s.trimmedTo {
		s.trimmedTo = oldest
		s.out.Trims = append(s.out.Trims, oldest)
	}
}
