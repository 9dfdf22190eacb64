// Package configuration keeps an entry at the newest configuration: from the
// platform's log, and from other entries while the log cannot be reached.
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

// Syncer is safe for concurrent use.
type Syncer struct {
	follower *follow.Follower
	peers    Peers
	log      *zap.Logger
	fetching atomic.Bool
}

// NewSyncer returns a keeper. The follower must be run by the caller.
func NewSyncer(follower *follow.Follower, peers Peers, log *zap.Logger) *Syncer {
	return &Syncer{follower: follower, peers: peers, log: log}
}

// Version returns the newest version that this entry knows, and its digest.
func (s *Syncer) Version() (version uint64, digest []byte) {
	status := s.follower.Status()
	return status.Catalog.Version, status.Digest
}

// UnavailableReason says why no configuration is known yet; empty if one is.
func (s *Syncer) UnavailableReason() string {
	status := s.follower.Status()
	return status.Reason()
}

// Newer returns a copy of the configuration if it is newer than a version.
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

// Fetch takes the configuration of another entry, in a goroutine of its own.
// One fetch runs at a time; the next heartbeat asks again if need be.
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
