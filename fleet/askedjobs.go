package fleet

import (
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
)

const (
	// askedJobsPeriod is how long at least it is remembered that another entry has asked
	// for a job. A request that a cut has held up may arrive here meanwhile.
	askedJobsPeriod = 5 * time.Second
	// maxAskedJobs bounds the jobs of one period.
	maxAskedJobs = 1 << 15
)

// askedJobs remembers the returned jobs that other entries have asked for. It is safe for
// concurrent use.
type askedJobs struct {
	mu      sync.Mutex
	began   time.Time // of the present period
	present map[leased.JobID]time.Duration
	before  map[leased.JobID]time.Duration // of the period before
}

// add remembers jobs. If there are too many in one period, the further ones are not
// remembered.
func (a *askedJobs) add(now time.Time, jobs []returnedJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.present == nil || now.Sub(a.began) > askedJobsPeriod {
		a.began, a.before, a.present = now, a.present, make(map[leased.JobID]time.Duration)
	}
	for _, j := range jobs {
		patience, known := a.present[j.id]
		if known && patience < j.patience || !known && len(a.present) >= maxAskedJobs {
			continue
		}
		a.present[j.id] = j.patience
	}
}

// sentLater reports whether a caller is known to have sent a job to another entry later
// than a given sending.
func (a *askedJobs) sentLater(job returnedJob) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, jobs := range []map[leased.JobID]time.Duration{a.present, a.before} {
		if patience, known := jobs[job.id]; known && patience < job.patience {
			return true
		}
	}
	return false
}
