package fleet

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Limits and intervals of stored jobs.
const (
	// ownerTimeout is how long a request tries to reach the owner of a shard. It
	// is longer than the time in which a lost owner is detected and replaced.
	ownerTimeout       = 1500 * time.Millisecond
	ownerRetryInterval = 40 * time.Millisecond
	// minorityTakeoverDelay is how long an entry without a majority of live
	// entries waits before it takes over a shard, because another entry may own
	// the shard and would take it back.
	minorityTakeoverDelay = 3 * time.Second
	// writeShare is the share of the log's append limit that stored jobs may use.
	writeShare = 0.6
	// storedJobTimeout is the time limit of a stored job at a holder. It is in
	// effect unlimited, because a stored job waits for as long as it takes.
	storedJobTimeout = 24 * time.Hour
	updateTimeout    = time.Second
	// layoutTimeout and layoutRetryInterval are those of reading the number of shards.
	layoutTimeout       = time.Second
	layoutRetryInterval = 200 * time.Millisecond
)

// storedJobs serves stored jobs: it sends requests to the owners of their
// shards, and runs the shards that this entry owns. It is safe for concurrent
// use.
type storedJobs struct {
	settings StoredSettings
	loop     *Loop
	peers    *peers
	service  *Service
	jobLog   keep.Log
	metrics  *metrics
	log      *zap.Logger
	pending  pendingCounter
	// layout holds the runners of all shards; nil: their number is not known yet.
	layout atomic.Pointer[[]*keep.Runner]

	mu            sync.Mutex
	minoritySince time.Time    // since when this entry has no majority; zero: it has one
	fenced        map[int]bool // shards that other entries have taken over since then
}

func newStoredJobs(s StoredSettings, l *Loop, p *peers, service *Service, jobLog keep.Log, log *zap.Logger, m *metrics) *storedJobs {
	return &storedJobs{settings: s, loop: l, peers: p, service: service, jobLog: jobLog, metrics: m, log: log}
}

// newRunners returns the runners of a number of shards.
func (sj *storedJobs) newRunners(shards int) []*keep.Runner {
	s, m := &sj.settings, sj.metrics
	env := keep.Environment{
		Log: sj.jobLog, ShouldOwn: sj.owns, MayTakeOver: sj.mayTakeOver, OnFenced: sj.recordFenced, Offer: sj.offer, Logger: sj.log,
		Codec: keep.JobCodec{
			ToPB:   func(j *leased.Job) *fleetpb.SubmitRequest { return jobToPB(j, 0) },
			FromPB: jobFromPB, ShardOf: sj.shardOf,
		},
		AppendInterval: time.Duration(float64(shards) / (writeShare * s.WritesPerSecond) * float64(time.Second)),
		Options:        stored.Options{Retain: s.Retention, SnapshotAge: s.LogRetention / 2},
		ObserveAppend: func(result string, took time.Duration) {
			m.appends.WithLabelValues(result).Inc()
			m.appendSeconds.Observe(took.Seconds())
		},
		OnOwnershipChange: func(_ int, owned bool) {
			if owned {
				m.shards.Inc()
				return
			}
			m.shards.Dec()
		},
	}
	runners := make([]*keep.Runner, shards)
	for shard := range runners {
		runners[shard] = keep.NewRunner(env, shard)
	}
	return runners
}

// run runs the shards as soon as their number is known. It is read from the log: one that
// followed the settings would change with them, and stored jobs would not be found.
func (sj *storedJobs) run(ctx context.Context) {
	for ctx.Err() == nil {
		shards, err := sj.agreeOnShards(ctx)
		if err == nil {
			sj.start(ctx, shards)
			return
		}
		sj.log.Warn("shards_unknown", zap.Error(err))
		pauseFor(ctx, layoutRetryInterval)
	}
}

func (sj *storedJobs) agreeOnShards(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	return sj.jobLog.Shards(ctx, sj.settings.Shards)
}

func (sj *storedJobs) start(ctx context.Context, shards int) {
	sj.log.Info("shards_known", zap.Int("shards", shards), zap.Int("by_settings", sj.settings.Shards))
	runners := sj.newRunners(shards)
	sj.layout.Store(&runners)
	for _, r := range runners {
		go r.Run(ctx)
	}
	go sj.probeLog(ctx)
}

// runners returns the runners of all shards, or nil while their number is not known: no
// job has an owner then.
func (sj *storedJobs) runners() []*keep.Runner {
	if layout := sj.layout.Load(); layout != nil {
		return *layout
	}
	return nil
}

// shardOf returns the shard of a job, a hash of its ID. The number of shards is known.
func (sj *storedJobs) shardOf(id leased.JobID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(sj.runners())))
}

// knownShardOf returns the shard of a job, or -1 while the number of shards is not known.
func (sj *storedJobs) knownShardOf(id leased.JobID) int {
	if sj.runners() == nil {
		return -1
	}
	return sj.shardOf(id)
}

// owns reports whether this entry should own a shard.
func (sj *storedJobs) owns(shard int) bool {
	latest := sj.loop.Latest()
	owner, ok := latest.View.Owner(shard, len(sj.runners()))
	return ok && owner.Incarnation == latest.View.Self.Incarnation && !latest.Stopping
}

// mayTakeOver reports whether this entry may take over a shard. An entry without
// a majority waits for minorityTakeoverDelay, and then takes over only shards
// that no other entry has taken over meanwhile.
func (sj *storedJobs) mayTakeOver(shard int) bool {
	majority := sj.loop.Latest().View.Majority
	sj.mu.Lock()
	defer sj.mu.Unlock()
	if majority {
		sj.minoritySince, sj.fenced = time.Time{}, nil
		return true
	}
	if sj.minoritySince.IsZero() {
		sj.minoritySince, sj.fenced = time.Now(), make(map[int]bool)
	}
	return time.Since(sj.minoritySince) > minorityTakeoverDelay && !sj.fenced[shard]
}

// recordFenced records that another entry has taken over a shard.
func (sj *storedJobs) recordFenced(shard int) {
	sj.mu.Lock()
	defer sj.mu.Unlock()
	if sj.fenced != nil {
		sj.fenced[shard] = true
	}
}

// offer submits a job of an owned shard to a holder, and returns when the job
// has ended there or the holder is lost. It retries while nothing was submitted.
func (sj *storedJobs) offer(ctx context.Context, job leased.Job, updates *keep.Updates) stored.Outcome {
	job.CallerTimeout = storedJobTimeout
	backoff := minHolderBackoff
	for ctx.Err() == nil {
		latest := sj.loop.Latest()
		if holder, ok := holderFor(latest, rand.Float64()); ok {
			relay := sj.relayUpdates(ctx, holder, updates)
			outcome, err := sj.service.offer(ctx, latest, holder, &job)
			job.Progress = append(job.Progress, relay.stop()...)
			if err == nil {
				return outcomeOf(&outcome)
			}
			var notSent *notSentError
			if !errors.Is(err, errNotHolder) && !errors.As(err, &notSent) {
				return stored.Outcome{Lost: true, Begun: true}
			}
		}
		pauseFor(ctx, backoff)
		backoff = min(2*backoff, maxHolderBackoff)
	}
	return stored.Outcome{Lost: true, Begun: true}
}

// updateRelay notifies the holder of a job of what other entries have reported about its
// tasks.
type updateRelay struct {
	cancel  context.CancelFunc
	stopped chan struct{}
	relayed []leased.TaskProgress
}

func (sj *storedJobs) relayUpdates(ctx context.Context, holder cells.Entry, updates *keep.Updates) *updateRelay {
	ctx, cancel := context.WithCancel(ctx)
	r := &updateRelay{cancel: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(r.stopped)
		for ctx.Err() == nil {
			for _, u := range updates.Next(ctx) {
				r.relayed = append(r.relayed, u.Progress)
				if uint64(holder.Incarnation) != u.From {
					sj.sendUpdate(ctx, holder, &u)
				}
			}
		}
	}()
	return r
}

// stop ends the relay and returns the progress that it has relayed.
func (r *updateRelay) stop() []leased.TaskProgress {
	r.cancel()
	<-r.stopped
	return r.relayed
}

// sendUpdate notifies a holder of what is known about a task. Holders of earlier versions
// understand only that a task is done.
func (sj *storedJobs) sendUpdate(ctx context.Context, holder cells.Entry, u *stored.TaskUpdate) {
	if holder.Incarnation == sj.peers.self {
		sj.loop.send(coreInput{&leased.TaskUpdate{Task: u.Task, Progress: u.Progress}})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	client := sj.peers.client(holder.Address)
	var err error
	if u.Progress.Done {
		_, err = client.Learn(ctx, &fleetpb.LearnRequest{
			Job: string(u.Task.Job), Occurrence: uint32(u.Task.Occurrence), Step: uint32(u.Task.Step), Index: uint32(u.Task.Index),
		})
	} else {
		_, err = client.LearnProgress(ctx, &fleetpb.LearnProgressRequest{
			Job: string(u.Task.Job), Occurrence: uint32(u.Task.Occurrence), Progress: keep.ProgressToPB([]leased.TaskProgress{u.Progress})[0],
		})
	}
	if err != nil { // the holder learns it by the answer to its next report, or is replaced
		sj.log.Warn("learn_failed", zap.String("job", string(u.Task.Job)), zap.String("holder", holder.Name), zap.Error(err))
	}
}

func outcomeOf(o *Outcome) stored.Outcome {
	lost := o.Verdict != leased.Completed && o.Verdict != leased.Failed
	return stored.Outcome{Verdict: o.Verdict, Lost: lost, Begun: lost}
}

// ownerReply is the reply of the owner of a shard.
type ownerReply struct {
	result stored.Result
	state  stored.State
	// progress of the tasks of a report, as in stored.Reply.
	progress []leased.TaskProgress
	// maybeApplied is true if a request may have had an effect although no owner
	// has answered.
	maybeApplied bool
	answered     bool // an owner has answered
}

// askOwnerOf sends a request to the owner of a job's shard, as askOwner does. It waits
// until the number of shards is known, which takes a moment after the start.
func (sj *storedJobs) askOwnerOf(ctx context.Context, id leased.JobID, local func(context.Context, *keep.Runner) ownerReply,
	remote func(context.Context, fleetpb.Fleet) (*fleetpb.KeptResponse, error)) ownerReply {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for sj.runners() == nil {
		if ctx.Err() != nil {
			return ownerReply{result: stored.OtherOwner}
		}
		pauseFor(ctx, ownerRetryInterval)
	}
	return sj.askOwner(ctx, sj.shardOf(id), local, remote)
}

// askOwner sends a request to the owner of a shard, and to the next owner if that
// one is replaced. It retries until an owner answers or ownerTimeout has passed.
func (sj *storedJobs) askOwner(ctx context.Context, shard int, local func(context.Context, *keep.Runner) ownerReply,
	remote func(context.Context, fleetpb.Fleet) (*fleetpb.KeptResponse, error)) ownerReply {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	maybeApplied := false
	for ctx.Err() == nil {
		view := sj.loop.Latest().View
		owner, ok := view.Owner(shard, len(sj.runners()))
		var reply ownerReply
		switch {
		case !ok:
			reply.result = stored.OtherOwner
		case owner.Incarnation == view.Self.Incarnation:
			reply = local(ctx, sj.runners()[shard])
		default:
			reply = sj.askRemote(ctx, owner, remote)
		}
		maybeApplied = maybeApplied || reply.maybeApplied || reply.result == stored.Uncertain
		if reply.result != stored.OtherOwner && reply.result != stored.Uncertain {
			reply.answered, reply.maybeApplied = true, true
			return reply
		}
		pauseFor(ctx, ownerRetryInterval)
	}
	return ownerReply{result: stored.OtherOwner, maybeApplied: maybeApplied}
}

// askRemote sends a request to an owner that is another entry.
func (sj *storedJobs) askRemote(ctx context.Context, owner cells.Entry, call func(context.Context, fleetpb.Fleet) (*fleetpb.KeptResponse, error)) ownerReply {
	ctx, done := sj.peers.requests.track(ctx, owner.Incarnation)
	defer done()
	traced, sent := traceSent(ctx)
	reply, err := call(traced, sj.peers.client(owner.Address))
	if err != nil {
		if ctx.Err() == nil {
			sj.loop.send(suspectEntry{owner.Incarnation})
		}
		return ownerReply{result: stored.OtherOwner, maybeApplied: *sent}
	}
	if reply.Result < 0 || reply.Result > fleetpb.KeptResult(stored.Uncertain) || reply.State > uint32(stored.Cancelled) {
		sj.log.Warn("peer_answer_malformed", zap.Error(&InvalidAnswerError{owner.Name, fmt.Sprintf("result %d, state %d", reply.Result, reply.State)}))
		return ownerReply{result: stored.OtherOwner, maybeApplied: true}
	}
	return ownerReply{result: storedResult(reply), state: stored.State(reply.State), progress: keep.ProgressFromPB(reply.Progress)}
}

// accept asks the owner of a job's shard to store the job.
func (sj *storedJobs) accept(ctx context.Context, job leased.Job) ownerReply {
	return sj.askOwnerOf(ctx, job.ID, func(ctx context.Context, r *keep.Runner) ownerReply {
		return ownerReply{result: r.Accept(ctx, job)}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.Keep(ctx, jobToPB(&job, uint64(sj.peers.self)))
	})
}

// cancel asks the owner of a job's shard to cancel the job.
func (sj *storedJobs) cancel(ctx context.Context, id leased.JobID) ownerReply {
	return sj.askOwnerOf(ctx, id, func(ctx context.Context, r *keep.Runner) ownerReply {
		return ownerReply{result: r.Cancel(ctx, id)}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.CancelKept(ctx, &fleetpb.KeptRequest{Id: string(id)})
	})
}

// state asks the owner of a job's shard for the state of the job.
func (sj *storedJobs) state(ctx context.Context, id leased.JobID) ownerReply {
	return sj.askOwnerOf(ctx, id, func(ctx context.Context, r *keep.Runner) ownerReply {
		state, result := r.State(ctx, id)
		return ownerReply{result: result, state: state}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.KeptState(ctx, &fleetpb.KeptRequest{Id: string(id)})
	})
}

// report sends reports about runs to the owner of a shard.
func (sj *storedJobs) report(ctx context.Context, shard int, tasks []stored.TaskReport) ownerReply {
	self := uint64(sj.peers.self)
	return sj.askOwner(ctx, shard, func(ctx context.Context, r *keep.Runner) ownerReply {
		result, progress := r.Report(ctx, self, tasks)
		return ownerReply{result: result, progress: progress}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.Report(ctx, reportToPB(self, shard, tasks))
	})
}
