// Package client is the Go client of the caller API.
//
//	c := client.New(client.Options{URL: "http://balancer:8080", Token: token})
//	answer, err := c.Do(ctx, callerapi.Job{Service: "booking", Tasks: tasks})
//
// Do obtains a job ID, submits the job and returns its complete answer. While
// the outcome is not known, it resubmits the job with the same ID; this is
// idempotent and starts no task twice. It uses another ID only after a proof that
// the job was not run.
//
// # Errors
//
//   - *callerapi.Problem: the job was refused or has failed; its Execution is
//     not_run or ran.
//   - *OutcomeUnknownError: it is not known whether the job was run.
//   - *NotSubmittedError: no job ID could be obtained; nothing was run.
package client
