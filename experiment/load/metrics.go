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

// metricsTimeout bounds one request for the metrics of an entry.
const metricsTimeout = 2 * time.Second

// messagesMetric is the counter by which an entry tells its messages, up to
// the kind.
const messagesMetric = `lovage_messages_total{kind="`

// metricLines returns what follows the prefix on each line of an entry's
// metrics that has it.
func metricLines(ctx context.Context, admin, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "admin address")
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

// EntryMessages is messages by kind, as an entry counts them.
type EntryMessages map[string]int64

// String lists the counts by kind.
func (m EntryMessages) String() string {
	kinds := slices.Sorted(maps.Keys(m))
	return strings.Join(lo.Map(kinds, func(kind string, _ int) string {
		return fmt.Sprintf("%d %s", m[kind], kind)
	}), ", ")
}

// entryMessages returns the count of each entry, by admin address. Entries
// that do not answer are left out.
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

// parseMessages reads lines of the form: forward"} 12
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

// sumSince adds up what the entries have counted since before. An entry that
// counts less than before has started again.
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
