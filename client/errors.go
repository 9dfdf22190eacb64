package client

import "fmt"

// OutcomeUnknownError reports that a job was submitted and that it is not known
// whether it was run.
type OutcomeUnknownError struct {
	ID    string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of job %s is unknown (%v): find out whether it took effect before you submit it again", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotSubmittedError reports that no job ID could be obtained and that the job was
// not run.
type NotSubmittedError struct{ Cause error }

func (e *NotSubmittedError) Error() string {
	return fmt.Sprintf("no job ID could be obtained (%v): check the address and the token, then try again", e.Cause)
}

// Unwrap returns the cause.
func (e *NotSubmittedError) Unwrap() error { return e.Cause }

// ReplyError reports a reply that does not follow the caller API, such as the
// reply of a balancer that has no ready entry.
type ReplyError struct{ Status int }

func (e *ReplyError) Error() string {
	return fmt.Sprintf("the reply with status %d does not follow the caller API: check the balancer", e.Status)
}
