package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Limits of the count of pending jobs. The total may be two seconds old.
const (
	// maxPendingAge is the time for which a total is used.
	maxPendingAge = 700 * time.Millisecond
	// maxPendingReuse is the age up to which the latest count of a shard stands in for
	// one that cannot be had.
	maxPendingReuse = 2*time.Second - maxPendingAge
	// shardPendingTimeout bounds the wait for a shard of this entry. It is less
	// than ownerPendingTimeout, so that an owner with one slow shard answers.
	shardPendingTimeout = 300 * time.Millisecond
	ownerPendingTimeout = 500 * time.Millisecond
)

// queueCounts is a number of jobs by queue, of which no task has started.
type queueCounts map[string]int

// shardCounts holds the counts of some shards. A shard that is absent is not known.
type shardCounts map[int]queueCounts

// PendingUnknownError reports that the pending jobs of some shards cannot be counted at
// the moment, because no owner of them has answered.
type PendingUnknownError struct{ Shards []int }

func (e *PendingUnknownError) Error() string {
	return fmt.Sprintf("the pending jobs of shards %v have not been counted for %v: ask again", e.Shards, maxPendingReuse)
}

// pendingCount is the result of a count.
type pendingCount struct {
	jobs queueCounts
	err  error
	at   time.Time // when it was begun
}

// pendingCounter remembers the latest total and the latest counts of the shards. It is
// safe for concurrent use.
type pendingCounter struct {
	mu     sync.Mutex
	total  pendingCount
	latest map[int]pendingCount // by shard
}

// recent returns the latest total, unless that is too old.
func (c *pendingCounter) recent(now time.Time) (pendingCount, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, now.Sub(c.total.at) < maxPendingAge
}

// add adds the counts that were begun at a time and returns the total. The latest count
// of a shard stands in for a missing one: a shard whose owner does not answer, or has been
// lost, still has its jobs. If there is none that is recent enough, the total is not known.
func (c *pendingCounter) add(counts shardCounts, shards int, begunAt time.Time) pendingCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		c.latest = make(map[int]pendingCount)
	}
	for shard, jobs := range counts {
		if !begunAt.Before(c.latest[shard].at) {
			c.latest[shard] = pendingCount{jobs: jobs, at: begunAt}
		}
	}
	c.total = pendingCount{jobs: make(queueCounts), at: begunAt}
	var missing []int
	for shard := range shards {
		last, known := c.latest[shard]
		if !known || begunAt.Sub(last.at) > maxPendingReuse {
			missing = append(missing, shard)
			continue
		}
		c.total.jobs.add(last.jobs)
	}
	if len(missing) > 0 {
		c.total.jobs, c.total.err = nil, &PendingUnknownError{missing}
	}
	return c.total
}

func (q queueCounts) add(other queueCounts) {
	for queue, n := range other {
		q[queue] += n
	}
}

// pendingJobs returns the number of stored jobs of a queue of which no task has started.
// It returns a *PendingUnknownError if the jobs of a shard are not known.
func (sj *storedJobs) pendingJobs(ctx context.Context, queue string) (int, error) {
	now := time.Now()
	total, recent := sj.pending.recent(now)
	if !recent {
		total = sj.pending.add(sj.countPending(ctx), max(1, len(sj.runners())), now)
		if total.err != nil {
			sj.log.Warn("pending_unknown", zap.Error(total.err))
		}
	}
	return total.jobs[queue], total.err
}

// countPending asks all owners for the counts of their shards.
func (sj *storedJobs) countPending(ctx context.Context) shardCounts {
	ctx, cancel := context.WithTimeout(ctx, ownerPendingTimeout)
	defer cancel()
	owners := sj.otherOwners()
	answers := make(chan shardCounts, len(owners)+1)
	go func() { answers <- sj.countPendingLocally(ctx) }()
	for _, owner := range owners {
		go func() { answers <- sj.countPendingAt(ctx, owner) }()
	}
	all := make(shardCounts)
	for range len(owners) + 1 {
		for shard, jobs := range <-answers {
			all[shard] = jobs
		}
	}
	return all
}

// shardOwner is another entry that owns shards.
type shardOwner struct {
	cells.Entry
	shards []int
}

// otherOwners returns the other entries that own shards.
func (sj *storedJobs) otherOwners() []shardOwner {
	view := sj.loop.Latest().View
	shards := make(map[cells.Incarnation][]int)
	owners := make(map[cells.Incarnation]cells.Entry)
	runners := sj.runners()
	for shard := range runners {
		if owner, ok := view.Owner(shard, len(runners)); ok && owner.Incarnation != view.Self.Incarnation {
			shards[owner.Incarnation] = append(shards[owner.Incarnation], shard)
			owners[owner.Incarnation] = owner
		}
	}
	return lo.MapToSlice(owners, func(id cells.Incarnation, e cells.Entry) shardOwner { return shardOwner{e, shards[id]} })
}

// countPendingAt asks another owner for the counts of its shards.
func (sj *storedJobs) countPendingAt(ctx context.Context, owner shardOwner) shardCounts {
	reply, err := sj.peers.client(owner.Address).PendingKept(ctx, &fleetpb.PendingRequest{})
	if err != nil {
		sj.log.Warn("pending_unanswered", zap.String("owner", owner.Name), zap.Error(err))
		return nil
	}
	return pendingFromPB(reply, owner.shards)
}

// countPendingLocally counts the pending jobs of the shards that this entry owns.
func (sj *storedJobs) countPendingLocally(ctx context.Context) shardCounts {
	ctx, cancel := context.WithTimeout(ctx, shardPendingTimeout)
	defer cancel()
	type answer struct {
		shard int
		jobs  queueCounts
	}
	runners := sj.runners()
	answers := make(chan answer, len(runners))
	asked := 0
	for shard, r := range runners {
		if sj.owns(shard) {
			asked++
			go func() { answers <- answer{shard, countPendingOf(ctx, r)} }()
		}
	}
	counts := make(shardCounts)
	for range asked {
		if a := <-answers; a.jobs != nil {
			counts[a.shard] = a.jobs
		}
	}
	return counts
}

// countPendingOf asks a shard of this entry for its count. It returns nil if that is not
// known: the shard may not be taken over yet.
func countPendingOf(ctx context.Context, r *keep.Runner) queueCounts {
	jobs, result := r.Pending(ctx)
	if result != stored.Stored {
		return nil
	}
	return jobs
}

func pendingToPB(counts shardCounts) *fleetpb.PendingResponse {
	reply := &fleetpb.PendingResponse{ByShard: true, Jobs: make(map[string]uint32)}
	for shard, jobs := range counts {
		inShard := &fleetpb.ShardPending{Shard: uint32(shard), Jobs: make(map[string]uint32)}
		for queue, n := range jobs {
			inShard.Jobs[queue] = uint32(n)
			reply.Jobs[queue] += uint32(n)
		}
		reply.Shards = append(reply.Shards, inShard)
	}
	return reply
}

// pendingFromPB returns the counts of the shards that an owner was asked for. An owner of an
// earlier version gives one count for all its shards, which is put down to the first.
func pendingFromPB(reply *fleetpb.PendingResponse, asked []int) shardCounts {
	counts := make(shardCounts)
	if !reply.GetByShard() {
		for i, shard := range asked {
			counts[shard] = make(queueCounts)
			if i == 0 {
				counts[shard] = queueCountsFromPB(reply.GetJobs())
			}
		}
		return counts
	}
	for _, s := range reply.Shards {
		if lo.Contains(asked, int(s.GetShard())) {
			counts[int(s.GetShard())] = queueCountsFromPB(s.GetJobs())
		}
	}
	return counts
}

func queueCountsFromPB(jobs map[string]uint32) queueCounts {
	return lo.MapEntries(jobs, func(queue string, n uint32) (string, int) { return queue, int(n) })
}
