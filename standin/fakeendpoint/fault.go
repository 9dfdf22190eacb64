package fakeendpoint

import (
	"time"

	"github.com/go-faster/errors"
)

// FaultKind names a fault switch of endpoints.
type FaultKind string

// Fault kinds. Each stays in effect until Clear, except FaultSilenceOpen and
// FaultBreakOpen, which act once on the open connections.
const (
	FaultCrash          FaultKind = "crash"
	FaultRefuse         FaultKind = "refuse"
	FaultFailFast       FaultKind = "fail_fast"
	FaultStraggle       FaultKind = "straggle"
	FaultSilenceOpen    FaultKind = "silence_open"
	FaultSilence        FaultKind = "silence"
	FaultBreakOpen      FaultKind = "break_open"
	FaultBreakAfterRead FaultKind = "break_after_read"
	FaultLoseReply      FaultKind = "lose_reply"
	FaultPause          FaultKind = "pause"
	FaultLeaving        FaultKind = "leaving"
	FaultDelay          FaultKind = "delay"
	Clear               FaultKind = "clear"
)

// Fault is the setting of one fault switch.
type Fault struct {
	Kind    FaultKind `json:"kind" enum:"crash,refuse,fail_fast,straggle,silence_open,silence,break_open,break_after_read,lose_reply,pause,leaving,delay,clear"`
	Factor  float64   `json:"factor,omitempty" minimum:"0" doc:"For straggle: factor by which the run time of tasks increases"`
	DelayMS float64   `json:"delay_ms,omitempty" minimum:"0" doc:"For delay: milliseconds before each write"`
}

// UnknownFaultError reports an unknown fault kind.
type UnknownFaultError struct{ Kind FaultKind }

func (e *UnknownFaultError) Error() string {
	return "unknown fault kind " + string(e.Kind) + ": use a kind from the OpenAPI description"
}

// Apply sets a fault switch and returns the number of open connections that it
// affected.
func (s *Server) Apply(f Fault) (connections int, err error) {
	switch f.Kind {
	case FaultCrash:
		return 0, s.Crash()
	case FaultRefuse:
		return 0, s.Refuse(true)
	case FaultSilenceOpen:
		return s.SilenceOpen(), nil
	case FaultSilence:
		s.SetSilent(true)
		return s.SilenceOpen(), nil
	case FaultBreakOpen:
		return s.BreakOpen(), nil
	case FaultLeaving:
		s.SetLeaving(true)
	case FaultDelay:
		s.SetDelay(time.Duration(f.DelayMS * float64(time.Millisecond)))
	case Clear:
		return 0, s.clear()
	default:
		return 0, s.applyToRequests(f)
	}
	return 0, nil
}

func (s *Server) applyToRequests(f Fault) error {
	faults := s.Faults()
	switch f.Kind {
	case FaultFailFast:
		faults.FailFast = true
	case FaultStraggle:
		faults.StraggleFactor = f.Factor
	case FaultBreakAfterRead:
		faults.BreakAfterRead = true
	case FaultLoseReply:
		faults.LoseReply = true
	case FaultPause:
		faults.Paused = true
	default:
		return &UnknownFaultError{Kind: f.Kind}
	}
	s.SetFaults(faults)
	return nil
}

func (s *Server) clear() error {
	if err := s.Restart(); err != nil {
		return errors.Wrap(err, "reopen the listener")
	}
	s.SetLeaving(false)
	s.SetDelay(0)
	s.SetSilent(false)
	s.SetFaults(Faults{})
	return nil
}
