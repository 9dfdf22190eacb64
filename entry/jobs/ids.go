package jobs

import (
	"sync"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch/jobid"
)

// DefaultLifetime is the default time for which a job ID is valid.
const DefaultLifetime = 15 * time.Minute

// Issuer issues job IDs to callers. It is safe for concurrent use.
type Issuer struct {
	lifetime time.Duration

	mu     sync.Mutex
	issuer *jobid.Issuer
}

// NewIssuer wraps an issuer. A lifetime of 0 selects DefaultLifetime.
func NewIssuer(issuer *jobid.Issuer, lifetime time.Duration) *Issuer {
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	return &Issuer{issuer: issuer, lifetime: lifetime}
}

// Issue returns count new IDs.
func (s *Issuer) Issue(now time.Time, count int) callerapi.IDsResponse {
	response := callerapi.IDsResponse{IDs: make([]string, count)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range response.IDs {
		id, text := s.issuer.Issue(now, s.lifetime)
		response.IDs[i] = text
		response.ExpiresAt = id.Expiry()
	}
	return response
}
