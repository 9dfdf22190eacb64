package catalog

import (
	"errors"
	"testing"

	"lovagespread.example/catalog/tomlcheck"
)

// FuzzParseServices checks that ParseServices returns, for every text, either a
// catalog that passes Check or a list of problems with remedies.
func FuzzParseServices(f *testing.F) {
	f.Add([]byte("[[service]]\nname = \"a\"\ndepends_on = [\"a\", 'b']\nmemory = \"1GiB\"\n[[team]]\nname = \"t\"\nburst = 1\n"))
	f.Add([]byte("[[service]]\nname =\nslots = 1e9\n"))
	f.Add([]byte("service = [{name = \"a\", run_time = \"1s\"}, 3]\n[team]\n"))
	f.Add([]byte("a.b.c = 1\n[[service.x]]\n\"\" = [[1], [{a = 1}]] # comment\n"))
	f.Add([]byte("\xff\x00[[service]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseServices("services.toml", text)
		if err == nil {
			if problem := Check("services.toml", c); problem != nil {
				t.Fatalf("ParseServices accepted a text that Check rejects: %v", problem)
			}
			return
		}
		var problems *tomlcheck.Problems
		if !errors.As(err, &problems) || len(problems.List) == 0 {
			t.Fatalf("error %v, want a non-empty *tomlcheck.Problems", err)
		}
		for _, p := range problems.List {
			if p.What == "" || p.Remedy == "" {
				t.Fatalf("problem without description or remedy: %+v", p)
			}
		}
	})
}
