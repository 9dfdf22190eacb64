package appender

import (
	"fmt"

	"lovagespread.example/logservice"
)

// Kind is a kind of record. Lower values have higher priority.
type Kind int

// Kinds of records.
const (
	Changes Kind = iota
	Claims
	Outcomes
	kinds = 3
)

var (
	kindNames   = [kinds]string{"changes", "claims", "outcomes"}
	kindStreams = [kinds]string{logservice.StreamConfiguration, logservice.StreamClaims, logservice.StreamOutcomes}
)

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Stream returns the stream that holds records of the kind.
func (k Kind) Stream() string { return kindStreams[k] }

// droppable reports whether old records may be dropped to make space for new
// ones.
func (k Kind) droppable() bool { return k == Outcomes }

// FullError reports that a queue is full and that the record was not written.
type FullError struct{ Kind Kind }

func (e *FullError) Error() string {
	return fmt.Sprintf("too many %s are waiting for the log and this one was not written: try again once the log answers faster", e.Kind)
}
