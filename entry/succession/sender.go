package succession

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/handover"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/peerclient"
	"lovagespread.example/entry/wait"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Intervals of a handover.
const (
	retryInterval = 200 * time.Millisecond // between attempts to reach the successor
	pollInterval  = 10 * time.Millisecond  // between checks for status updates
)

// maxUpdates is the maximum number of status updates in one message.
const maxUpdates = 500

// Peers calls other entries.
type Peers interface {
	HandOver(ctx context.Context, address string, r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error)
}

// Options are the dependencies of a Sender.
type Options struct {
	Self  jobid.Incarnation
	Loop  *control.Loop
	Codec handover.Codec
	Peers Peers
	// CountMessage counts a message of the given kind.
	CountMessage func(kind string)
	Log          *zap.Logger
}

// Sender hands over the jobs of this entry at a planned stop.
type Sender struct{ opts Options }

// NewSender returns a sender.
func NewSender(opts Options) *Sender { return &Sender{opts: opts} }

// HandOver hands all jobs over to a live entry and returns that entry. It tries
// the live entries one after the other. It returns false if this entry still
// answers for its jobs, or if it can never be known which entry does.
func (s *Sender) HandOver(ctx context.Context) (membership.Entry, bool) {
	tried := make(map[membership.Incarnation]bool)
	for ctx.Err() == nil {
		to, ok := s.chooseSuccessor(tried)
		if !ok {
			return membership.Entry{}, false
		}
		tried[to.Incarnation] = true
		if s.handOverTo(ctx, to) {
			s.opts.Log.Info("jobs handed over", zap.String("successor", to.Name))
			return to, true
		}
		s.opts.Log.Warn("hand-over failed", zap.String("successor", to.Name))
	}
	return membership.Entry{}, false
}

// chooseSuccessor returns the successor in the membership view, or else any live
// entry that was not tried.
func (s *Sender) chooseSuccessor(tried map[membership.Incarnation]bool) (membership.Entry, bool) {
	view := s.opts.Loop.Snapshot().View
	if first := view.Successor; first.Incarnation != 0 && !tried[first.Incarnation] {
		return first, true
	}
	for _, e := range view.Others {
		if e.State == membership.Live && !tried[e.Incarnation] {
			return e, true
		}
	}
	return membership.Entry{}, false
}

func (s *Sender) handOverTo(ctx context.Context, to membership.Entry) bool {
	incarnation := jobid.Incarnation(to.Incarnation)
	step, err := s.opts.Loop.HandOver(incarnation)
	var latest *dispatch.Transfer
	for err == nil && step.Transfer != nil {
		first := step.Transfer != latest
		latest = step.Transfer
		step, err = s.opts.Loop.ReportTransfer(incarnation, s.send(ctx, to, step, first))
	}
	return err == nil && step.HandedOver
}

// send sends one part. first states that the part was never sent before: only
// then does a failed delivery prove that the successor does not have it.
func (s *Sender) send(ctx context.Context, to membership.Entry, step control.HandoverStep, first bool) dispatch.TransferOutcome {
	request, err := s.opts.Codec.Encode(step.Transfer, step.Submissions)
	if err != nil {
		s.opts.Log.Error("hand-over cannot be encoded", zap.Error(err))
		return undeliverable(first)
	}
	s.opts.CountMessage(metrics.KindHandover)
	response, err := s.opts.Peers.HandOver(ctx, to.Address, request)
	if err == nil {
		return s.outcomeOf(response, first)
	}
	var undelivered *peerclient.NotDeliveredError
	if errors.As(err, &undelivered) && first {
		return dispatch.TransferRefused
	}
	if ctx.Err() != nil || s.ended(to) {
		return dispatch.TransferReceiverGone
	}
	s.opts.Log.Warn("hand-over part without reply", zap.String("successor", to.Name), zap.Error(err))
	wait.For(ctx, retryInterval)
	return dispatch.TransferUncertain
}

func (s *Sender) outcomeOf(r *peerpb.HandOverResponse, first bool) dispatch.TransferOutcome {
	switch {
	case r.GetAccepted():
		return dispatch.TransferConfirmed
	case r.GetBySuccessor():
		s.opts.Log.Warn("hand-over refused", zap.String("reason", r.GetRefusal()))
		return dispatch.TransferRefused
	default:
		return undeliverable(first)
	}
}

// undeliverable returns the outcome of a part that this attempt did not deliver
// and that no further attempt can deliver.
func undeliverable(first bool) dispatch.TransferOutcome {
	if first {
		return dispatch.TransferRefused
	}
	return dispatch.TransferReceiverGone
}

// ended reports whether an entry is known to have ended.
func (s *Sender) ended(to membership.Entry) bool {
	for _, e := range s.opts.Loop.Snapshot().View.Others {
		if e.Incarnation == to.Incarnation {
			return e.Ended || e.State == membership.Gone
		}
	}
	return true
}

// SendStatusUpdates sends status updates to the successor until this entry runs
// no more tasks or the context ends.
func (s *Sender) SendStatusUpdates(ctx context.Context, to membership.Entry) error {
	for {
		pending, err := s.opts.Loop.TakeStatusUpdates()
		if err != nil {
			return err
		}
		if err := s.sendAllUpdates(ctx, to, pending.Updates); err != nil {
			return err
		}
		if pending.Idle && len(pending.Updates) == 0 {
			return nil
		}
		if len(pending.Updates) == 0 {
			wait.For(ctx, pollInterval)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (s *Sender) sendAllUpdates(ctx context.Context, to membership.Entry, updates []dispatch.StatusUpdate) error {
	for len(updates) > 0 {
		count := min(maxUpdates, len(updates))
		if err := s.sendUpdates(ctx, to, updates[:count]); err != nil {
			return err
		}
		updates = updates[count:]
	}
	return nil
}

// sendUpdates sends status updates until the successor accepts them or has ended,
// or the context ends. They may arrive more than once.
func (s *Sender) sendUpdates(ctx context.Context, to membership.Entry, updates []dispatch.StatusUpdate) error {
	request, err := s.opts.Codec.EncodeStatusUpdates(s.opts.Self, jobid.Incarnation(to.Incarnation), updates)
	if err != nil {
		return err
	}
	for {
		s.opts.CountMessage(metrics.KindHandover)
		response, err := s.opts.Peers.HandOver(ctx, to.Address, request)
		if err == nil && response.GetAccepted() {
			return nil
		}
		if ctx.Err() != nil || s.ended(to) {
			return &UndeliveredUpdatesError{Updates: len(updates), Successor: to.Name}
		}
		wait.For(ctx, retryInterval)
	}
}

// UndeliveredUpdatesError reports status updates that a successor did not accept.
type UndeliveredUpdatesError struct {
	Updates   int
	Successor string
}

func (e *UndeliveredUpdatesError) Error() string {
	return "entry " + e.Successor + " did not accept the status of tasks that ran on this entry: their jobs end with an unknown outcome; check their effects"
}
