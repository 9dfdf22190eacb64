package handover

import "fmt"

// FieldError reports a message that cannot be converted.
type FieldError struct {
	Field string
	Cause error
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("handover: field %s is invalid (%v): run the same release on all entries", e.Field, e.Cause)
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// UnknownKeyError reports a job ID whose MAC key this entry does not have.
type UnknownKeyError struct{ Job string }

func (e *UnknownKeyError) Error() string {
	return "job " + e.Job + " was signed with a key that this entry does not have: list it in job_ids.key_files"
}

// MissingSubmissionError reports an open job whose submission is not available.
type MissingSubmissionError struct{ Job string }

func (e *MissingSubmissionError) Error() string {
	return "the submission of open job " + e.Job + " is missing: keep it until the job ends"
}
