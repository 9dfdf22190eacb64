package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/relay"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// server implements the service for other entries.
type server struct {
	loop       *Loop
	peers      *peers
	storedJobs *storedJobs // nil: stored jobs are not served
	// endpointJournal holds nil until the process follows the endpoints.
	endpointJournal *atomic.Pointer[relay.Journal]
}

var _ fleetpb.Fleet = (*server)(nil)

// verdicts are the verdicts on the wire, by leased.Verdict.
var verdicts = [...]fleetpb.Verdict{fleetpb.Verdict_COMPLETED, fleetpb.Verdict_FAILED, fleetpb.Verdict_REJECTED, fleetpb.Verdict_ABANDONED, fleetpb.Verdict_NOT_HOLDER}

// Submit implements fleetpb.Fleet.
func (s *server) Submit(ctx context.Context, r *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	latest := s.loop.Latest()
	if latest.Stopping || !holdsAny(latest) {
		return &fleetpb.SubmitResponse{Verdict: fleetpb.Verdict_NOT_HOLDER}, nil
	}
	job := jobFromPB(r)
	if err := job.Validate(); err != nil {
		return nil, s.rejectMalformed(err)
	}
	c, err := s.admit(ctx, r, callerCall{})
	if err != nil {
		return nil, err
	}
	defer s.peers.inbound.end(c)
	s.peers.log.Info("submitted", zap.String("job", r.Id), zap.Uint64("from", r.From), zap.Uint64("epoch", r.Epoch), zap.Uint64("call", r.Call),
		zap.Bool("resubmitted", r.Resubmitted), zap.Bool("only_holder", r.OnlyHolder))
	answer, ended := s.loop.runLocally(c.ctx, job, originOf(c, r))
	if !ended {
		return nil, c.ctx.Err()
	}
	return answerOf(&answer, r.Movable), nil
}

// callRequest is a request of a call that its sender can withdraw.
type callRequest interface {
	GetFrom() uint64 // incarnation of the sender
	GetEpoch() uint64
	GetCall() uint64
	GetSentUs() uint64
}

func originOf(c *call, r callRequest) origin {
	return origin{caller: c.entry, call: leased.CallID{Epoch: c.epoch, Number: c.number}, sentUs: r.GetSentUs(), arrivedAt: c.began}
}

// admit tracks a call of another entry. It returns an error if that entry has
// given up the call, whose request was late, or if the caller's entry has given up the
// call that it follows from.
func (s *server) admit(ctx context.Context, r callRequest, cause callerCall) (*call, error) {
	from, epoch, number := r.GetFrom(), r.GetEpoch(), r.GetCall()
	if sentUs := r.GetSentUs(); sentUs > maxSentMicroseconds {
		return nil, s.rejectMalformed(errors.Errorf("sent when the boot clock showed %d us, the highest is %d", sentUs, maxSentMicroseconds))
	}
	if epoch > maxEpoch {
		return nil, s.rejectMalformed(errors.Errorf("epoch %d of calls, the highest is %d", epoch, uint64(maxEpoch)))
	}
	if number > maxCallNumber {
		return nil, s.rejectMalformed(errors.Errorf("call %d, the highest number is %d", number, uint64(maxCallNumber)))
	}
	if cause.epoch > maxEpoch || cause.number > maxCallNumber {
		return nil, s.rejectMalformed(errors.Errorf("caused by call %d of epoch %d, the highest are %d and %d", cause.number, cause.epoch, uint64(maxCallNumber), uint64(maxEpoch)))
	}
	c, err := s.peers.inbound.admitCausedBy(ctx, cells.Incarnation(from), epoch, number, cause)
	if err != nil {
		s.loop.metrics.withdrawnCalls.WithLabelValues("refused").Inc()
		s.peers.log.Warn("withdrawn_call_refused", zap.Uint64("incarnation", from), zap.Uint64("epoch", epoch), zap.Uint64("call", number))
		if errors.Is(err, errCauseWithdrawn) {
			return nil, err
		}
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return c, nil
}

// rejectMalformed logs a malformed request of another entry and returns the error
// that answers it.
func (s *server) rejectMalformed(err error) error {
	s.peers.log.Warn("peer_request_malformed", zap.Error(err))
	return twirp.InvalidArgument.Error(err.Error())
}

// holdsAny reports whether this entry holds at least one cell.
func holdsAny(s *Snapshot) bool {
	for domain, n := range s.CellCounts {
		for _, cell := range cells.All(domain, n) {
			if s.View.Holds(cell) {
				return true
			}
		}
	}
	return false
}

// Lend implements fleetpb.Fleet.
func (s *server) Lend(ctx context.Context, r *fleetpb.LendRequest) (*fleetpb.LendResponse, error) {
	task := delegatedTaskFromPB(r)
	if err := task.Validate(); err != nil {
		return nil, s.rejectMalformed(err)
	}
	c, err := s.admit(ctx, r, callerCall{cells.Incarnation(r.Caller), r.CallerEpoch, r.CallerCall})
	if errors.Is(err, errCauseWithdrawn) {
		return callerWithdrew(), nil
	}
	if err != nil {
		return nil, err
	}
	defer s.peers.inbound.end(c)
	answer, ended := s.loop.runDelegated(c.ctx, task, originOf(c, r))
	s.logDelegated(c.ctx, r, &answer, ended)
	if !ended && errors.Is(context.Cause(c.ctx), errCauseWithdrawn) {
		return callerWithdrew(), nil
	}
	if !ended {
		return nil, c.ctx.Err()
	}
	return delegatedAnswerToPB(&answer), nil
}

// logDelegated logs how a delegated task has ended here, unless there was no room for it.
func (s *server) logDelegated(ctx context.Context, r *fleetpb.LendRequest, answer *leased.DelegatedAnswer, ended bool) {
	if ended && answer.End == leased.EndNoCapacity {
		return
	}
	end := answer.End.String()
	if !ended {
		end = fmt.Sprint(context.Cause(ctx))
	}
	s.peers.log.Info("delegated_ended", zap.String("job", r.Job), zap.Uint32("step", r.StepNumber), zap.Uint32("task", r.Index), zap.Uint32("run", r.Run),
		zap.Bool("adopt", r.Adopt), zap.Uint64("from", r.From), zap.Uint64("epoch", r.Epoch), zap.Uint64("call", r.Call), zap.Uint64("origin", r.Caller),
		zap.Uint64("origin_call", r.CallerCall), zap.String("end", end))
}

// Snapshot implements fleetpb.Fleet.
func (s *server) Snapshot(context.Context, *fleetpb.SnapshotRequest) (*fleetpb.SnapshotResponse, error) {
	latest := s.loop.Latest()
	reply := &fleetpb.SnapshotResponse{}
	if latest.Configuration != nil {
		data, err := json.Marshal(latest.Configuration)
		if err != nil {
			return nil, errors.Wrap(err, "encode the configuration")
		}
		reply.ConfigurationVersion = latest.Configuration.Version
		reply.Configuration = data
	}
	// The receiver refuses the directory as a whole if one endpoint is not valid.
	valid := lo.Filter(latest.Endpoints, func(e leased.Endpoint, _ int) bool { return invalidEndpoint(&e) == "" })
	data, err := json.Marshal(valid)
	if err != nil {
		return nil, errors.Wrap(err, "encode the endpoints")
	}
	reply.Endpoints = data
	if latest.Evacuations != nil {
		if reply.Evacuations, err = json.Marshal(latest.Evacuations); err != nil {
			return nil, errors.Wrap(err, "encode the evacuations")
		}
	}
	return reply, nil
}
