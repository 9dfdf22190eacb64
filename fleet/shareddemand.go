package fleet

import (
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/admission"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/peer/fleetpb"
)

// sharedDemand is the demand of this holder as announced for admission control.
type sharedDemand struct {
	demand, backlog []uint32
	encodedAt       time.Time
	sentAt          map[bool]time.Time // to entries of the own failure domain (true) and of others
}

// announceDemand adds the demand of this holder to a heartbeat to all entries of the
// own failure domain, or of the others, once in each leased.SharedInterval. All of
// them get the same numbers, so that they decide alike.
func (l *Loop) announceDemand(now time.Time, heartbeat *fleetpb.Beat, local bool) {
	s := &l.sharedDemand
	if len(heartbeat.Rooms) == 0 || now.Sub(s.sentAt[local]) < leased.SharedInterval {
		return
	}
	if now.Sub(s.encodedAt) >= leased.SharedInterval {
		load, ok := l.core.SharedLoad()
		if !ok {
			return
		}
		s.demand, s.backlog = load.Encode()
		s.encodedAt = now
	}
	s.sentAt[local] = now
	heartbeat.Rooms[0].Demand, heartbeat.Rooms[0].Backlog = s.demand, s.backlog
}

// sharedLoadOf returns the demand that a heartbeat announces, or nil if it announces
// none or one that no correct holder announces. The latter is logged.
func (l *Loop) sharedLoadOf(b *fleetpb.Beat) *admission.SharedLoad {
	for _, r := range b.Rooms {
		load, err := admission.DecodeLoad(r.Demand, r.Backlog)
		if err != nil {
			l.log.Warn("announced_demand_invalid", zap.String("entry", b.Name), zap.Error(err))
			return nil
		}
		if load != nil {
			return load
		}
	}
	return nil
}
