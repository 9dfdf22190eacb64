package usersplatform

import (
	"context"
	"net/http"
	"time"

	"lovagespread.example/dispatch/leased"
)

// StoredJob is a job of equal tasks that outlives its caller.
type StoredJob struct {
	ID    leased.JobID
	Tasks int
	Run   time.Duration // of a task
	// Label is required of the executors; empty: none.
	Label string
	// FailShare is the share of the runs that fail.
	FailShare float64
}

// SubmitStored submits a stored job.
func (d *Deployment) SubmitStored(ctx context.Context, client *http.Client, front string, job *StoredJob, timeout time.Duration) Response {
	d.mu.Lock()
	d.failShares[job.ID] = job.FailShare
	d.mu.Unlock()
	return d.call(ctx, client, http.MethodPost, front, job.ID, d.requestBody(job.ID, false, job.Tasks, job.Run, job.Label), timeout)
}

// QueryStored asks an entry for the state of a stored job.
func (d *Deployment) QueryStored(ctx context.Context, client *http.Client, front string, id leased.JobID, timeout time.Duration) Response {
	return d.call(ctx, client, http.MethodGet, front, id, "", timeout)
}

// CancelStored asks an entry to cancel a stored job.
func (d *Deployment) CancelStored(ctx context.Context, client *http.Client, front string, id leased.JobID, timeout time.Duration) Response {
	return d.call(ctx, client, http.MethodDelete, front, id, "", timeout)
}

// Pending asks an entry for the number of jobs of which no task has started.
func (d *Deployment) Pending(ctx context.Context, client *http.Client, front string, timeout time.Duration) Response {
	return d.call(ctx, client, http.MethodGet, front, "", "", timeout)
}
