package settings

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/settings", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s, err := Parse("entry.toml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			text, err := json.MarshalIndent(s, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			return string(text) + "\n"
		})
	})
}
