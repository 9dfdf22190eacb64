package token

import "crypto/sha256"

// Single returns a set of one token, or a nil Set if the token is empty.
func Single(name, token string) *Set {
	if token == "" {
		return nil
	}
	return &Set{identities: []identity{{name: name, digest: sha256.Sum256([]byte(token))}}}
}
