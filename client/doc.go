// Package client is the Go client of the caller API.
//
//	c := client.New(client.Options{URL: "http://balancer:8080", Token: token})
//	answer, err := c.Do(ctx, callerapi.Job{Service: "booking", Tasks: tasks})
//
// Do obtains a job ID, submits the job and returns its whole answer. While
// the outcome is open it submits again with the same ID, which starts nothing
// twice. It takes another ID only after a proof that the job was not run.
//
// # Errors
//
//   - *callerapi.Problem: the job was refused or has failed; its Execution is
//     not_run or ran.
//   - *OutcomeUnknownError: whether the job was run is not known.
//   - *NotSubmittedError: no job ID could be obtained; nothing was run.
package client
