package ledger

import (
	"fmt"

	"lovagespread.example/dispatch/jobid"
)

// WrongSuccessorError reports a part that is intended for another incarnation.
type WrongSuccessorError struct {
	To   jobid.Incarnation
	Self jobid.Incarnation
}

func (e *WrongSuccessorError) Error() string {
	return fmt.Sprintf("handover is for %s, but this entry is %s: choose a running successor and start again", e.To, e.Self)
}

// StoppingError reports that the receiver is itself stopping.
type StoppingError struct {
	Self jobid.Incarnation
}

func (e *StoppingError) Error() string {
	return fmt.Sprintf("entry %s is stopping: choose another successor", e.Self)
}

// StaleSessionError reports a part of a handover that was refused or replaced
// by a newer one.
type StaleSessionError struct {
	From    jobid.Incarnation
	Session uint64
}

func (e *StaleSessionError) Error() string {
	return fmt.Sprintf("handover %d from %s was refused or replaced: start a new one", e.Session, e.From)
}

// MissingPartError reports a last part that arrived before another part.
type MissingPartError struct {
	From jobid.Incarnation
	Have int // parts received, including the last
	Want int
}

func (e *MissingPartError) Error() string {
	return fmt.Sprintf("received %d of %d parts of the handover from %s: start again and send the last part after all others are confirmed", e.Have, e.Want, e.From)
}

// PageSizeError reports a page record of the wrong size.
type PageSizeError struct {
	Words int
}

func (e *PageSizeError) Error() string {
	return fmt.Sprintf("page has %d words instead of %d: run the same version on both entries", e.Words, wordsPerPage)
}
