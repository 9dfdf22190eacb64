// Package configuration keeps the configuration of an entry up to date, from the
// platform's log and, while the log is unreachable, from other entries.
package configuration

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice/follow"
	"lovagespread.example/peer/peerpb"
)

// Peers fetches configurations from other entries.
type Peers interface {
	Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error)
}

// Syncer holds the newest configuration that this entry knows. It is safe for
// concurrent use.
type Syncer struct {
	follower *follow.Follower
	peers    Peers
	log      *zap.Logger
	fetching atomic.Bool
}

// NewSyncer returns a Syncer. The caller must run the follower.
func NewSyncer(follower *follow.Follower, peers Peers, log *zap.Logger) *Syncer {
	return &Syncer{follower: follower, peers: peers, log: log}
}

// Version returns the newest configuration version that this entry knows, and
// its digest.
func (s *Syncer) Version() (version uint64, digest []byte) {
	status := s.follower.Status()
	return status.Catalog.Version, status.Digest
}

// UnavailableReason returns why no configuration is known yet, or an empty string
// if one is known.
func (s *Syncer) UnavailableReason() string {
	status := s.follower.Status()
	return status.Reason()
}

// Newer returns a copy of the configuration if its version is higher than the
// given one, and an empty response otherwise.
func (s *Syncer) Newer(ctx context.Context, than uint64) (*peerpb.ConfigurationResponse, error) {
	if version, _ := s.Version(); version <= than {
		return &peerpb.ConfigurationResponse{}, nil
	}
	newest, ok := s.follower.Copy(ctx)
	if !ok || newest.Version <= than {
		return &peerpb.ConfigurationResponse{}, nil
	}
	return &peerpb.ConfigurationResponse{Version: newest.Version, Digest: newest.Digest, Body: newest.Body}, nil
}

// Fetch starts a goroutine that fetches the configuration of another entry and
// adopts it. Only one fetch runs at a time; others are skipped, because the next
// heartbeat triggers another one if it is still needed.
func (s *Syncer) Fetch(ctx context.Context, address string) {
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		if err := s.fetch(ctx, address); err != nil {
			s.log.Warn("a newer configuration could not be taken from another entry", zap.Error(err))
		}
	}()
}

func (s *Syncer) fetch(ctx context.Context, address string) error {
	own, _ := s.Version()
	resp, err := s.peers.Configuration(ctx, address, &peerpb.ConfigurationRequest{NewerThan: own})
	if err != nil || resp.GetVersion() == 0 {
		return err
	}
	_, err = s.follower.Adopt(ctx, change.Copy{
		Version: resp.GetVersion(),
		Digest:  resp.GetDigest(),
		Body:    resp.GetBody(),
	})
	return err
}
