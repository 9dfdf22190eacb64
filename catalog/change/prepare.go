package change

import (
	"fmt"
	"math"

	"lovagespread.example/catalog"
)

// NoChangeError reports that a change has no effect.
type NoChangeError struct{ Version uint64 }

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("the change alters nothing in version %d: it need not be published", e.Version)
}

// MaxRecordBytes is the size of the largest record that the log accepts. A
// complete configuration must fit into one record: the snapshot that preserves it
// when the log trims older records.
const MaxRecordBytes = 1 << 20

// TooLargeError reports that a configuration does not fit into a snapshot.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the resulting configuration takes %d bytes of at most %d: remove services or teams that are not in use",
		e.Bytes, MaxRecordBytes)
}

// FormatError reports that a change needs a newer record format than the one in
// use. Every reader would skip it.
type FormatError struct {
	Kind   Kind
	Needed int
	InUse  int
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("a change of kind %s needs record format %d, but %d is in use: run lovagectl raise-format %d once every program can read it",
		e.Kind, e.Needed, e.InUse, e.Needed)
}

// Prepare applies body to the current version and checks the complete resulting
// configuration, which it returns. The error is a *tomlcheck.Problems, a
// *NoChangeError, a *TooLargeError or a *FormatError. origin names the source of the
// change in errors.
func Prepare(origin string, current *catalog.Catalog, body Body) (*catalog.Catalog, error) {
	if inUse := formatInUse(current); body.format() > inUse {
		return nil, &FormatError{Kind: body.Kind(), Needed: body.format(), InUse: inUse}
	}
	next := Apply(current, Change{Body: body})
	if err := catalog.Check(origin, next); err != nil {
		return nil, err
	}
	same := *next
	same.Version = current.Version
	if string(Digest(&same)) == string(Digest(current)) {
		return nil, &NoChangeError{Version: current.Version}
	}
	snapshot, err := EncodeSnapshot(Snapshot{Catalog: next, NextOffset: math.MaxInt64})
	if err != nil {
		return nil, err
	}
	if len(snapshot) > MaxRecordBytes {
		return nil, &TooLargeError{Bytes: len(snapshot)}
	}
	return next, nil
}
