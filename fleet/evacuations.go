package fleet

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
)

// Evacuations are the failure domains that operators have evacuated.
type Evacuations = evacuation.List

// peerEvacuations is a message with the evacuations that another entry knows.
type peerEvacuations struct{ list Evacuations }

func (m peerEvacuations) handle(l *Loop) {
	if l.settings.EvacuationBound > 0 {
		l.applyEvacuations(l.requests.ApplyPeer(m.list))
	}
}

// evacuationsRead is a message with the requests that were read from the
// platform.
type evacuationsRead struct {
	domains []string
	touched bool // requests may have been among the records read
	read    follow.Progress
}

func (m evacuationsRead) handle(l *Loop) {
	if l.settings.EvacuationBound > 0 {
		awaited := l.awaitsEvacuations()
		l.applyEvacuations(l.requests.ApplyRead(evacuation.Read{Offset: m.read.Offset, Domains: m.domains, Touched: m.touched, Age: m.read.Age}))
		if awaited {
			l.assignEndpoints()
		}
	}
}

// evacuationsUnread is a message that the requests could not be read from the
// platform.
type evacuationsUnread struct{}

func (evacuationsUnread) handle(l *Loop) {
	if l.awaitsEvacuations() {
		l.requests.ReadFailed()
		l.assignEndpoints()
	}
}

// setEvacuations passes the operators' requests to the loop.
func (p *Process) setEvacuations(domains []string, touched bool, read follow.Progress) {
	p.loop.send(evacuationsRead{domains, touched, read})
}

// applyEvacuations puts a list of evacuations in force if it was accepted.
func (l *Loop) applyEvacuations(u evacuation.Update, accepted bool) {
	if !accepted {
		return
	}
	l.directory.Evacuations = l.requests.Latest()
	if !u.Changed {
		return
	}
	l.log.Info("evacuations_in_force", zap.Strings("failure_domains", u.Domains), zap.Int64("revision", u.Revision),
		zap.Bool("late", u.Late), zap.Bool("from_peer", u.FromPeer))
	l.step(&leased.SetEvacuations{Domains: u.Domains, Late: u.Late})
	l.assignEndpoints()
	l.publish()
}

// awaitsEvacuations reports whether this entry does not know well enough yet which
// failure domains are evacuated. It holds no endpoints until then.
func (l *Loop) awaitsEvacuations() bool { return l.settings.EvacuationBound > 0 && !l.requests.Known() }

// logDomainChange logs a change of the phase of a failure domain.
func (l *Loop) logDomainChange(change evacuation.Change) {
	l.log.Info("failure_domain_phase", zap.String("failure_domain", change.Domain), zap.String("phase", change.Phase.String()),
		zap.Int("runs", l.core.Status().EvacuatedRuns))
	l.metrics.domainChanges.WithLabelValues(change.Phase.String()).Inc()
}

// noteEmptied logs when the last run on evacuated endpoints has ended.
func (l *Loop) noteEmptied(runs int) {
	if runs == 0 && l.evacuatedRuns > 0 {
		l.log.Info("evacuated_endpoints_empty")
	}
	l.evacuatedRuns = runs
}

// serving reports whether endpoints of a failure domain may get tasks.
func (s *Snapshot) serving(domain string) bool {
	share, listed := s.DomainShares[domain]
	return !listed || share > 0
}

// share returns the share of a failure domain's endpoints that may get tasks.
func (s *Snapshot) share(domain string) float64 {
	if share, listed := s.DomainShares[domain]; listed {
		return share
	}
	return 1
}

// allEvacuated reports whether no failure domain is left that may get tasks.
func (s *Snapshot) allEvacuated() bool {
	return len(s.DomainShares) > 0 && len(s.CellCounts) > 0 && !lo.SomeBy(lo.Keys(s.CellCounts), s.serving)
}

// Rejection of jobs while all failure domains are evacuated. Operators take such
// a request back by hand, which takes some seconds at least.
const (
	reasonAllEvacuated     = "operators have evacuated all failure domains"
	allEvacuatedRetryAfter = 5 * time.Second
)
