package fleet

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Times of kept jobs.
const (
	// ownerTime is how long a request looks for the owner of a shard: longer
	// than it takes to notice that one is lost and to replace it.
	ownerTime  = 1500 * time.Millisecond
	ownerPause = 40 * time.Millisecond
	// aloneTime is how long an entry that hears no majority waits before it
	// takes a shard over: the others may own it, and would take it back.
	aloneTime = 3 * time.Second
	// writeShare is the part of the log's appends that kept jobs may take.
	writeShare = 0.6
	// endlessPatience is that of a kept job, which waits for as long as it takes.
	endlessPatience = 24 * time.Hour
	// pendingAge is how old the count of pending jobs may be.
	pendingAge  = 700 * time.Millisecond
	pendingTime = 500 * time.Millisecond // for one owner's answer
	learnTime   = time.Second
)

// kept serves jobs that outlive their callers: it finds the owners of their
// shards, and owns some itself. It is safe for concurrent use.
type kept struct {
	settings KeptSettings
	loop     *Loop
	peers    *peers
	service  *Service
	log      *zap.Logger
	runners  []*keep.Runner

	mu      sync.Mutex
	alone   time.Time    // since when no majority is heard; zero: it is
	fenced  map[int]bool // shards that others have taken since then
	pending map[string]int
	counted time.Time
}

func newKept(s KeptSettings, l *Loop, p *peers, service *Service, jobLog keep.Log, log *zap.Logger, m *metrics) *kept {
	k := &kept{settings: s, loop: l, peers: p, service: service, log: log}
	env := keep.Environment{
		Log: jobLog, Owns: k.owns, MayTake: k.mayTake, Fenced: k.noteFenced, Offer: k.offer, Logger: log,
		Codec: keep.JobCodec{
			ToPB:   func(j *leased.Job) *fleetpb.SubmitRequest { return jobToPB(j, 0) },
			FromPB: jobFromPB,
		},
		AppendInterval: time.Duration(float64(s.Shards) / (writeShare * s.WritesPerSecond) * float64(time.Second)),
		Options:        stored.Options{Retain: s.Known, Rewrite: s.LogKeeps / 2},
		Measure: func(result string, took time.Duration) {
			m.appends.WithLabelValues(result).Inc()
			m.appendSeconds.Observe(took.Seconds())
		},
		Owned: func(_ int, owned bool) {
			if owned {
				m.shards.Inc()
				return
			}
			m.shards.Dec()
		},
	}
	for shard := range s.Shards {
		k.runners = append(k.runners, keep.NewRunner(env, shard))
	}
	return k
}

func (k *kept) run(ctx context.Context) {
	for _, r := range k.runners {
		go r.Run(ctx)
	}
}

// shardOf spreads jobs by their ID.
func (k *kept) shardOf(id leased.JobID) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(k.runners)))
}

// owns reports whether this entry is to own a shard.
func (k *kept) owns(shard int) bool {
	latest := k.loop.Latest()
	owner, ok := latest.View.Owner(shard, len(k.runners))
	return ok && owner.Incarnation == latest.View.Self.Incarnation && !latest.Stopping
}

// mayTake reports whether this entry may take a shard over. One that does not
// hear most others leaves it to them as long as they show that they live.
func (k *kept) mayTake(shard int) bool {
	majority := k.loop.Latest().View.Majority
	k.mu.Lock()
	defer k.mu.Unlock()
	if majority {
		k.alone, k.fenced = time.Time{}, nil
		return true
	}
	if k.alone.IsZero() {
		k.alone, k.fenced = time.Now(), make(map[int]bool)
	}
	return time.Since(k.alone) > aloneTime && !k.fenced[shard]
}

// noteFenced notes that another entry has taken a shard over.
func (k *kept) noteFenced(shard int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fenced != nil {
		k.fenced[shard] = true
	}
}

// offer hands a job that is owned here to a holder of endpoints.
func (k *kept) offer(ctx context.Context, job leased.Job, news <-chan stored.Learned) stored.Outcome {
	job.CallerTimeout = endlessPatience
	pause := holderPause
	for ctx.Err() == nil {
		latest := k.loop.Latest()
		if holder, ok := holderFor(latest); ok {
			relay := k.relayNews(ctx, holder, news)
			outcome, err := k.service.offer(ctx, latest, holder, &job)
			job.Progress = append(job.Progress, relay.stop()...)
			if err == nil {
				return outcomeOf(&outcome)
			}
			var notSent *notSentError
			if !errors.Is(err, errNotHolder) && !errors.As(err, &notSent) {
				return stored.Outcome{Lost: true, Begun: true}
			}
		}
		pauseFor(ctx, pause)
		pause = min(2*pause, maxHolderPause)
	}
	return stored.Outcome{Lost: true, Begun: true}
}

// newsRelay tells the holder of a job of tasks that others have found to be
// done.
type newsRelay struct {
	cancel context.CancelFunc
	ended  chan struct{}
	told   []leased.TaskProgress
}

func (k *kept) relayNews(ctx context.Context, holder cells.Entry, news <-chan stored.Learned) *newsRelay {
	ctx, cancel := context.WithCancel(ctx)
	r := &newsRelay{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		for {
			select {
			case <-ctx.Done():
				return
			case l := <-news:
				r.told = append(r.told, leased.TaskProgress{Step: l.Task.Step, Index: l.Task.Index, Done: true})
				if uint64(holder.Incarnation) != l.From {
					k.learn(ctx, holder, l.Task)
				}
			}
		}
	}()
	return r
}

// stop ends the relay and returns what it has told.
func (r *newsRelay) stop() []leased.TaskProgress {
	r.cancel()
	<-r.ended
	return r.told
}

// learn tells a holder that a task is done.
func (k *kept) learn(ctx context.Context, holder cells.Entry, task leased.TaskID) {
	if holder.Incarnation == k.peers.self {
		k.loop.send(coreInput{&leased.DoneTask{Task: task}})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, learnTime)
	defer cancel()
	_, err := k.peers.client(holder.Address).Learn(ctx, &fleetpb.LearnRequest{
		Job: string(task.Job), Occurrence: uint32(task.Occurrence), Step: uint32(task.Step), Index: uint32(task.Index),
	})
	if err != nil { // the holder is told by its own endpoints, or replaced
		k.log.Warn("learn_failed", zap.String("job", string(task.Job)), zap.String("holder", holder.Name), zap.Error(err))
	}
}

func outcomeOf(o *Outcome) stored.Outcome {
	lost := o.Verdict != leased.Completed && o.Verdict != leased.Failed
	return stored.Outcome{Verdict: o.Verdict, Lost: lost, Begun: lost}
}

// answer is what the owner of a shard has said.
type answer struct {
	result stored.Result
	state  stored.State
	// reached says that a request may have had an effect though no owner has
	// answered.
	reached bool
	found   bool // an owner has answered
}

// ask asks the owner of a shard, and the next one if that is replaced.
func (k *kept) ask(ctx context.Context, shard int, here func(context.Context, *keep.Runner) answer,
	there func(context.Context, fleetpb.Fleet) (*fleetpb.KeptResponse, error)) answer {
	ctx, cancel := context.WithTimeout(ctx, ownerTime)
	defer cancel()
	reached := false
	for ctx.Err() == nil {
		view := k.loop.Latest().View
		owner, ok := view.Owner(shard, len(k.runners))
		var a answer
		switch {
		case !ok:
			a.result = stored.OtherOwner
		case owner.Incarnation == view.Self.Incarnation:
			a = here(ctx, k.runners[shard])
		default:
			a = k.askThere(ctx, owner, there)
		}
		reached = reached || a.reached || a.result == stored.Uncertain
		if a.result != stored.OtherOwner && a.result != stored.Uncertain {
			a.found, a.reached = true, true
			return a
		}
		pauseFor(ctx, ownerPause)
	}
	return answer{result: stored.OtherOwner, reached: reached}
}

// askThere asks another entry.
func (k *kept) askThere(ctx context.Context, owner cells.Entry, call func(context.Context, fleetpb.Fleet) (*fleetpb.KeptResponse, error)) answer {
	ctx, done := k.peers.while(ctx, owner.Incarnation)
	defer done()
	traced, sent := observeSending(ctx)
	reply, err := call(traced, k.peers.client(owner.Address))
	if err != nil {
		if ctx.Err() == nil {
			k.loop.send(suspectEntry{owner.Incarnation})
		}
		return answer{result: stored.OtherOwner, reached: *sent}
	}
	return answer{result: stored.Result(reply.Result), state: stored.State(reply.State)}
}

// accept stores a job.
func (k *kept) accept(ctx context.Context, job leased.Job) answer {
	return k.ask(ctx, k.shardOf(job.ID), func(ctx context.Context, r *keep.Runner) answer {
		return answer{result: r.Accept(ctx, job)}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.Keep(ctx, jobToPB(&job, uint64(k.peers.self)))
	})
}

// cancel ends a job.
func (k *kept) cancel(ctx context.Context, id leased.JobID) answer {
	return k.ask(ctx, k.shardOf(id), func(ctx context.Context, r *keep.Runner) answer {
		return answer{result: r.Cancel(ctx, id)}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.CancelKept(ctx, &fleetpb.KeptRequest{Id: string(id)})
	})
}

// state tells what has become of a job.
func (k *kept) state(ctx context.Context, id leased.JobID) answer {
	return k.ask(ctx, k.shardOf(id), func(ctx context.Context, r *keep.Runner) answer {
		state, result := r.State(ctx, id)
		return answer{result: result, state: state}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.KeptState(ctx, &fleetpb.KeptRequest{Id: string(id)})
	})
}

// report tells the owner of a shard of runs.
func (k *kept) report(ctx context.Context, shard int, tasks []stored.TaskReport) answer {
	self := uint64(k.peers.self)
	return k.ask(ctx, shard, func(ctx context.Context, r *keep.Runner) answer {
		return answer{result: r.Report(ctx, self, tasks)}
	}, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
		return c.Report(ctx, reportToPB(self, shard, tasks))
	})
}

// pendingJobs counts the kept jobs of a queue that no task has started of. The
// count may be as old as pendingAge; owners that do not answer are left out.
func (k *kept) pendingJobs(ctx context.Context, queue string) int {
	k.mu.Lock()
	counts, fresh := k.pending, time.Since(k.counted) < pendingAge
	k.mu.Unlock()
	if !fresh {
		counts = k.countPending(ctx)
		k.mu.Lock()
		k.pending, k.counted = counts, time.Now()
		k.mu.Unlock()
	}
	return counts[queue]
}

func (k *kept) countPending(ctx context.Context) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, pendingTime)
	defer cancel()
	counts := k.pendingHere(ctx)
	view := k.loop.Latest().View
	others := make(map[cells.Incarnation]cells.Entry)
	for shard := range k.runners {
		if owner, ok := view.Owner(shard, len(k.runners)); ok && owner.Incarnation != view.Self.Incarnation {
			others[owner.Incarnation] = owner
		}
	}
	replies := make(chan map[string]uint32, len(others))
	for _, owner := range others {
		go func() {
			reply, err := k.peers.client(owner.Address).PendingKept(ctx, &fleetpb.PendingRequest{})
			if err != nil {
				k.log.Warn("pending_unknown", zap.String("owner", owner.Name), zap.Error(err))
			}
			replies <- reply.GetJobs()
		}()
	}
	for range others {
		for queue, n := range <-replies {
			counts[queue] += int(n)
		}
	}
	return counts
}

// pendingHere counts the jobs of the shards that are owned here.
func (k *kept) pendingHere(ctx context.Context) map[string]int {
	sum := make(map[string]int)
	for shard, r := range k.runners {
		if !k.owns(shard) {
			continue
		}
		counts, result := r.Pending(ctx)
		if result != stored.Stored {
			continue // the next owner counts them
		}
		for queue, n := range counts {
			sum[queue] += n
		}
	}
	return sum
}
