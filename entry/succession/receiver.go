package succession

import (
	"context"

	"github.com/twitchtv/twirp"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/handover"
	"lovagespread.example/peer/peerpb"
)

// Receiver takes the jobs of entries that stop. It is safe for concurrent use.
type Receiver struct {
	Self  jobid.Incarnation
	Loop  *control.Loop
	Codec handover.Codec
}

// HandOver takes one part, or fates told after the last one.
func (t *Receiver) HandOver(_ context.Context, r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	if to := jobid.Incarnation(r.GetTo()); to != t.Self {
		wrong := &ledger.WrongSuccessorError{To: to, Self: t.Self}
		return &peerpb.HandOverResponse{Refusal: wrong.Error()}, nil
	}
	if len(r.GetTold()) > 0 {
		return t.applyStatusUpdates(r)
	}
	part, err := t.Codec.Decode(r)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	acceptance, err := t.Loop.Accept(&part.Transfer, part.Submissions)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if acceptance.Err != nil {
		return &peerpb.HandOverResponse{Refusal: acceptance.Err.Error(), BySuccessor: true}, nil
	}
	return &peerpb.HandOverResponse{Accepted: true, Done: acceptance.Done, BySuccessor: true}, nil
}

func (t *Receiver) applyStatusUpdates(r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	updates, err := t.Codec.DecodeStatusUpdates(r)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	if err := t.Loop.ApplyStatusUpdates(updates); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.HandOverResponse{Accepted: true, BySuccessor: true}, nil
}
