package main

import (
	"flag"
	"fmt"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/follow"
	"lovagespread.example/logservice/operate"
)

// exitCode is the exit code of the process.
type exitCode int

// Exit codes.
const (
	exitDone       exitCode = 0
	exitFailed     exitCode = 1
	exitUsage      exitCode = 2
	exitProblems   exitCode = 3
	exitRejected   exitCode = 4
	exitUnknown    exitCode = 5
	exitPlatform   exitCode = 6
	exitNotInForce exitCode = 7
	exitWarnings   exitCode = 8
	exitDiffers    exitCode = 9
)

var exitCodes = []struct {
	code    exitCode
	meaning string
}{
	{exitDone, "done"},
	{exitFailed, "failed for another reason; nothing was changed"},
	{exitUsage, "wrong command line"},
	{exitProblems, "a file or the resulting configuration has problems; nothing was changed"},
	{exitRejected, "rejected: another change on the same version came first"},
	{exitUnknown, "unknown whether the change is or will be in force"},
	{exitPlatform, "the platform refused or could not be reached; nothing was changed"},
	{exitNotInForce, "accepted, but not in force at every entry of -entries yet"},
	{exitWarnings, "check found warnings, but no error"},
	{exitDiffers, "differs from what is in force (check -platform or -store without warnings, diff -exit-code)"},
}

// usageError reports an invalid command line.
type usageError struct{ what string }

func (e *usageError) Error() string { return e.what }

func usagef(format string, args ...any) error {
	return &usageError{what: fmt.Sprintf(format, args...)}
}

func exitCodeFor(err error) exitCode {
	var (
		usage       *usageError
		problems    *tomlcheck.Problems
		rejected    *follow.RejectedError
		unknown     *follow.OutcomeUnknownError
		unknownLog  *logservice.UnknownOutcomeError
		refused     *logservice.RefusedError
		unavailable *logservice.UnavailableError
		notInForce  *notInForceError
		badBase     *operate.BaseError
		warnings    *warningsError
		differs     *differsError
	)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &usage), errors.As(err, &badBase):
		return exitUsage
	case errors.As(err, &problems):
		return exitProblems
	case errors.As(err, &rejected):
		return exitRejected
	case errors.As(err, &unknown), errors.As(err, &unknownLog):
		return exitUnknown
	case errors.As(err, &refused), errors.As(err, &unavailable):
		return exitPlatform
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &warnings):
		return exitWarnings
	case errors.As(err, &differs):
		return exitDiffers
	}
	return exitFailed
}
