package trace

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestExplainRecordedLogs explains recorded logs. The input is a log that entries
// wrote; the argument job names the job.
func TestExplainRecordedLogs(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var job string
			d.ScanArgs(t, "job", &job)
			lines, err := Read("log", strings.NewReader(d.Input), job)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			if err := Explain(job, lines).Write(&out); err != nil {
				t.Fatal(err)
			}
			return out.String()
		})
	})
}
