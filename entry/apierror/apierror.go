// Package apierror makes huma report every error as a callerapi.Problem.
//
// huma holds its error constructor in a package variable, so importing this
// package sets it for all APIs of the process.
package apierror

import (
	"context"
	"net/http"
	"strings"

	"github.com/danielgtaylor/huma/v2"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/problem"
)

func init() {
	huma.NewError = func(status int, msg string, errs ...error) huma.StatusError {
		return newError(callerapi.Unknown, status, msg, errs)
	}
	huma.NewErrorWithContext = func(ctx huma.Context, status int, msg string, errs ...error) huma.StatusError {
		return newError(executionOf(ctx), status, msg, errs)
	}
}

// Error is a Problem that huma can write.
type Error struct{ *callerapi.Problem }

// GetStatus returns the HTTP status.
func (e *Error) GetStatus() int { return e.Status }

// ContentType returns the media type of problems.
func (e *Error) ContentType(string) string { return callerapi.ProblemMedia }

// ExecutionResolver tells what is known of the job that a bad request names.
type ExecutionResolver interface {
	// Execution returns whether the job was run, by the text form of its ID.
	Execution(ctx context.Context, jobID string) callerapi.Execution
}

type executionResolverKey struct{}

// WithExecutionResolver makes errors of the request tell the truth about its job.
func WithExecutionResolver(ctx huma.Context, e ExecutionResolver) huma.Context {
	return huma.WithValue(ctx, executionResolverKey{}, e)
}

// executionOf returns what may be said of a request that was refused before
// it reached the decisions. A request that names no job has run nothing.
func executionOf(ctx huma.Context) callerapi.Execution {
	if ctx == nil {
		return callerapi.Unknown
	}
	id := ctx.Param("id")
	if id == "" {
		return callerapi.NotRun
	}
	e, ok := ctx.Context().Value(executionResolverKey{}).(ExecutionResolver)
	if !ok {
		return callerapi.Unknown
	}
	return e.Execution(ctx.Context(), id)
}

func newError(execution callerapi.Execution, status int, msg string, errs []error) *Error {
	p := problem.New(codeOf(status), execution, detail(msg, errs))
	if status != 0 {
		p.Status = status
		p.Title = http.StatusText(status)
	}
	return &Error{p}
}

func codeOf(status int) callerapi.Code {
	switch status {
	case http.StatusUnauthorized:
		return callerapi.CodeUnauthorized
	case http.StatusRequestEntityTooLarge:
		return callerapi.CodeBodyTooLarge
	case http.StatusNotFound:
		return callerapi.CodeNotFound
	}
	if status >= http.StatusInternalServerError {
		return callerapi.CodeInternal
	}
	return callerapi.CodeBadRequest
}

func detail(msg string, errs []error) string {
	parts := []string{msg}
	for _, err := range errs {
		if err != nil {
			parts = append(parts, err.Error())
		}
	}
	return strings.Join(parts, "; ") + ": see /openapi.json for what is accepted"
}
