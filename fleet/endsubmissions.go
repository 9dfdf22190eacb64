package fleet

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// endedWait bounds the wait for submissions that were cancelled. They return at once,
// unless the process gets no time.
const endedWait = 100 * time.Millisecond

// EndSubmissions implements fleetpb.Fleet.
func (s *server) EndSubmissions(ctx context.Context, r *fleetpb.EndSubmissionsRequest) (*fleetpb.EndSubmissionsResponse, error) {
	jobs, err := returnedJobsFromPB(r)
	if err != nil {
		return nil, s.rejectMalformed(err)
	}
	if r.To != uint64(s.peers.self) {
		return nil, twirp.FailedPrecondition.Error(errOtherIncarnation.Error())
	}
	reply := &fleetpb.EndSubmissionsResponse{}
	for id, ended := range s.service.endSubmissions(ctx, cells.Incarnation(r.From), jobs) {
		reply.Ended = append(reply.Ended, earlierSubmissionToPB(id, &ended))
	}
	for _, e := range s.loop.recent.since(time.Now().Add(-s.loop.settings.claimsEnd())) {
		reply.Heard = append(reply.Heard, uint64(e.Incarnation))
	}
	return reply, nil
}

// endSubmissions ends the submissions of jobs whose callers have come back to another
// entry, and returns what has become of them. The jobs that are not here are not among
// them.
func (s *Service) endSubmissions(ctx context.Context, by cells.Incarnation, jobs []returnedJob) map[leased.JobID]earlierSubmission {
	s.asked.add(time.Now(), jobs) // before the search: a submission that comes later asks, too
	results := make(map[leased.JobID]earlierSubmission)
	open := s.cancelReturned(jobs, results)
	timeout, cancel := context.WithTimeout(ctx, endedWait)
	defer cancel()
	for id, sub := range open {
		results[id] = s.awaitEnded(timeout, sub)
	}
	for id, ended := range results {
		s.logEnded(id, by, &ended)
	}
	return results
}

// cancelReturned cancels the submissions of jobs and returns them. Submissions that their
// callers have sent later go on, and are among the results.
func (s *Service) cancelReturned(jobs []returnedJob, results map[leased.JobID]earlierSubmission) map[leased.JobID]*submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make(map[leased.JobID]*submission)
	for _, j := range jobs {
		sub := s.running[j.id]
		switch {
		case sub == nil || s.isDuplicate(sub, j):
		case sub.patience < j.patience:
			results[j.id] = earlierSubmission{newer: true, age: time.Since(sub.receivedAt)}
		default:
			sub.cancel()
			open[j.id] = sub
		}
	}
	return open
}

// isDuplicate reports whether a submission is no earlier one of a caller who has come back,
// because it is too recent for that and the caller did not wait for longer. Holders join
// such duplicates.
func (s *Service) isDuplicate(sub *submission, job returnedJob) bool {
	return sub.patience == job.patience && time.Since(sub.receivedAt) < leased.ClaimTime(s.loop.settings.CallerRetry, s.loop.settings.MaxLease)
}

// awaitEnded returns what has become of a cancelled submission. If it has not returned in
// time, any holder may have begun its job.
func (s *Service) awaitEnded(ctx context.Context, sub *submission) earlierSubmission {
	age := time.Since(sub.receivedAt)
	select {
	case <-sub.ended:
	case <-ctx.Done():
		return earlierSubmission{unknownHolders: true, age: age}
	}
	return earlierSubmission{
		answered: sub.outcome.Verdict != leased.Abandoned || s.wasCancelled(sub), outcome: sub.outcome,
		holders: sub.history.lost, unknownHolders: sub.history.unknown, age: age,
	}
}

func (s *Service) logEnded(id leased.JobID, by cells.Incarnation, e *earlierSubmission) {
	result := "ended"
	switch {
	case e.newer:
		result = "newer"
	case e.answered:
		result = "answered"
	}
	s.metrics.endedSubmissions.WithLabelValues(result).Inc()
	s.log.Info("submission_of_returned_caller", zap.String("job", string(id)), zap.Uint64("asked_by", uint64(by)), zap.String("result", result),
		zap.Duration("age_ms", e.age), zap.Int("holders", len(e.holders)), zap.Bool("unknown_holders", e.unknownHolders))
}
