package entry

import (
	"context"

	"github.com/twitchtv/twirp"

	"lovagespread.example/peer/peerpb"
)

// noSuccession refuses hand-overs.
type noSuccession struct{}

func (noSuccession) HandOver(context.Context, *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "this entry takes no ledger over: let the jobs of the stopping entry end there")
}
