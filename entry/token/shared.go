package token

import "crypto/sha256"

// Single returns a set of one token. An empty token gives a nil Set.
func Single(name, token string) *Set {
	if token == "" {
		return nil
	}
	return &Set{identities: []identity{{name: name, digest: sha256.Sum256([]byte(token))}}}
}
