package logservice

import (
	"fmt"
	"net/http"
)

// RefusedError reports that the platform refused a request and that the request
// had no effect.
type RefusedError struct {
	Operation string
	Status    int // HTTP status
	Detail    string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: the platform refused it with status %d (%s) and nothing was changed: %s",
		e.Operation, e.Status, e.Detail, refusalRemedy(e.Status))
}

// UnknownOutcomeError reports that a write may or may not have taken effect.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: no usable reply (%v), so the write may have taken effect: read the stream to learn the outcome before writing again",
		e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports that the platform could not be reached or did not
// reply, and that nothing was changed.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: the platform is unavailable (%v) and nothing was changed: check its URL and health, then try again",
		e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// TrimmedError reports that the log has trimmed the records between two offsets.
type TrimmedError struct {
	Stream string
	From   int64 // first offset requested
	Oldest int64 // first offset retained
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: records %d to %d are no longer retained: continue from offset %d with a snapshot or a copy of another entry",
		e.Stream, e.From, e.Oldest-1, e.Oldest)
}

// CheckRetained returns a *TrimmedError if the log has trimmed the record at
// offset from, and nil otherwise.
func CheckRetained(stream string, from, oldest int64) error {
	if from >= oldest {
		return nil
	}
	return &TrimmedError{Stream: stream, From: from, Oldest: oldest}
}

// Temporary reports whether the same request may succeed later.
func (e *RefusedError) Temporary() bool { return e.Status == http.StatusTooManyRequests }
