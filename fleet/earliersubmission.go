package fleet

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// returnedJob is a job whose caller may have sent it to another entry before.
type returnedJob struct {
	id leased.JobID
	// patience is how long the caller went on waiting when it sent the job. It falls with
	// each time that the caller sends the job.
	patience time.Duration
}

// earlierSubmission is what an entry says of a submission that it had.
type earlierSubmission struct {
	newer          bool // the caller has sent it later than the one in question; it goes on
	answered       bool // it had its outcome before it was ended
	outcome        Outcome
	holders        []cells.Incarnation // that may have begun the job
	unknownHolders bool                // others may have begun it, too
	age            time.Duration       // since the entry got it
}

// matters reports whether a submission changes what becomes of a job that is under way
// already: a holder may have begun it, or its caller waits no longer.
func (s *earlierSubmission) matters() bool {
	return s.newer || s.answered || s.unknownHolders || len(s.holders) > 0
}

// Limits of the messages about returned jobs.
const (
	maxReturnedJobs  = 2048 // in one message
	maxJobIDBytes    = 64
	maxHoldersOfJob  = 64   // in a message; more are unknown holders
	maxHeardEntries  = 4096 // in a message
	maxOutcomeReason = 1000 // bytes
)

// InvalidReturnError reports a message about returned jobs that no supported version
// sends.
type InvalidReturnError struct{ Reason string }

func (e *InvalidReturnError) Error() string {
	return "the message about returned jobs is not valid: " + e.Reason
}

func returnedJobsToPB(jobs []returnedJob, from, to cells.Incarnation) *fleetpb.EndSubmissionsRequest {
	r := &fleetpb.EndSubmissionsRequest{From: uint64(from), To: uint64(to)}
	for _, j := range jobs {
		r.Jobs = append(r.Jobs, &fleetpb.ReturnedJob{Id: string(j.id), PatienceUs: j.patience.Microseconds()})
	}
	return r
}

// returnedJobsFromPB returns an *InvalidReturnError if any of the jobs is not valid.
func returnedJobsFromPB(r *fleetpb.EndSubmissionsRequest) ([]returnedJob, error) {
	if r.From == 0 || len(r.Jobs) > maxReturnedJobs {
		return nil, &InvalidReturnError{"its sender is missing, or it names too many jobs"}
	}
	jobs := make([]returnedJob, len(r.Jobs))
	for i, j := range r.Jobs {
		if !isValidReturn(j) {
			return nil, &InvalidReturnError{"an ID or a time is out of range"}
		}
		jobs[i] = returnedJob{leased.JobID(j.Id), microseconds(j.PatienceUs)}
	}
	return jobs, nil
}

func isValidReturn(j *fleetpb.ReturnedJob) bool {
	return j != nil && j.Id != "" && len(j.Id) <= maxJobIDBytes && j.PatienceUs >= 0 && j.PatienceUs <= leased.MaxJobTime.Microseconds()
}

func earlierSubmissionToPB(id leased.JobID, s *earlierSubmission) *fleetpb.EndedSubmission {
	p := &fleetpb.EndedSubmission{
		Id: string(id), Newer: s.newer, Answered: s.answered, UnknownHolders: s.unknownHolders || len(s.holders) > maxHoldersOfJob,
		AgeUs: s.age.Microseconds(),
	}
	if s.answered {
		reason := s.outcome.Reason
		p.Verdict, p.Reason = verdicts[s.outcome.Verdict], reason[:min(len(reason), maxOutcomeReason)]
		p.RetryAfterUs = s.outcome.RetryAfter.Microseconds()
	}
	for _, h := range s.holders[:min(len(s.holders), maxHoldersOfJob)] {
		p.Holders = append(p.Holders, uint64(h))
	}
	return p
}

// earlierSubmissionsFromPB returns an *InvalidReturnError if any part of an answer is not
// valid, also if it names a job that is not among those in question.
func earlierSubmissionsFromPB(r *fleetpb.EndSubmissionsResponse, asked map[leased.JobID]*returnQuestion) (map[leased.JobID]earlierSubmission, error) {
	if len(r.Ended) > len(asked) || len(r.Heard) > maxHeardEntries {
		return nil, &InvalidReturnError{"it names too many submissions or entries"}
	}
	ended := make(map[leased.JobID]earlierSubmission, len(r.Ended))
	for _, p := range r.Ended {
		if p == nil || asked[leased.JobID(p.Id)] == nil {
			return nil, &InvalidReturnError{"it names a job that was not asked for"}
		}
		s, err := earlierSubmissionFromPB(p)
		if err != nil {
			return nil, err
		}
		ended[leased.JobID(p.Id)] = s
	}
	return ended, nil
}

func earlierSubmissionFromPB(p *fleetpb.EndedSubmission) (earlierSubmission, error) {
	switch {
	case p.Verdict < fleetpb.Verdict_COMPLETED || p.Verdict > fleetpb.Verdict_ABANDONED:
		return earlierSubmission{}, &InvalidReturnError{"an outcome is unknown"}
	case len(p.Reason) > maxOutcomeReason || len(p.Holders) > maxHoldersOfJob || slices.Contains(p.Holders, 0):
		return earlierSubmission{}, &InvalidReturnError{"a reason is too long, or holders are not valid"}
	}
	s := earlierSubmission{
		newer: p.Newer, answered: p.Answered, unknownHolders: p.UnknownHolders, age: min(max(0, microseconds(p.AgeUs)), leased.MaxJobTime),
		outcome: Outcome{Verdict: leased.Verdict(p.Verdict), Reason: p.Reason, RetryAfter: min(max(0, microseconds(p.RetryAfterUs)), maxRetryAfter)},
	}
	for _, h := range p.Holders {
		s.holders = append(s.holders, cells.Incarnation(h))
	}
	return s, nil
}

// errOtherIncarnation is the error of a request that was meant for an earlier incarnation
// of this entry, whose submissions this one does not know.
var errOtherIncarnation = errors.New("the request is for another incarnation of this entry")
