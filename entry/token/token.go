// Package token checks bearer tokens in constant time.
package token

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// Set holds the tokens of one listener. A nil Set admits everybody. It is
// immutable and safe for concurrent use.
type Set struct {
	identities []identity
}

// identity is one name with the digest of its token, so that the comparison
// takes the same time for every token.
type identity struct {
	name   string
	digest [sha256.Size]byte
}

// Load reads "name token" pairs, one a line; empty lines and lines that begin
// with # are skipped. An empty path gives a nil Set.
func Load(path string) (*Set, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read tokens")
	}
	return parse(path, text)
}

func parse(path string, text []byte) (*Set, error) {
	set := &Set{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 2 {
			return nil, &LineError{File: path, Line: number}
		}
		set.identities = append(set.identities, identity{name: fields[0], digest: sha256.Sum256([]byte(fields[1]))})
	}
	return set, lines.Err()
}

// LineError reports a line that is not a pair. It never shows the line.
type LineError struct {
	File string
	Line int
}

func (e *LineError) Error() string {
	return errors.Errorf("%s:%d: write a name and a token, separated by a space", e.File, e.Line).Error()
}

// Authenticate returns the name that belongs to the bearer token of the request.
// Every known token is compared, whichever matches.
func (s *Set) Authenticate(r *http.Request) (name string, ok bool) {
	if s == nil {
		return "", true
	}
	bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(bearer))
	for _, h := range s.identities {
		if subtle.ConstantTimeCompare(digest[:], h.digest[:]) == 1 {
			name, ok = h.name, true
		}
	}
	return name, ok
}

// LoadShared reads the one token that all entries share: the last field of
// the first pair. An empty path gives an empty token.
func LoadShared(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read the shared token")
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return "", &LineError{File: path, Line: 1}
	}
	return fields[len(fields)-1], nil
}

// Require admits only requests that carry a known token.
func (s *Set) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.Authenticate(r); !ok {
			http.Error(w, "the bearer token is missing or unknown: send Authorization: Bearer with your token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
