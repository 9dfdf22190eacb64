package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

const (
	// answerTimeout is how long a job waits for the answer of an entry that sends
	// heartbeats meanwhile. A lost packet is sent again after 200 ms.
	answerTimeout = 300 * time.Millisecond
	// askTimeout ends a call without an answer; another one follows after askPause.
	askTimeout = 500 * time.Millisecond
	askPause   = 50 * time.Millisecond
	// questionLifetime is how long entries without an answer are asked: until the tasks of
	// a resubmitted job are started.
	questionLifetime = 3 * time.Second
	// questionInterval is the time between two messages to each entry, for each
	// entriesPerInterval entries that are asked.
	questionInterval = 20 * time.Millisecond
	// maxOpenQuestions bounds the questions that wait for their decision. Further jobs
	// count as resubmitted.
	maxOpenQuestions = 1 << 14
	reviewInterval   = 10 * time.Millisecond
	// claimsMargin is the time after the last claim of an entry, on an endpoint whose clock
	// is slow, in which its runs are killed.
	claimsMargin = 50 * time.Millisecond
)

// claimsEnd returns how long after an entry was last heard by any entry no run of its jobs
// is left.
func (s Settings) claimsEnd() time.Duration {
	return leased.ClaimTime(s.CallerRetry, s.MaxLease) + claimsMargin
}

// askFunc sends questions to an entry and returns its answer.
type askFunc func(to cells.Entry, jobs []returnedJob) (*fleetpb.EndSubmissionsResponse, error)

// returnQuestions asks the other entries for earlier submissions of jobs whose callers have
// come back to this entry. Questions that arrive within a short time go to each entry in
// one message. It is safe for concurrent use.
type returnQuestions struct {
	self      cells.Incarnation
	call      askFunc
	recent    *recentEntries
	claimsEnd time.Duration
	guard     guard
	metrics   *metrics
	log       *zap.Logger

	mu       sync.Mutex
	waiting  map[leased.JobID]*returnQuestion // for the next message
	open     int                              // questions that are not decided
	active   map[*returnQuestion]struct{}     // questions about jobs that are under way here
	nextSend time.Time
	armed    bool // a timer sends what waits
}

func newReturnQuestions(self cells.Incarnation, call askFunc, recent *recentEntries, claimsEnd time.Duration, g guard, m *metrics, log *zap.Logger) *returnQuestions {
	return &returnQuestions{
		self: self, call: call, recent: recent, claimsEnd: claimsEnd, guard: g, metrics: m, log: log, waiting: make(map[leased.JobID]*returnQuestion),
		active: make(map[*returnQuestion]struct{}),
	}
}

// ask asks the other entries for earlier submissions of a job. The caller must call end
// when the job has ended.
func (r *returnQuestions) ask(job returnedJob) *returnQuestion {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := newReturnQuestion(job)
	r.active[q] = struct{}{}
	if r.open >= maxOpenQuestions {
		q.decide(0, 1, 0)
		return q
	}
	r.open++
	if _, taken := r.waiting[job.id]; taken || len(r.waiting) >= maxReturnedJobs {
		r.sendLocked()
	}
	r.waiting[job.id] = q
	if !r.armed {
		r.armed = true
		time.AfterFunc(time.Until(r.nextSend), r.send)
	}
	return q
}

// end removes the question about a job that has ended.
func (r *returnQuestions) end(q *returnQuestion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, q)
}

// askAgain asks an entry that is heard again for the jobs that are under way here. It was
// not asked while it was silent, and may submit such a job once more.
func (r *returnQuestions) askAgain(to cells.Entry) {
	now := time.Now()
	entries := []recentEntry{{to, now}}
	for _, questions := range r.activeQuestions() {
		batch := newQuestionBatch(now, questions, entries)
		go r.guard.do("returned_callers", func() { r.askEntry(batch, to, batch.jobs(), nil) })
	}
}

// activeQuestions returns the questions about jobs that are under way here, in groups for
// one message each.
func (r *returnQuestions) activeQuestions() []map[leased.JobID]*returnQuestion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var groups []map[leased.JobID]*returnQuestion
	for q := range r.active {
		if len(groups) == 0 || len(groups[len(groups)-1]) >= maxReturnedJobs {
			groups = append(groups, make(map[leased.JobID]*returnQuestion))
		}
		groups[len(groups)-1][q.job.id] = q
	}
	return groups
}

// send sends the questions that wait.
func (r *returnQuestions) send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed = false
	if len(r.waiting) > 0 {
		r.sendLocked()
	}
}

func (r *returnQuestions) sendLocked() {
	now := time.Now()
	entries := r.recent.since(now.Add(-r.claimsEnd))
	groups := (len(entries) + entriesPerInterval - 1) / entriesPerInterval
	r.nextSend = now.Add(questionInterval * time.Duration(groups))
	batch := newQuestionBatch(now, r.waiting, entries)
	r.waiting = make(map[leased.JobID]*returnQuestion)
	go r.guard.do("returned_callers", func() { r.serve(batch, entries) })
}

// serve asks the entries, and decides the questions of a batch.
func (r *returnQuestions) serve(b *questionBatch, entries []recentEntry) {
	jobs := b.jobs()
	asked := make([]cells.Incarnation, len(entries))
	for i, e := range entries {
		asked[i] = e.Incarnation
	}
	for _, e := range entries {
		go r.guard.do("returned_callers", func() { r.askEntry(b, e.Entry, jobs, asked) })
	}
	timer := time.NewTicker(reviewInterval)
	defer timer.Stop()
	for {
		if decided, unanswered := b.review(time.Now(), r.recent.heardAt, r.claimsEnd); decided {
			b.decide(unanswered)
			r.closed(len(b.questions))
			return
		}
		select {
		case <-b.changed:
		case <-timer.C:
		}
	}
}

func (r *returnQuestions) closed(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open -= n
}

// askEntry asks an entry until it has answered, is silent or the questions are old.
func (r *returnQuestions) askEntry(b *questionBatch, to cells.Entry, jobs []returnedJob, asked []cells.Incarnation) {
	for b.isOpen(to.Incarnation) && time.Since(b.askedAt) < questionLifetime {
		reply, err := r.call(to, jobs)
		switch {
		case err == nil:
			if r.receive(b, to, reply, asked) {
				return
			}
		case isUnknownCall(err): // of an earlier version: it cannot tell
			r.metrics.questions.WithLabelValues("unknown").Inc()
			b.answer(to.Incarnation, nil, nil)
			return
		default:
			r.metrics.questions.WithLabelValues("failed").Inc()
			r.log.Debug("question_failed", zap.String("entry", to.Name), zap.Error(err))
		}
		time.Sleep(askPause)
	}
}

// endSubmissions asks an entry to end its submissions of jobs.
func (p *peers) endSubmissions(to cells.Entry, jobs []returnedJob) (*fleetpb.EndSubmissionsResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return p.client(to.Address).EndSubmissions(ctx, returnedJobsToPB(jobs, p.self, to.Incarnation))
}

// receive records an answer. It returns false if the answer is not valid.
func (r *returnQuestions) receive(b *questionBatch, from cells.Entry, reply *fleetpb.EndSubmissionsResponse, asked []cells.Incarnation) bool {
	found, err := earlierSubmissionsFromPB(reply, b.questions)
	if err != nil {
		r.metrics.questions.WithLabelValues("malformed").Inc()
		r.log.Warn("peer_answer_malformed", zap.String("entry", from.Name), zap.Error(err))
		return false
	}
	var unasked []cells.Incarnation
	for _, id := range reply.Heard {
		if id := cells.Incarnation(id); id != r.self && !slices.Contains(asked, id) {
			unasked = append(unasked, id)
		}
	}
	r.metrics.questions.WithLabelValues("answered").Inc()
	b.answer(from.Incarnation, found, unasked)
	return true
}

// isUnknownCall reports whether an entry does not know a call, because it is of an earlier
// version.
func isUnknownCall(err error) bool {
	var answer twirp.Error
	return errors.As(err, &answer) && answer.Code() == twirp.BadRoute
}
