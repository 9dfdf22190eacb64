package settings

import (
	"errors"
	"testing"

	"lovagespread.example/catalog/tomlcheck"
)

// FuzzParse checks that Parse returns either settings or a list of problems, each
// with a remedy.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name = \"e\"\n[listen]\ncaller = \"127.0.0.1:0\"\n[job_ids]\nkey_files = [\"k\", \"k\"]\nlifetime = \"1h\"\n"))
	f.Add([]byte("listen = 1\n[platform]\nurl = \"http://[::1\"\n[limits]\nstop_timeout = 9223372036854775807\n"))
	f.Add([]byte("[tls]\ncertificate_file = \"\"\"\nx\"\"\"\n[log]\nlevel = \"debug\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse("entry.toml", text)
		if err == nil {
			return
		}
		var problems *tomlcheck.Problems
		if !errors.As(err, &problems) || len(problems.List) == 0 {
			t.Fatalf("error %v", err)
		}
		for _, p := range problems.List {
			if p.What == "" || p.Remedy == "" {
				t.Fatalf("problem without remedy: %+v", p)
			}
		}
	})
}
