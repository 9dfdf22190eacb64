package main

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet"
	"lovagespread.example/fleet/follow"
	"lovagespread.example/platform"
)

// How often the store is read.
const (
	// configurationWait is how long one read waits for a change of the
	// configuration: within the time in which it must be in force, so that a
	// silent connection is noticed.
	configurationWait = 1200 * time.Millisecond
	// holderInterval suits the time in which a leaving endpoint must get no
	// new work.
	holderInterval = 500 * time.Millisecond
	otherInterval  = 2500 * time.Millisecond
	entryInterval  = 10 * time.Second
	announceRetry  = time.Second
	announceTime   = 2 * time.Second // of one try
)

// learn follows what the operator, the executors and other entries write to
// the store.
func learn(ctx context.Context, store *platform.Store, process *fleet.Process, file *platform.File, log *zap.Logger) {
	configuration := follow.New("configuration", store.Keyed(platform.OperatorTopic),
		follow.Pace{Wait: configurationWait}, log, func(records map[string][]byte) { setConfiguration(process, records, log) })
	endpoints := follow.New("endpoints", store.Keyed(platform.ExecutorsTopic),
		follow.Pace{Interval: func() time.Duration { return lo.Ternary(process.NeedsEndpoints(), holderInterval, otherInterval) }},
		log, endpointUpdater(process, log))
	entries := follow.New("entries", store.Keyed(platform.EntriesTopic),
		follow.Pace{Interval: func() time.Duration { return entryInterval }}, log, func(records map[string][]byte) {
			process.AddSeeds(lo.MapToSlice(records, func(_ string, address []byte) string { return string(address) }))
		})
	go configuration.Run(ctx)
	go endpoints.Run(ctx)
	go func() {
		announce(ctx, store, file, log)
		entries.Run(ctx)
	}()
}

// announce writes this entry's heartbeat address to the store.
func announce(ctx context.Context, store *platform.Store, file *platform.File, log *zap.Logger) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, announceTime)
		err := store.Keyed(platform.EntriesTopic).Put(try, file.NodeName, []byte(file.Fleet().BeatAddress))
		cancel()
		if err == nil {
			return
		}
		log.Warn("announcement_failed", zap.Error(err))
		time.Sleep(announceRetry)
	}
}

func setConfiguration(process *fleet.Process, records map[string][]byte, log *zap.Logger) {
	data, ok := records[platform.ConfigKey]
	if !ok {
		return
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		log.Error("configuration_unreadable", zap.Error(err))
		return
	}
	process.SetDirectory(fleet.Directory{Version: c.Version, Configuration: c})
}

// endpointUpdater returns a function that translates the executors' records.
// Each unusable record is logged once.
func endpointUpdater(process *fleet.Process, log *zap.Logger) func(map[string][]byte) {
	complained := make(map[string]bool)
	return func(records map[string][]byte) {
		list := make([]leased.Endpoint, 0, len(records))
		for key, data := range records {
			e, err := platform.DecodeExecutor(key, data)
			if err != nil {
				if !complained[key] {
					complained[key] = true
					log.Warn("record_unusable", zap.Error(err))
				}
				continue
			}
			list = append(list, e)
		}
		process.SetDirectory(fleet.Directory{Endpoints: list})
	}
}
