// Package apierror makes huma report every error as a callerapi.Problem.
//
// huma keeps its error constructor in a package variable, so importing this
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

// Error is a Problem that implements huma.StatusError.
type Error struct{ *callerapi.Problem }

// GetStatus returns the HTTP status of the problem.
func (e *Error) GetStatus() int { return e.Status }

// ContentType returns the media type of problems.
func (e *Error) ContentType(string) string { return callerapi.ProblemMediaType }

// ExecutionResolver determines whether the job that an invalid request names may
// have run.
type ExecutionResolver interface {
	// Execution returns what is known about the execution of a job. jobID is the
	// text form of its ID.
	Execution(ctx context.Context, jobID string) callerapi.Execution
}

type executionResolverKey struct{}

// WithExecutionResolver returns a context whose errors report the execution of
// the job that the request names, as determined by resolver.
func WithExecutionResolver(ctx huma.Context, resolver ExecutionResolver) huma.Context {
	return huma.WithValue(ctx, executionResolverKey{}, resolver)
}

// executionOf returns the execution to report for a request that was rejected
// before it reached package jobs. A request that names no job has run nothing.
func executionOf(ctx huma.Context) callerapi.Execution {
	if ctx == nil {
		return callerapi.Unknown
	}
	id := ctx.Param("id")
	if id == "" {
		return callerapi.NotRun
	}
	resolver, ok := ctx.Context().Value(executionResolverKey{}).(ExecutionResolver)
	if !ok {
		return callerapi.Unknown
	}
	return resolver.Execution(ctx.Context(), id)
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
