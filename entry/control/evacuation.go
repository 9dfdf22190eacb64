package control

import (
	"slices"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/membership"
)

// Evacuation is the state of this entry's failure domain.
type Evacuation struct {
	Phase evacuation.Phase
	// Running is the number of this entry's attempts in flight. All of them are in
	// its failure domain.
	Running int
	// Admits reports whether this entry may still get jobs. The entries of a domain
	// stop and resume in steps, like its endpoints.
	Admits bool
}

// evacuation returns the state of this entry's failure domain.
func (l *Loop) evacuation() Evacuation {
	self := l.view.Self
	return Evacuation{
		Phase:   l.opts.Core.EvacuationPhase(self.FailureDomain),
		Running: lo.Sum(lo.Values(l.loads)),
		Admits:  l.opts.Core.Admits(self.FailureDomain, self.Name),
	}
}

// reportEmptied reports once in each evacuation that the last attempt has ended.
func (l *Loop) reportEmptied() {
	state := l.evacuation()
	empty := state.Phase == evacuation.Evacuated && state.Running == 0
	if empty && !l.emptied {
		l.opts.Observer.Emptied(l.view.Self.FailureDomain)
	}
	l.emptied = empty
}

// OtherDomainServes reports whether a live entry is known in another failure
// domain whose evacuation is not requested.
func (s *Snapshot) OtherDomainServes() bool {
	return slices.ContainsFunc(s.View.Others, func(e membership.Entry) bool {
		return e.State == membership.Live && e.FailureDomain != s.View.Self.FailureDomain &&
			!slices.Contains(s.Catalog.Evacuated, e.FailureDomain)
	})
}
