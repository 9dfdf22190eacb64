package stored

import (
	"cmp"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Options are the fixed parameters of a Shard.
type Options struct {
	// Retain is how long the state of a job is retained after it has ended.
	Retain time.Duration
	// SnapshotAge is the age of a job's record at which a snapshot replaces it:
	// well below the age at which the log deletes the record.
	SnapshotAge time.Duration
	// Epoch is that of the owner; a later owner has a higher one.
	Epoch int64
}

// Limits and intervals of a shard.
const (
	// maxBatchBytes keeps a record within the log's limit of 256 KiB: an accepted
	// job takes at most 4 KB plus a few hundred bytes for each step.
	maxBatchBytes = 150 << 10
	// maxWaitingEvents bounds the events that wait for the next batch; above it,
	// new jobs are refused.
	maxWaitingEvents = 4000
	// refusedBackoff is how long no batch is sent after one was refused.
	refusedBackoff = 100 * time.Millisecond
	// replaySnapshotDelay is how long after their replay jobs get a snapshot: soon,
	// because the age of their records is not known, but not during the takeover.
	replaySnapshotDelay = 30 * time.Second
	// trimInterval is how often records that are no longer needed are deleted.
	trimInterval = 10 * time.Second
	// confirmTimeout is how long the shard waits for missing reports after a
	// holder has said that a job has ended; then it offers the job again.
	confirmTimeout = 4 * time.Second
)

// Shard is the state of the jobs in one partition. It is not safe for
// concurrent use.
type Shard struct {
	opts         Options
	now          time.Time
	jobs         map[leased.JobID]*jobState
	cancelled    cancelledIDs
	cancelling   map[leased.JobID]bool   // cancellations that are not stored yet
	reports      map[Ticket][]TaskReport // that wait for the log
	queries      map[Ticket]bool         // that wait until the acceptance of their job is stored or refused
	waiting      []pendingEvent          // for the next batch
	inFlight     []pendingEvent          // the batch that is being stored
	sequence     uint64
	backoffUntil time.Time
	trimmedTo    int64
	nextTrim     time.Time
	out          Actions
}

// pendingEvent is an event that is not stored yet.
type pendingEvent struct {
	event   Event
	tickets []Ticket // requests that wait for the event, and possibly for others
	from    uint64   // incarnation of the entry that reported it
	size    int
}

// New returns a shard without jobs.
func New(opts Options) *Shard {
	return &Shard{
		opts: opts, jobs: make(map[leased.JobID]*jobState), cancelled: newCancelledIDs(), cancelling: make(map[leased.JobID]bool),
		reports: make(map[Ticket][]TaskReport), queries: make(map[Ticket]bool),
	}
}

// Step applies one input at the given time, which must not decrease, and
// returns the resulting actions. They are valid until the next Step.
func (s *Shard) Step(now time.Time, in Input) *Actions {
	s.now = now
	s.out.reset()
	switch in := in.(type) {
	case *Accept:
		s.handleAccept(in)
	case *Cancel:
		s.handleCancel(in)
	case *Query:
		s.handleQuery(in)
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

// State returns the state of a job as callers see it. An end that is reported and not
// stored yet does not count: the next owner may not learn of it.
func (s *Shard) State(id leased.JobID) State {
	if j := s.storedJob(id); j != nil {
		return j.state
	}
	return Unknown
}

// storedJob returns a job that is on the log, or nil. A job whose acceptance waits for the log
// has no runs yet.
func (s *Shard) storedJob(id leased.JobID) *jobState {
	if j := s.jobs[id]; j != nil && j.stored {
		return j
	}
	return nil
}

// Pending returns the number of jobs in each queue of which no task has started.
func (s *Shard) Pending() map[string]int {
	counts := make(map[string]int)
	for _, j := range s.jobs {
		if j.stored && j.state == Queued {
			counts[j.spec.Queue]++
		}
	}
	return counts
}

// Len returns the number of known jobs, and how many of them have not ended.
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
	if s.isCancelled(in.Job.ID) {
		s.reply(in.Ticket, AlreadyCancelled)
		return
	}
	if len(s.waiting) >= maxWaitingEvents || s.now.Before(s.backoffUntil) {
		s.reply(in.Ticket, Refused)
		return
	}
	spec := in.Job
	s.jobs[spec.ID] = newJobState(&spec, s.now)
	s.enqueue(Event{Kind: JobAccepted, Job: spec.ID, Spec: &spec}, in.Ticket, 0)
}

// handleQuery answers with the state of a job. While its acceptance is not on the log, neither
// "there is no such job" nor a state is true: the answer waits until it is stored or refused.
func (s *Shard) handleQuery(in *Query) {
	if j := s.jobs[in.Job]; j != nil && !j.stored {
		s.queries[in.Ticket] = true
		s.joinPending(&Event{Kind: JobAccepted, Job: in.Job}, in.Ticket)
		return
	}
	s.answerQuery(in.Ticket, in.Job)
}

// answerQuery answers a query about a job that is known, or of which no acceptance waits.
func (s *Shard) answerQuery(t Ticket, id leased.JobID) {
	state := s.State(id)
	s.out.Replies = append(s.out.Replies, Reply{Ticket: t, Result: Stored, State: state, Unconfirmed: state == Unknown})
}

// handleOutcome handles the end of an offer. Which tasks are done is known from
// reports only. A job whose holder was lost is offered again.
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

// offer offers a job to the next holder, unless it ends as soon as an event is stored: its
// cancellation, or the end of a run with which one of its tasks has used up its attempts.
func (s *Shard) offer(j *jobState) {
	j.attempt++
	j.confirmBy = time.Time{}
	if j.usedUp() || s.cancelling[j.id] {
		return
	}
	job := j.jobToOffer(s.now)
	job.Offer = s.offerOf(j)
	s.out.Offers = append(s.out.Offers, Offer{Attempt: j.attempt, Job: job})
}

func (s *Shard) reply(t Ticket, r Result) {
	if t != 0 {
		s.out.Replies = append(s.out.Replies, Reply{Ticket: t, Result: r})
	}
}

func (s *Shard) handleTick() {
	s.cancelled.expire(s.now, s.opts.Retain)
	var due []*jobState
	for id, j := range s.jobs {
		switch {
		case j.state.Ended() && s.now.Sub(j.endedAt) > s.opts.Retain:
			delete(s.jobs, id)
		case s.snapshotDue(j) || s.confirmationOverdue(j):
			due = append(due, j)
		}
	}
	// In a fixed order, so that the same inputs cause the same actions.
	slices.SortFunc(due, func(a, b *jobState) int { return cmp.Compare(a.id, b.id) })
	for _, j := range due {
		if s.snapshotDue(j) {
			s.writeSnapshot(j)
			continue
		}
		j.mayHaveStarted = true
		s.offer(j)
	}
	s.trim()
}

func (s *Shard) snapshotDue(j *jobState) bool {
	return j.stored && !j.snapshotPending && s.now.Sub(j.writtenAt) > s.opts.SnapshotAge
}

func (s *Shard) confirmationOverdue(j *jobState) bool {
	return !j.confirmBy.IsZero() && s.now.After(j.confirmBy)
}

// writeSnapshot writes the whole state of a job before the log deletes its
// records.
func (s *Shard) writeSnapshot(j *jobState) {
	if s.hasPending(j.id) {
		return // the snapshot would replace the pending event without containing it
	}
	j.snapshotPending = true
	for _, event := range j.snapshotEvents() {
		s.enqueue(event, 0, 0)
	}
}

// trim deletes the records before the oldest one that a job or a cancelled ID needs.
func (s *Shard) trim() {
	if s.now.Before(s.nextTrim) {
		return
	}
	s.nextTrim = s.now.Add(trimInterval)
	oldest := s.cancelled.oldestOffset()
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
