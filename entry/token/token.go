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

// Set holds the accepted tokens of one listener. A nil Set accepts all requests.
// It is immutable and safe for concurrent use.
type Set struct {
	identities []identity
}

// identity is a name with the digest of its token. Comparing digests of equal
// length takes the same time for every token.
type identity struct {
	name   string
	digest [sha256.Size]byte
}

// Load reads "name token" pairs, one per line. It skips empty lines and lines that
// begin with #. If path is empty, it returns a nil Set.
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

// Names returns the names in the order of the file. A name with several tokens is
// repeated.
func (s *Set) Names() []string {
	names := make([]string, len(s.identities))
	for i := range s.identities {
		names[i] = s.identities[i].name
	}
	return names
}

// LineError reports a line that is not a "name token" pair. Its text does not
// contain the line, which may hold a token.
type LineError struct {
	File string
	Line int
}

func (e *LineError) Error() string {
	return errors.Errorf("%s:%d: write a name and a token, separated by a space", e.File, e.Line).Error()
}

// Authenticate returns the name that belongs to the bearer token of the request.
// It compares every known token, also after a match, so that the time does not
// depend on which one matches.
func (s *Set) Authenticate(r *http.Request) (name string, ok bool) {
	if s == nil {
		return "", true
	}
	bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(bearer))
	for _, known := range s.identities {
		if subtle.ConstantTimeCompare(digest[:], known.digest[:]) == 1 {
			name, ok = known.name, true
		}
	}
	return name, ok
}

// LoadShared reads the token that all entries share. It returns the last field of
// the file, or an empty token if path is empty.
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
