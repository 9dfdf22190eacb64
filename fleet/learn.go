package fleet

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
)

// How often the platform's records are read.
const (
	// configurationWait is how long one read waits for a change of the
	// configuration: less than the time in which it must be in force, so that a
	// silent connection is noticed.
	configurationWait = 1200 * time.Millisecond
	// holderInterval suits the time in which a leaving endpoint must get no
	// new work.
	holderInterval = 500 * time.Millisecond
	// otherInterval keeps what a new holder begins with fresh enough for the
	// same.
	otherInterval = time.Second
	entryInterval = 10 * time.Second
	announceRetry = time.Second
	announceTime  = 2 * time.Second // of one try
)

// Sources are the platform's records of the operators' configuration, of the
// endpoints and of entries, and how they are read.
type Sources struct {
	Configuration       follow.KeyedLog
	ConfigurationKey    string
	Endpoints           follow.KeyedLog
	Entries             follow.KeyedLog // heartbeat addresses by name
	DecodeConfiguration func([]byte) (*Configuration, error)
	DecodeEndpoint      func(key string, record []byte) (leased.Endpoint, error)
	// Announce writes this entry's heartbeat address to Entries.
	Announce func(context.Context) error
}

// Learn follows the sources until the context ends.
func (p *Process) Learn(ctx context.Context, s Sources) {
	configuration := follow.New("configuration", s.Configuration,
		follow.PollOptions{MaxWait: configurationWait}, p.log, func(records map[string][]byte) { p.setConfiguration(&s, records) })
	endpoints := follow.New("endpoints", s.Endpoints, follow.PollOptions{Interval: p.endpointInterval}, p.log, p.endpointUpdater(&s))
	entries := follow.New("entries", s.Entries,
		follow.PollOptions{Interval: func() time.Duration { return entryInterval }}, p.log, func(records map[string][]byte) {
			p.AddSeeds(lo.MapToSlice(records, func(_ string, address []byte) string { return string(address) }))
		})
	go configuration.Run(ctx)
	go endpoints.Run(ctx)
	go func() {
		p.announce(ctx, s.Announce)
		entries.Run(ctx)
	}()
}

// endpointInterval is short while news of endpoints matter at once: this entry
// holds some, or knows none.
func (p *Process) endpointInterval() time.Duration {
	latest := p.loop.Latest()
	if latest.Status.Endpoints > 0 || len(latest.Endpoints) == 0 {
		return holderInterval
	}
	return otherInterval
}

func (p *Process) announce(ctx context.Context, write func(context.Context) error) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, announceTime)
		err := write(try)
		cancel()
		if err == nil {
			return
		}
		p.log.Warn("announcement_failed", zap.Error(err))
		pauseFor(ctx, announceRetry)
	}
}

func (p *Process) setConfiguration(s *Sources, records map[string][]byte) {
	data, ok := records[s.ConfigurationKey]
	if !ok {
		return
	}
	c, err := s.DecodeConfiguration(data)
	if err != nil {
		p.log.Error("configuration_unreadable", zap.Error(err))
		return
	}
	p.loop.send(setDirectory{Directory{Version: c.Version, Configuration: c}})
}

// endpointUpdater returns a function that translates the endpoints' records.
// Each unusable record is logged once.
func (p *Process) endpointUpdater(s *Sources) func(map[string][]byte) {
	complained := make(map[string]bool)
	return func(records map[string][]byte) {
		list := make([]leased.Endpoint, 0, len(records))
		for key, data := range records {
			e, err := s.DecodeEndpoint(key, data)
			if err == nil {
				list = append(list, e)
				continue
			}
			if !complained[key] {
				complained[key] = true
				p.log.Warn("record_unusable", zap.Error(err))
			}
		}
		p.loop.send(setDirectory{Directory{Endpoints: list}})
	}
}
