package observe

import (
	"go.uber.org/zap"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/entry/control"
)

// evacuationEvents are the log events by the phase that a failure domain has entered.
var evacuationEvents = map[evacuation.Phase]string{
	evacuation.Draining:  "evacuation requested",
	evacuation.Evacuated: "failure domain evacuated",
	evacuation.Returning: "failure domain returning",
	evacuation.InService: "failure domain returned",
}

// EvacuationChanged records that a failure domain has entered a phase.
func (o *Observer) EvacuationChanged(c evacuation.Change) {
	o.metrics.EvacuationPhase.WithLabelValues(c.Domain).Set(float64(c.Phase))
	o.log.Info(evacuationEvents[c.Phase], zap.String("failure_domain", c.Domain))
}

// Emptied records that the last attempt of this entry in its evacuated failure
// domain has ended.
func (o *Observer) Emptied(domain string) {
	o.log.Info("failure domain empty", zap.String("failure_domain", domain))
}

// recordRunning sets the gauge of the attempts in flight, which is absent while the
// failure domain is in service.
func (o *Observer) recordRunning(s *control.Snapshot) {
	running := o.metrics.EvacuationRunning
	if domain := s.View.Self.FailureDomain; s.Evacuation.Phase != evacuation.InService {
		running.WithLabelValues(domain).Set(float64(s.Evacuation.Running))
	} else {
		running.DeleteLabelValues(domain)
	}
}
