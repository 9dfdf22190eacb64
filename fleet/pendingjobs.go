package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Limits of the count of pending jobs.
const (
	// maxPendingAge is the maximum age of the total.
	maxPendingAge = 700 * time.Millisecond
	// shardPendingTimeout bounds the wait for a shard of this entry. It is less
	// than ownerPendingTimeout, so that an owner with one slow shard answers.
	shardPendingTimeout = 300 * time.Millisecond
	ownerPendingTimeout = 500 * time.Millisecond
	// maxPendingReuse is the age up to which a count is used for a shard or an
	// owner that does not answer.
	maxPendingReuse = 10 * time.Second
)

// pendingCount is a number of jobs by queue, of which no task has started.
type pendingCount struct {
	jobs map[string]int
	at   time.Time
}

// pendingCounter remembers the latest counts. It is safe for concurrent use.
type pendingCounter struct {
	mu      sync.Mutex
	total   pendingCount
	byShard latestCounts[int]
	byOwner latestCounts[cells.Incarnation]
}

// latestCounts holds the latest count of each shard or owner, because one that
// does not answer for a moment still has its jobs. It is safe for concurrent use.
type latestCounts[K comparable] struct {
	mu     sync.Mutex
	counts map[K]pendingCount
}

// answered stores the count of a source.
func (l *latestCounts[K]) answered(key K, jobs map[string]int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[K]pendingCount)
	}
	l.counts[key] = pendingCount{jobs, now}
}

// latest returns the count of a source that has not answered: the one before, or
// nil if that is older than maxPendingReuse.
func (l *latestCounts[K]) latest(key K, now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.counts[key]
	if !known || now.Sub(last.at) > maxPendingReuse {
		return nil
	}
	return last.jobs
}

// pendingJobs returns the number of stored jobs of a queue of which no task has
// started. The count may be as old as maxPendingAge, and for owners that do not
// answer as old as maxPendingReuse.
func (sj *storedJobs) pendingJobs(ctx context.Context, queue string) int {
	c := &sj.pending
	c.mu.Lock()
	total := c.total
	c.mu.Unlock()
	if time.Since(total.at) >= maxPendingAge {
		total = pendingCount{sj.countPending(ctx), time.Now()}
		c.mu.Lock()
		c.total = total
		c.mu.Unlock()
	}
	return total.jobs[queue]
}

// countPending counts the pending jobs of all owners, by queue.
func (sj *storedJobs) countPending(ctx context.Context) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, ownerPendingTimeout)
	defer cancel()
	owners := sj.otherOwners()
	counts := make(chan map[string]int, len(owners)+1)
	go func() { counts <- sj.countPendingLocally(ctx) }()
	for _, owner := range owners {
		go func() { counts <- sj.countPendingAt(ctx, owner) }()
	}
	sum := make(map[string]int)
	for range len(owners) + 1 {
		addCounts(sum, <-counts)
	}
	return sum
}

// otherOwners returns the other entries that own shards.
func (sj *storedJobs) otherOwners() map[cells.Incarnation]cells.Entry {
	view := sj.loop.Latest().View
	others := make(map[cells.Incarnation]cells.Entry)
	for shard := range sj.runners {
		if owner, ok := view.Owner(shard, len(sj.runners)); ok && owner.Incarnation != view.Self.Incarnation {
			others[owner.Incarnation] = owner
		}
	}
	return others
}

// countPendingAt asks another owner for its count.
func (sj *storedJobs) countPendingAt(ctx context.Context, owner cells.Entry) map[string]int {
	reply, err := sj.peers.client(owner.Address).PendingKept(ctx, &fleetpb.PendingRequest{})
	if err != nil {
		sj.log.Warn("pending_unknown", zap.String("owner", owner.Name), zap.Error(err))
		return sj.pending.byOwner.latest(owner.Incarnation, time.Now())
	}
	jobs := make(map[string]int, len(reply.GetJobs()))
	for queue, n := range reply.GetJobs() {
		jobs[queue] = int(n)
	}
	sj.pending.byOwner.answered(owner.Incarnation, jobs, time.Now())
	return jobs
}

// countPendingLocally counts the pending jobs of the shards that this entry
// owns, by queue.
func (sj *storedJobs) countPendingLocally(ctx context.Context) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, shardPendingTimeout)
	defer cancel()
	counts := make(chan map[string]int, len(sj.runners))
	asked := 0
	for shard, r := range sj.runners {
		if sj.owns(shard) {
			asked++
			go func() { counts <- sj.countPendingOf(ctx, shard, r) }()
		}
	}
	sum := make(map[string]int)
	for range asked {
		addCounts(sum, <-counts)
	}
	return sum
}

// countPendingOf asks a shard of this entry for its count.
func (sj *storedJobs) countPendingOf(ctx context.Context, shard int, r *keep.Runner) map[string]int {
	jobs, result := r.Pending(ctx)
	if result != stored.Stored {
		return sj.pending.byShard.latest(shard, time.Now())
	}
	sj.pending.byShard.answered(shard, jobs, time.Now())
	return jobs
}

func addCounts(sum, counts map[string]int) {
	for queue, n := range counts {
		sum[queue] += n
	}
}
