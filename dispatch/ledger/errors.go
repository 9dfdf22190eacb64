package ledger

import (
	"fmt"

	"lovagespread.example/dispatch/jobid"
)

// WrongSuccessorError reports a part that was meant for another incarnation.
type WrongSuccessorError struct {
	To   jobid.Incarnation
	Self jobid.Incarnation
}

func (e *WrongSuccessorError) Error() string {
	return fmt.Sprintf("hand-over is for %s, this entry is %s: choose a live successor and begin again", e.To, e.Self)
}

// StoppingError reports a receiver that stops itself.
type StoppingError struct {
	Self jobid.Incarnation
}

func (e *StoppingError) Error() string {
	return fmt.Sprintf("entry %s is stopping: choose another successor", e.Self)
}

// StaleSessionError reports a part of a hand-over that was refused or begun
// anew.
type StaleSessionError struct {
	From    jobid.Incarnation
	Session uint64
}

func (e *StaleSessionError) Error() string {
	return fmt.Sprintf("hand-over %d of %s was refused or replaced: begin a new one", e.Session, e.From)
}

// MissingPartError reports a last part that came before another one.
type MissingPartError struct {
	From jobid.Incarnation
	Have int // parts received, with the last
	Want int
}

func (e *MissingPartError) Error() string {
	return fmt.Sprintf("%d of %d parts of the hand-over of %s have come: begin again and send the last part after the others are confirmed", e.Have, e.Want, e.From)
}

// PageSizeError reports a page record of the wrong size.
type PageSizeError struct {
	Words int
}

func (e *PageSizeError) Error() string {
	return fmt.Sprintf("page of %d words instead of %d: run the same version on both entries", e.Words, wordsPerPage)
}
