// Package problem builds the error bodies of the HTTP APIs (RFC 9457) and maps
// error codes to HTTP statuses.
package problem

import (
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
)

// typePrefix is the path prefix of the type URI of a problem.
const typePrefix = "/problems/"

// statuses maps codes to HTTP statuses. Codes that are not listed map to 500.
var statuses = map[callerapi.Code]int{
	callerapi.CodeBadRequest:       http.StatusBadRequest,
	callerapi.CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	callerapi.CodeUnauthorized:     http.StatusUnauthorized,
	callerapi.CodeForgedID:         http.StatusForbidden,
	callerapi.CodeNotFound:         http.StatusNotFound,
	callerapi.CodeTooManyRequests:  http.StatusServiceUnavailable,
	callerapi.CodeOwnerUnreachable: http.StatusServiceUnavailable,
	callerapi.CodeOwnerGone:        http.StatusGone,
	callerapi.CodeNotReady:         http.StatusServiceUnavailable,
	callerapi.CodeInternal:         http.StatusInternalServerError,

	callerapi.Code(dispatch.CodeUnknownService): http.StatusUnprocessableEntity,
	callerapi.Code(dispatch.CodeUnknownTeam):    http.StatusForbidden,
	callerapi.Code(dispatch.CodeQuota):          http.StatusTooManyRequests,
	callerapi.Code(dispatch.CodeOverload):       http.StatusServiceUnavailable,
	callerapi.Code(dispatch.CodeNeverRuns):      http.StatusUnprocessableEntity,
	callerapi.Code(dispatch.CodeNoEndpoint):     http.StatusServiceUnavailable,
	callerapi.Code(dispatch.CodeDraining):       http.StatusServiceUnavailable,
	callerapi.CodeEvacuated:                     http.StatusServiceUnavailable,
	callerapi.Code(dispatch.CodeExpired):        http.StatusGone,
	callerapi.Code(dispatch.CodeUnknownJob):     http.StatusNotFound,
	callerapi.Code(dispatch.CodeClosed):         http.StatusConflict,
	callerapi.Code(dispatch.CodeTaskFailed):     http.StatusBadGateway,
	callerapi.Code(dispatch.CodeTaskLost):       http.StatusGatewayTimeout,
	callerapi.Code(dispatch.CodeCancelled):      http.StatusConflict,
	callerapi.Code(dispatch.CodeNotOwner):       http.StatusServiceUnavailable,
}

// New returns a problem with the status of its code.
func New(code callerapi.Code, execution callerapi.Execution, detail string) *callerapi.Problem {
	status, ok := statuses[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	return &callerapi.Problem{
		Type:      typePrefix + string(code),
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    detail,
		Code:      code,
		Execution: execution,
	}
}

// NotRun returns a problem for a request that started no task.
func NotRun(code callerapi.Code, detail string) *callerapi.Problem {
	return New(code, callerapi.NotRun, detail)
}

// Retry returns a problem that asks the caller to retry after the given time.
func Retry(code callerapi.Code, execution callerapi.Execution, detail string, after time.Duration) *callerapi.Problem {
	p := New(code, execution, detail)
	p.RetryAfterMS = after.Milliseconds()
	return p
}

// FromCore converts a problem of package dispatch.
func FromCore(p *dispatch.Problem) *callerapi.Problem {
	return Retry(callerapi.Code(p.Code), callerapi.Execution(p.Execution), p.Detail, p.RetryAfter)
}
