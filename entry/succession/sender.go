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

// Times of a hand-over.
const (
	retryInterval = 200 * time.Millisecond // between two tries to reach the successor
	pollInterval  = 10 * time.Millisecond  // for fates to tell
)

// maxUpdates bounds the fates in one message.
const maxUpdates = 500

// Peers calls other entries.
type Peers interface {
	HandOver(ctx context.Context, address string, r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error)
}

// Options are the parts that a Giver works with.
type Options struct {
	Self  jobid.Incarnation
	Loop  *control.Loop
	Codec handover.Codec
	Peers Peers
	// CountMessage counts a message of the given kind.
	CountMessage func(kind string)
	Log          *zap.Logger
}

// Sender hands the jobs of this entry over at a planned stop.
type Sender struct{ opts Options }

// NewSender returns a giver.
func NewSender(opts Options) *Sender { return &Sender{opts: opts} }

// HandOver hands all jobs to a live entry and returns it. It tries one after the
// other, and returns false if this entry still answers for its jobs, or if it
// will never be known who does.
func (g *Sender) HandOver(ctx context.Context) (membership.Entry, bool) {
	tried := make(map[membership.Incarnation]bool)
	for ctx.Err() == nil {
		to, ok := g.chooseSuccessor(tried)
		if !ok {
			return membership.Entry{}, false
		}
		tried[to.Incarnation] = true
		if g.handOverTo(ctx, to) {
			g.opts.Log.Info("jobs handed over", zap.String("successor", to.Name))
			return to, true
		}
		g.opts.Log.Warn("hand-over failed", zap.String("successor", to.Name))
	}
	return membership.Entry{}, false
}

// chooseSuccessor returns the successor that membership names, or else any live entry.
func (g *Sender) chooseSuccessor(tried map[membership.Incarnation]bool) (membership.Entry, bool) {
	view := g.opts.Loop.Snapshot().View
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

func (g *Sender) handOverTo(ctx context.Context, to membership.Entry) bool {
	incarnation := jobid.Incarnation(to.Incarnation)
	out, err := g.opts.Loop.HandOver(incarnation)
	var latest *dispatch.Transfer
	for err == nil && out.Transfer != nil {
		first := out.Transfer != latest
		latest = out.Transfer
		out, err = g.opts.Loop.ReportTransfer(incarnation, g.send(ctx, to, out, first))
	}
	return err == nil && out.HandedOver
}

// send sends one part. first tells whether it was never sent before: only then
// does a failure to deliver prove that the successor does not have it.
func (g *Sender) send(ctx context.Context, to membership.Entry, out control.HandoverStep, first bool) dispatch.TransferOutcome {
	request, err := g.opts.Codec.Encode(out.Transfer, out.Submissions)
	if err != nil {
		g.opts.Log.Error("hand-over cannot be encoded", zap.Error(err))
		return undeliverable(first)
	}
	g.opts.CountMessage(metrics.KindHandOver)
	response, err := g.opts.Peers.HandOver(ctx, to.Address, request)
	if err == nil {
		return g.outcomeOf(response, first)
	}
	var undelivered *peerclient.NotDeliveredError
	if errors.As(err, &undelivered) && first {
		return dispatch.TransferRefused
	}
	if ctx.Err() != nil || g.ended(to) {
		return dispatch.TransferReceiverGone
	}
	g.opts.Log.Warn("hand-over part without reply", zap.String("successor", to.Name), zap.Error(err))
	wait.For(ctx, retryInterval)
	return dispatch.TransferUncertain
}

func (g *Sender) outcomeOf(r *peerpb.HandOverResponse, first bool) dispatch.TransferOutcome {
	switch {
	case r.GetAccepted():
		return dispatch.TransferConfirmed
	case r.GetBySuccessor():
		g.opts.Log.Warn("hand-over refused", zap.String("reason", r.GetRefusal()))
		return dispatch.TransferRefused
	default:
		return undeliverable(first)
	}
}

// undeliverable is the outcome of a part that this try has not brought to the
// successor and that no further try can bring there.
func undeliverable(first bool) dispatch.TransferOutcome {
	if first {
		return dispatch.TransferRefused
	}
	return dispatch.TransferReceiverGone
}

// ended reports whether an entry is known to be gone.
func (g *Sender) ended(to membership.Entry) bool {
	for _, e := range g.opts.Loop.Snapshot().View.Others {
		if e.Incarnation == to.Incarnation {
			return e.Ended || e.State == membership.Gone
		}
	}
	return true
}

// SendStatusUpdates passes fates to the successor until no task of this entry runs any
// more, or the context ends.
func (g *Sender) SendStatusUpdates(ctx context.Context, to membership.Entry) error {
	for {
		pending, err := g.opts.Loop.TakeStatusUpdates()
		if err != nil {
			return err
		}
		if err := g.sendAllUpdates(ctx, to, pending.Updates); err != nil {
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

func (g *Sender) sendAllUpdates(ctx context.Context, to membership.Entry, updates []dispatch.StatusUpdate) error {
	for len(updates) > 0 {
		count := min(maxUpdates, len(updates))
		if err := g.sendUpdates(ctx, to, updates[:count]); err != nil {
			return err
		}
		updates = updates[count:]
	}
	return nil
}

// sendUpdates sends fates until they are accepted. They may arrive twice.
func (g *Sender) sendUpdates(ctx context.Context, to membership.Entry, updates []dispatch.StatusUpdate) error {
	request, err := g.opts.Codec.EncodeStatusUpdates(g.opts.Self, jobid.Incarnation(to.Incarnation), updates)
	if err != nil {
		return err
	}
	for {
		g.opts.CountMessage(metrics.KindHandOver)
		response, err := g.opts.Peers.HandOver(ctx, to.Address, request)
		if err == nil && response.GetAccepted() {
			return nil
		}
		if ctx.Err() != nil || g.ended(to) {
			return &UndeliveredUpdatesError{Updates: len(updates), Successor: to.Name}
		}
		wait.For(ctx, retryInterval)
	}
}

// UndeliveredUpdatesError reports fates that a successor did not take.
type UndeliveredUpdatesError struct {
	Updates   int
	Successor string
}

func (e *UndeliveredUpdatesError) Error() string {
	return "entry " + e.Successor + " did not take the fates of tasks that ran here: their jobs end with an unknown outcome; check their effects"
}
