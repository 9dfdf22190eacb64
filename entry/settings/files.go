package settings

import (
	"fmt"
	"os"

	"lovagespread.example/catalog/tomlcheck"
)

// fileKey is a settings key whose value is the path of a file.
type fileKey struct{ key, path string }

func (s *Settings) files() []fileKey {
	files := []fileKey{
		{"platform.token_file", s.Platform.TokenFile},
		{"tokens.callers_file", s.Tokens.CallersFile},
		{"tokens.operators_file", s.Tokens.OperatorsFile},
		{"tokens.peers_file", s.Tokens.PeersFile},
		{"tls.certificate_file", s.TLS.CertificateFile},
		{"tls.key_file", s.TLS.KeyFile},
		{"tls.peer_ca_file", s.TLS.PeerCAFile},
	}
	for i, path := range s.JobIDs.KeyFiles {
		files = append(files, fileKey{fmt.Sprintf("job_ids.key_files[%d]", i), path})
	}
	return files
}

// CheckFiles checks that this process can read the files that the settings name.
// It returns nil or a *tomlcheck.Problems. settingsFile is the name of the
// settings in errors.
func (s *Settings) CheckFiles(settingsFile string) error {
	var problems tomlcheck.Problems
	for _, f := range s.files() {
		if f.path == "" {
			continue
		}
		opened, err := os.Open(f.path)
		if err == nil {
			err = opened.Close()
		}
		if err != nil {
			problems.Add(tomlcheck.Problem{
				File: settingsFile, Key: f.key, What: err.Error(), Remedy: "name a file that this process may read",
			})
		}
	}
	return problems.Err()
}
