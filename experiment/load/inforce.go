package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// versionMetric is the gauge by which an entry tells its configuration.
const versionMetric = "lovage_configuration_version "

// inForceInterval is the time between looks at the entries.
const inForceInterval = 20 * time.Millisecond

// InForce is how far a version of the configuration has come.
type InForce struct {
	Version uint64   `json:"version"`
	Entries int      `json:"entries"` // that were asked
	Seconds float64  `json:"seconds"` // until all had it, or until the end of the wait
	Missing []string `json:"missing"` // admin addresses of entries without it
}

// WaitInForce asks the entries at the given admin addresses, host:port, until
// all have at least the given version or the context ends.
func WaitInForce(ctx context.Context, admins []string, version uint64, since time.Time) InForce {
	result := InForce{Version: version, Entries: len(admins), Missing: admins}
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		result.Missing = entriesBehind(ctx, result.Missing, version)
		result.Seconds = time.Since(since).Seconds()
		if len(result.Missing) == 0 {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-ticker.C:
		}
	}
}

// entriesBehind returns the entries that have an older version or do not answer.
func entriesBehind(ctx context.Context, admins []string, version uint64) []string {
	upToDate := make([]bool, len(admins))
	var all sync.WaitGroup
	for i, admin := range admins {
		all.Go(func() {
			got, err := configurationVersion(ctx, admin)
			upToDate[i] = err == nil && got >= version
		})
	}
	all.Wait()
	missing := []string{}
	for i, admin := range admins {
		if !upToDate[i] {
			missing = append(missing, admin)
		}
	}
	return missing
}

// NoMetricError reports an entry that does not tell its version.
type NoMetricError struct{ Admin string }

func (e *NoMetricError) Error() string {
	return fmt.Sprintf("entry %s has no metric %s: check the admin address", e.Admin, strings.TrimSpace(versionMetric))
}

func configurationVersion(ctx context.Context, admin string) (uint64, error) {
	lines, err := metricLines(ctx, admin, versionMetric)
	if err != nil {
		return 0, err
	}
	if len(lines) == 0 {
		return 0, &NoMetricError{Admin: admin}
	}
	value, err := strconv.ParseFloat(lines[0], 64)
	return uint64(value), err
}
