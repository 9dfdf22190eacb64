package deployment_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"lovagespread.example/standin/deployment"
)

func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "parse" {
			t.Fatalf("unknown command %q", d.Cmd)
		}
		s, err := deployment.Parse("standin.toml", []byte(d.Input))
		if err != nil {
			return strings.TrimSuffix(err.Error(), "\n") + "\n"
		}
		return describe(s)
	})
}
