package load

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

// metricsTimeout is the timeout of a request for the metrics of an entry.
const metricsTimeout = 2 * time.Second

// messagesMetric is the prefix, up to the kind, of an entry's message counters.
const messagesMetric = `lovage_messages_total{kind="`

// metricLines returns the lines of an entry's metrics that have the prefix,
// without the prefix.
func metricLines(ctx context.Context, admin, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "invalid admin address")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read the metrics")
	}
	defer res.Body.Close()
	var found []string
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), prefix); ok {
			found = append(found, text)
		}
	}
	return found, lines.Err()
}

// EntryMessages holds an entry's message counts by kind.
type EntryMessages map[string]int64

// String lists the counts by kind.
func (m EntryMessages) String() string {
	kinds := slices.Sorted(maps.Keys(m))
	return strings.Join(lo.Map(kinds, func(kind string, _ int) string {
		return fmt.Sprintf("%d %s", m[kind], kind)
	}), ", ")
}

// entryMessages returns the message counts of the entries by admin address. It
// omits entries that do not respond.
func entryMessages(ctx context.Context, admins []string) map[string]EntryMessages {
	counts := make(map[string]EntryMessages)
	for _, admin := range admins {
		lines, err := metricLines(ctx, admin, messagesMetric)
		if err != nil {
			continue
		}
		counts[admin] = parseMessages(lines)
	}
	return counts
}

// parseMessages parses lines of the form: forward"} 12
func parseMessages(lines []string) EntryMessages {
	messages := make(EntryMessages)
	for _, line := range lines {
		kind, text, ok := strings.Cut(line, `"} `)
		value, err := strconv.ParseFloat(text, 64)
		if ok && err == nil {
			messages[kind] = int64(value)
		}
	}
	return messages
}

// sumSince returns the sum of the entries' counts since before. An entry with a
// lower count than before has restarted, so its whole count is added.
func sumSince(before, after map[string]EntryMessages) EntryMessages {
	sum := make(EntryMessages)
	for admin, messages := range after {
		for kind, count := range messages {
			if earlier := before[admin][kind]; earlier <= count {
				count -= earlier
			}
			sum[kind] += count
		}
	}
	return sum
}
