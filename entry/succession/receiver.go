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

// Receiver takes over the jobs of entries that stop. It is safe for concurrent
// use.
type Receiver struct {
	Self  jobid.Incarnation
	Loop  *control.Loop
	Codec handover.Codec
}

// HandOver receives one part of a handover, or the status updates that follow
// the last part.
func (r *Receiver) HandOver(_ context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	if to := jobid.Incarnation(request.GetTo()); to != r.Self {
		wrong := &ledger.WrongSuccessorError{To: to, Self: r.Self}
		return &peerpb.HandOverResponse{Refusal: wrong.Error()}, nil
	}
	if len(request.GetTold()) > 0 {
		return r.applyStatusUpdates(request)
	}
	part, err := r.Codec.Decode(request)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	acceptance, err := r.Loop.Accept(&part.Transfer, part.Submissions)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if acceptance.Err != nil {
		return &peerpb.HandOverResponse{Refusal: acceptance.Err.Error(), BySuccessor: true}, nil
	}
	return &peerpb.HandOverResponse{Accepted: true, Done: acceptance.Done, BySuccessor: true}, nil
}

func (r *Receiver) applyStatusUpdates(request *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	updates, err := r.Codec.DecodeStatusUpdates(request)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	if err := r.Loop.ApplyStatusUpdates(updates); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.HandOverResponse{Accepted: true, BySuccessor: true}, nil
}
