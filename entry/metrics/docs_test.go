package metrics

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

const operationsPage = "../../docs/OPERATIONS.md"

// row matches a line of the metric table: name, type, unit, labels, meaning.
var row = regexp.MustCompile("(?m)^\\| `(lovage_[a-z_]+)` \\| [a-z]+ \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$")

// description matches the text of a prometheus.Desc.
var description = regexp.MustCompile(`fqName: "(lovage_[a-z_]+)".*constLabels: \{([^}]*)\}, variableLabels: \{([^}]*)\}`)

var labelName = regexp.MustCompile(`[a-z_]+`)

// noLabels is the content of the labels column for a metric without labels.
const noLabels = "none"

func labelsOf(text string) string {
	if text == noLabels {
		return ""
	}
	names := labelName.FindAllString(text, -1)
	slices.Sort(names)
	return strings.Join(names, ",")
}

func documented(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		list = append(list, match[1]+" "+labelsOf(match[2]))
	}
	slices.Sort(list)
	return list
}

// registered returns every metric of the set, including those without a value.
func registered(s *Set) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		s.registry.Describe(descriptions)
		close(descriptions)
	}()
	var list []string
	for d := range descriptions {
		match := description.FindStringSubmatch(d.String())
		if match == nil {
			continue
		}
		constant := regexp.MustCompile(`="[^"]*"`).ReplaceAllString(match[2], "")
		list = append(list, match[1]+" "+labelsOf(constant+" "+match[3]))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func TestOperationsPageListsEveryMetricWithItsLabels(t *testing.T) {
	set := New()
	set.CountBytes("platform", func() int64 { return 0 }, func() int64 { return 0 })
	if got, want := documented(t), registered(set); !slices.Equal(got, want) {
		t.Errorf("the page lists\n%s\nthe code registers\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
