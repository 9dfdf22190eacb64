package fleet

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
)

// Intervals for reading the platform's records.
const (
	// configurationWait is how long a read waits for a change of the
	// configuration. It is less than the time within which a change must be in
	// force, so that a dead connection is detected in time.
	configurationWait = 1200 * time.Millisecond
	// holderPollInterval is short enough for the time within which a leaving
	// endpoint must stop getting new work.
	holderPollInterval = 500 * time.Millisecond
	// otherPollInterval keeps the list of endpoints recent enough for an entry
	// that becomes a holder to meet the same limit.
	otherPollInterval     = time.Second
	entryPollInterval     = 10 * time.Second
	announceRetryInterval = time.Second
	announceTimeout       = 2 * time.Second // of one attempt
)

// Sources are the platform's records of the configuration, the endpoints and the
// entries, with functions to decode them.
type Sources struct {
	Configuration       follow.KeyedLog
	ConfigurationKey    string
	Endpoints           follow.KeyedLog
	Entries             follow.KeyedLog // heartbeat addresses by name
	DecodeConfiguration func([]byte) (*Configuration, error)
	DecodeEndpoint      func(key string, record []byte) (leased.Endpoint, error)
	// EvacuatedDomain returns the failure domain that a record of Configuration
	// asks to evacuate, and false for any other record.
	EvacuatedDomain func(key string) (string, bool)
	// Announce writes this entry's heartbeat address to Entries.
	Announce func(context.Context) error
}

// Follow reads the sources and their changes until the context is done.
func (p *Process) Follow(ctx context.Context, s Sources) {
	var configuration *follow.Follower
	poll := follow.PollOptions{MaxWait: configurationWait, ExplicitDeletes: true, Failed: func() { p.loop.send(evacuationsUnread{}) }}
	configuration = follow.New("configuration", s.Configuration, poll, p.log, func(records map[string][]byte) {
		touched := configuration.Touched(func(key string) bool { _, ok := s.EvacuatedDomain(key); return ok })
		p.setEvacuations(evacuatedDomains(&s, records), touched, configuration.Progress())
		p.setConfiguration(&s, records)
	})
	endpoints := follow.New("endpoints", p.relayedEndpoints(&s), follow.PollOptions{Interval: p.endpointPollInterval, Wake: p.loop.recordsWanted}, p.log, p.endpointUpdater(&s))
	entries := follow.New("entries", s.Entries,
		follow.PollOptions{Interval: func() time.Duration { return entryPollInterval }}, p.log, func(records map[string][]byte) {
			p.loop.send(listedAddresses{lo.MapToSlice(records, func(_ string, address []byte) string { return string(address) })})
		})
	go configuration.Run(ctx)
	go endpoints.Run(ctx)
	go func() {
		p.announce(ctx, s.Announce)
		entries.Run(ctx)
	}()
}

// endpointPollInterval is short if changes of endpoints matter immediately, that
// is if this entry holds endpoints, reads them for others or knows none.
func (p *Process) endpointPollInterval() time.Duration {
	latest := p.loop.Latest()
	if latest.Status.Endpoints > 0 || len(latest.Endpoints) == 0 || relayRole(latest.View).Relays {
		return holderPollInterval
	}
	return otherPollInterval
}

func (p *Process) announce(ctx context.Context, write func(context.Context) error) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := write(attemptCtx)
		cancel()
		if err == nil {
			return
		}
		p.log.Warn("announcement_failed", zap.Error(err))
		pauseFor(ctx, announceRetryInterval)
	}
}

// evacuatedDomains returns the failure domains whose evacuation the operators'
// records request.
func evacuatedDomains(s *Sources, records map[string][]byte) []string {
	var domains []string
	for key := range records {
		if domain, ok := s.EvacuatedDomain(key); ok {
			domains = append(domains, domain)
		}
	}
	return domains
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

// endpointUpdater returns a function that decodes the records of endpoints and
// passes them to the loop. It decodes a record only when it has changed. It counts
// unusable records, and logs each of them once for each change, at a bounded rate.
func (p *Process) endpointUpdater(s *Sources) func(map[string][]byte) {
	decoded := make(map[string]decodedEndpoint)
	refused := newRefusals(p.loop.metrics, "endpoint")
	return func(records map[string][]byte) {
		maps.DeleteFunc(decoded, func(key string, _ decodedEndpoint) bool { return records[key] == nil })
		list := make([]leased.Endpoint, 0, len(records))
		for key, data := range records {
			d, known := decoded[key]
			if !known || !bytes.Equal(d.record, data) {
				d = decodedEndpoint{record: data}
				d.endpoint, d.err = s.DecodeEndpoint(key, data)
				decoded[key] = d
				if d.err != nil {
					refused.add(1)
					p.logUnusable(refused, d.err)
				}
			}
			if d.err == nil {
				list = append(list, d.endpoint)
			}
		}
		p.loop.send(setDirectory{Directory{Endpoints: list}})
	}
}

func (p *Process) logUnusable(refused *refusals, err error) {
	notLogged, ok := refused.mayLog(time.Now())
	if !ok {
		return
	}
	reason := err.Error()
	p.log.Warn("record_unusable", zap.String("error", reason[:min(len(reason), maxRefusalReason)]), zap.Int("not_logged", notLogged))
}

// decodedEndpoint is a record of an endpoint and the result of decoding it.
type decodedEndpoint struct {
	record   []byte
	endpoint leased.Endpoint
	err      error
}
