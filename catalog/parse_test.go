package catalog

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestParseServices(t *testing.T) {
	datadriven.Walk(t, "testdata/services", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			c, err := ParseServices("services.toml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			text, err := json.MarshalIndent(c, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			return string(text) + "\n"
		})
	})
}
