package heartbeat

import (
	"github.com/samber/lo"

	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

func toProto(e membership.Entry) *peerpb.Entry {
	return &peerpb.Entry{
		Name:          e.Name,
		Address:       e.Address,
		Incarnation:   uint64(e.Incarnation),
		Region:        e.Region,
		FailureDomain: e.FailureDomain,
		Leaving:       e.State == membership.Leaving,
		Successor:     uint64(e.Successor),
		Sequence:      e.Sequence,
	}
}

func fromProto(e *peerpb.Entry) membership.Entry {
	out := membership.Entry{
		Name:          e.GetName(),
		Address:       e.GetAddress(),
		Incarnation:   membership.Incarnation(e.GetIncarnation()),
		Region:        e.GetRegion(),
		FailureDomain: e.GetFailureDomain(),
		Successor:     membership.Incarnation(e.GetSuccessor()),
		Sequence:      e.GetSequence(),
	}
	if e.GetLeaving() {
		out.State = membership.Leaving
	}
	return out
}

func heartbeatOf(from *peerpb.Entry, known []*peerpb.Entry) *membership.Heartbeat {
	return &membership.Heartbeat{
		From:  fromProto(from),
		Known: lo.Map(known, func(e *peerpb.Entry, _ int) membership.Entry { return fromProto(e) }),
	}
}
