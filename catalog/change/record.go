package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagespread.example/catalog"
)

// MaxFormat is the newest record format that this program reads.
const MaxFormat = 2

// FirstFormat is the record format in use until a change raises it.
const FirstFormat = 1

// evacuationFormat is the record format that introduced the evacuation of
// failure domains.
const evacuationFormat = 2

// Change is one change of the configuration.
type Change struct {
	ID     string    // unique; the same in all duplicates of the change
	Base   uint64    // version on which the change is based
	Author string    // operator
	Time   time.Time // when the author made the change
	Body   Body
}

// Snapshot is a complete version of the configuration.
type Snapshot struct {
	Catalog    *catalog.Catalog
	NextOffset int64 // offset of the first record that is not included
}

// Record is the content of a record of the stream. Exactly one field is set.
type Record struct {
	Change   *Change
	Snapshot *Snapshot
}

// UnreadableError reports why a record is skipped.
type UnreadableError struct {
	What  string
	Cause error // may be nil
}

func (e *UnreadableError) Error() string {
	if e.Cause == nil {
		return e.What + ": publish the change again with the current lovagectl"
	}
	return fmt.Sprintf("%s (%v): publish the change again with the current lovagectl", e.What, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// envelope is the outer JSON object of every record.
type envelope struct {
	Format   int             `json:"format"`
	Checksum string          `json:"checksum"` // xxhash of Change or Snapshot, 16 hexadecimal digits
	Change   json.RawMessage `json:"change,omitempty"`
	Snapshot json.RawMessage `json:"snapshot,omitempty"`
}

type wireChange struct {
	ID     string          `json:"id"`
	Base   uint64          `json:"base"`
	Author string          `json:"author"`
	Time   time.Time       `json:"time"`
	Kind   Kind            `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

type wireSnapshot struct {
	NextOffset int64            `json:"through"`
	Catalog    *catalog.Catalog `json:"catalog"`
}

// EncodeChange encodes a change as a record.
func EncodeChange(c Change) ([]byte, error) {
	body, err := json.Marshal(c.Body)
	if err != nil {
		return nil, err
	}
	wire := wireChange{ID: c.ID, Base: c.Base, Author: c.Author, Time: c.Time, Kind: c.Body.Kind(), Body: body}
	text, err := json.Marshal(wire)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{Format: c.Body.format(), Checksum: checksum(text), Change: text})
}

// EncodeSnapshot encodes a snapshot as a record.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	text, err := json.Marshal(wireSnapshot{NextOffset: s.NextOffset, Catalog: s.Catalog})
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{Format: formatInUse(s.Catalog), Checksum: checksum(text), Snapshot: text})
}

// Decode decodes a record. format is the record format in use. The error is an
// *UnreadableError.
func Decode(data []byte, format int) (Record, error) {
	var e envelope
	if err := decodeStrict(data, &e); err != nil {
		return Record{}, &UnreadableError{What: "not a configuration record", Cause: err}
	}
	if e.Format < FirstFormat || e.Format > min(format, MaxFormat) {
		return Record{}, &UnreadableError{What: fmt.Sprintf("record of format %d, but %d is in use", e.Format, format)}
	}
	switch {
	case e.Change != nil && e.Snapshot == nil && checksum(e.Change) == e.Checksum:
		return decodeChange(e.Change)
	case e.Snapshot != nil && e.Change == nil && checksum(e.Snapshot) == e.Checksum:
		return decodeSnapshot(e.Snapshot)
	}
	return Record{}, &UnreadableError{What: "record with a wrong checksum"}
}

func decodeChange(text []byte) (Record, error) {
	var wire wireChange
	if err := decodeStrict(text, &wire); err != nil {
		return Record{}, &UnreadableError{What: "not a change", Cause: err}
	}
	if wire.ID == "" {
		return Record{}, &UnreadableError{What: "change without ID"}
	}
	body, err := decodeBody(wire.Kind, wire.Body)
	if err != nil {
		return Record{}, err
	}
	c := &Change{ID: wire.ID, Base: wire.Base, Author: wire.Author, Time: wire.Time, Body: body}
	return Record{Change: c}, nil
}

func decodeSnapshot(text []byte) (Record, error) {
	var wire wireSnapshot
	if err := decodeStrict(text, &wire); err != nil {
		return Record{}, &UnreadableError{What: "not a snapshot", Cause: err}
	}
	if wire.Catalog == nil || wire.NextOffset < 0 {
		return Record{}, &UnreadableError{What: "incomplete snapshot"}
	}
	s := Snapshot{Catalog: wire.Catalog, NextOffset: wire.NextOffset}
	return Record{Snapshot: &s}, nil
}

// decodeStrict decodes JSON and rejects unknown fields, so that all programs that
// know the same format accept the same records.
func decodeStrict(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &UnreadableError{What: "text after the record"}
	}
	return nil
}

func checksum(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// Digest returns the digest of a catalog. Catalogs with equal digests are taken
// to be equal.
func Digest(c *catalog.Catalog) []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field of a catalog can be encoded as JSON
	}
	digest := xxhash.New()
	_, _ = digest.Write(text) // never fails
	return digest.Sum(nil)
}

// formatInUse returns the record format in use at the version c.
func formatInUse(c *catalog.Catalog) int { return max(c.Format, FirstFormat) }
