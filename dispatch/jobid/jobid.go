// Package jobid issues and verifies job IDs.
//
// A job ID names the only entry incarnation that may start the job. It is
// issued before the job is submitted and is authenticated with a MAC, so that
// any entry can tell a genuine ID from a forged one without shared state:
//
//	| version 1 | key 1 | incarnation 8 | expiry 4 | sequence 8 | MAC 16 |  bytes
//
// The text form is unpadded base32hex in lower case (61 characters). Expiry
// is in whole seconds since the Unix epoch. The MAC is HMAC-SHA256 over the
// first 22 bytes, truncated to 16 bytes.
//
// The package does no I/O and does not read the clock: callers pass the time.
package jobid

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"fmt"
	"time"
)

// Sizes of the encoded parts, in bytes.
const (
	bodyBytes = 22
	macBytes  = 16
	idBytes   = bodyBytes + macBytes
)

// version is the first byte of every ID.
const version = 1

// MinKeyBytes is the minimum length of a MAC key in bytes.
const MinKeyBytes = 32

var encoding = base32.NewEncoding("0123456789abcdefghijklmnopqrstuv").WithPadding(base32.NoPadding)

// Incarnation identifies one run of one entry process. It is chosen at random
// when the process starts and is never reused.
type Incarnation uint64

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ID is an authenticated job ID. Only Issuer and Verifier create values
// other than the zero ID. IDs are comparable and can be used as map keys.
type ID struct {
	Owner    Incarnation
	Sequence uint64
	expiry   uint32
	key      uint8
}

// Expiry returns the time from which the ID is refused.
func (id ID) Expiry() time.Time { return time.Unix(int64(id.expiry), 0) }

// Expired reports whether the ID is refused at the given time.
func (id ID) Expired(now time.Time) bool { return !now.Before(id.Expiry()) }

// IsZero reports whether the ID is the zero value.
func (id ID) IsZero() bool { return id == ID{} }

// Compare orders IDs by owner, then by sequence.
func Compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Sequence, b.Sequence))
}

// String returns a short form for logs. It contains no MAC, so that a reader of
// the log cannot use it to submit the job or to query its result.
func (id ID) String() string { return fmt.Sprintf("%s-%d", id.Owner, id.Sequence) }

// Key is a MAC key. Number identifies the key, so that several keys can be in
// use during rotation.
type Key struct {
	Number uint8
	Secret []byte
}

// String hides the secret.
func (k Key) String() string { return fmt.Sprintf("key %d", k.Number) }

// GoString hides the secret when the key is formatted with %#v.
func (k Key) GoString() string { return k.String() }

// Issuer issues IDs owned by one incarnation. It is not safe for concurrent
// use.
type Issuer struct {
	owner Incarnation
	key   Key
	next  uint64
}

// NewIssuer returns an issuer for the given incarnation. The secret of the key
// must have at least MinKeyBytes bytes.
func NewIssuer(owner Incarnation, key Key) (*Issuer, error) {
	if err := checkKey(key); err != nil {
		return nil, err
	}
	return &Issuer{owner: owner, key: key}, nil
}

// Issue returns a new ID and its text form.
func (s *Issuer) Issue(now time.Time, lifetime time.Duration) (ID, string) {
	s.next++
	id := ID{
		Owner:    s.owner,
		Sequence: s.next,
		expiry:   uint32(now.Add(lifetime).Unix()),
		key:      s.key.Number,
	}
	return id, encode(id, s.key.Secret)
}

// Verifier checks the text form of IDs against a set of keys. It is
// immutable and safe for concurrent use.
type Verifier struct {
	secrets map[uint8][]byte
}

// NewVerifier returns a verifier that accepts IDs signed by any of the keys.
func NewVerifier(keys ...Key) (*Verifier, error) {
	v := &Verifier{secrets: make(map[uint8][]byte, len(keys))}
	for _, key := range keys {
		if err := checkKey(key); err != nil {
			return nil, err
		}
		v.secrets[key.Number] = key.Secret
	}
	return v, nil
}

// Parse verifies the text form of an ID. It returns a *ForgedError if the text
// was not signed with a known key. It does not check the expiry.
func (v *Verifier) Parse(text string) (ID, error) {
	var raw [idBytes]byte
	if encoding.DecodedLen(len(text)) != idBytes {
		return ID{}, &ForgedError{Detail: "wrong length", Malformed: true}
	}
	if _, err := encoding.Decode(raw[:], []byte(text)); err != nil {
		return ID{}, &ForgedError{Detail: "not base32hex", Malformed: true}
	}
	// The last character contains a bit that is not part of the ID. It must be
	// zero, so that each ID has only one text form.
	if encoding.EncodeToString(raw[:]) != text {
		return ID{}, &ForgedError{Detail: "not the canonical form", Malformed: true}
	}
	if raw[0] != version {
		return ID{}, &ForgedError{Detail: "unknown version"}
	}
	secret, ok := v.secrets[raw[1]]
	if !ok {
		return ID{}, &ForgedError{Detail: "unknown key"}
	}
	if !hmac.Equal(raw[bodyBytes:], mac(raw[:bodyBytes], secret)) {
		return ID{}, &ForgedError{Detail: "wrong signature"}
	}
	return decodeBody(raw[:bodyBytes]), nil
}

// Text returns the text form in which an ID was issued. The ID must have been
// verified before. Text returns false if the key of the ID is unknown.
func (v *Verifier) Text(id ID) (string, bool) {
	secret, ok := v.secrets[id.key]
	if !ok {
		return "", false
	}
	return encode(id, secret), true
}

// ForgedError reports a text that was not signed with a known key. If Malformed
// is true, the text is not a job ID under any key. Otherwise it may have been
// issued by an entry that uses other keys, for example during key rotation.
type ForgedError struct {
	Detail    string
	Malformed bool
}

func (e *ForgedError) Error() string {
	return "job ID was not issued by this system (" + e.Detail + "): obtain one with POST /v1/job-ids"
}

// KeyError reports a MAC key that is too short.
type KeyError struct {
	Number uint8
	Bytes  int
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("job ID key %d has %d bytes: supply at least %d random bytes", e.Number, e.Bytes, MinKeyBytes)
}

func checkKey(key Key) error {
	if len(key.Secret) < MinKeyBytes {
		return &KeyError{Number: key.Number, Bytes: len(key.Secret)}
	}
	return nil
}

func encode(id ID, secret []byte) string {
	var raw [idBytes]byte
	raw[0] = version
	raw[1] = id.key
	binary.BigEndian.PutUint64(raw[2:], uint64(id.Owner))
	binary.BigEndian.PutUint32(raw[10:], id.expiry)
	binary.BigEndian.PutUint64(raw[14:], id.Sequence)
	copy(raw[bodyBytes:], mac(raw[:bodyBytes], secret))
	return encoding.EncodeToString(raw[:])
}

func decodeBody(body []byte) ID {
	return ID{
		key:      body[1],
		Owner:    Incarnation(binary.BigEndian.Uint64(body[2:])),
		expiry:   binary.BigEndian.Uint32(body[10:]),
		Sequence: binary.BigEndian.Uint64(body[14:]),
	}
}

func mac(body, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
