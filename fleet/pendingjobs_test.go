package fleet

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/peer/fleetpb"
)

// Guards against a total that leaves out the jobs of a shard whose owner does not answer
// for a moment, has been lost, or was never asked, and that callers take for the whole.
func TestTotalOfPendingJobsIsCompleteOrUnknown(t *testing.T) {
	const shards = 2
	jobs := func(n int) queueCounts { return queueCounts{"q": n} }
	start := time.Unix(1_800_000_000, 0)
	var c pendingCounter
	for _, step := range []struct {
		after   time.Duration
		counts  shardCounts
		want    int
		unknown bool
	}{
		{0, shardCounts{}, 0, true},
		{0, shardCounts{0: jobs(3)}, 0, true}, // shard 1 never answered
		{0, shardCounts{0: jobs(3), 1: jobs(26)}, 29, false},
		{time.Second, shardCounts{0: jobs(4)}, 30, false}, // shard 1 is silent
		{maxPendingReuse, shardCounts{0: jobs(5)}, 31, false},
		{maxPendingReuse + time.Millisecond, shardCounts{0: jobs(5)}, 0, true},
		{9 * time.Second, shardCounts{0: jobs(5)}, 0, true},
		{12 * time.Second, shardCounts{0: jobs(5), 1: jobs(0)}, 5, false},
		{11 * time.Second, shardCounts{1: jobs(7)}, 5, false}, // a count that was begun earlier
	} {
		total := c.add(step.counts, shards, start.Add(step.after))
		var unknown *PendingUnknownError
		if errors.As(total.err, &unknown) != step.unknown || total.jobs["q"] != step.want {
			t.Errorf("after %v, counts %v: %d jobs, error %v; want %d, unknown: %v", step.after, step.counts, total.jobs["q"], total.err, step.want, step.unknown)
		}
	}
}

// Callers rely on a total that is at most two seconds old.
func TestAgeOfPendingJobs(t *testing.T) {
	if oldest := maxPendingAge + maxPendingReuse; oldest > 2*time.Second {
		t.Errorf("a total may be %v old", oldest)
	}
}

// Guards against a shard that another entry does not own, and that counts as one without
// jobs because the two entries disagree about its owner.
func TestAnswersCountTheShardsThatTheirSenderOwns(t *testing.T) {
	asked := []int{1, 4}
	counts := pendingFromPB(pendingToPB(shardCounts{1: {"q": 2}, 3: {"q": 9}}), asked)
	if len(counts) != 1 || counts[1]["q"] != 2 {
		t.Errorf("counts %v, want 2 jobs in shard 1, and shard 4 unknown", counts)
	}
	counts = pendingFromPB(pendingToPB(shardCounts{1: {}, 4: {}}), asked)
	if len(counts) != 2 {
		t.Errorf("counts %v, want both shards, without jobs", counts)
	}
	counts = pendingFromPB(pendingToPB(nil), asked)
	if len(counts) != 0 {
		t.Errorf("an owner without shards: counts %v, want none", counts)
	}
	counts = pendingFromPB(&fleetpb.PendingResponse{Jobs: map[string]uint32{"q": 5}}, asked)
	if len(counts) != 2 || counts[1]["q"]+counts[4]["q"] != 5 {
		t.Errorf("an owner of an earlier version: counts %v, want 5 jobs in both shards together", counts)
	}
}
