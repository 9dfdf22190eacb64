// Package keys reads the MAC keys of job IDs from files.
package keys

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/jobid"
)

// Load reads one hexadecimal key from each file. The position of a file, starting
// at 1, is the number of its key. Errors never contain the content of a file.
func Load(paths []string) ([]jobid.Key, error) {
	if len(paths) == 0 {
		return nil, &MissingError{}
	}
	list := make([]jobid.Key, len(paths))
	for i, path := range paths {
		secret, err := readKey(path)
		if err != nil {
			return nil, err
		}
		list[i] = jobid.Key{Number: uint8(i + 1), Secret: secret}
	}
	return list, nil
}

func readKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a job ID key")
	}
	secret, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, &EncodingError{File: path}
	}
	return secret, nil
}

// MissingError reports settings without a key file.
type MissingError struct{}

func (e *MissingError) Error() string {
	return "job_ids.key_files is empty: name at least one file that all entries share"
}

// EncodingError reports a key file whose content is not hexadecimal.
type EncodingError struct{ File string }

func (e *EncodingError) Error() string {
	return e.File + " does not hold a key in hexadecimal: write 64 random hexadecimal digits"
}
