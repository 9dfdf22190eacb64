package outcomes

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/problem"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// State is what a lookup found.
type State int

// States of a lookup.
const (
	Missing   State = iota // the log was searched and has no outcome
	Found                  // the outcome
	Searching              // the log is being searched: ask again
)

// Times of a search.
const (
	searchTimeout = 20 * time.Second
	retryAfter    = 10 * time.Second // a failed search is not repeated before
	maxRecords    = 200_000          // kept of one owner
)

// Options are the parameters of a Reader.
type Options struct {
	Log      logservice.Log
	Lifetime time.Duration // of job IDs: older outcomes are of no use
	Logger   *zap.Logger
}

// Reader finds outcomes of owners that are gone. It is safe for concurrent
// use.
type Reader struct {
	opts Options

	mu     sync.Mutex
	owners map[jobid.Incarnation]*search
}

// search is what is known of one owner.
type search struct {
	running chan struct{} // closed at the end; nil: none runs
	ended   time.Time     // end of the last search
	records map[uint64]*record
}

// NewReader returns a reader that has searched nothing.
func NewReader(opts Options) *Reader {
	return &Reader{opts: opts, owners: make(map[jobid.Incarnation]*search)}
}

// Outcome looks a job up by its ID; text is the form that the caller knows.
// The first question about an owner starts a search, whose end is waited for
// until the context ends.
func (r *Reader) Outcome(ctx context.Context, id jobid.ID, text string) (problem.Result, State) {
	if running := r.ensureSearch(id.Owner); running != nil {
		select {
		case <-running:
		case <-ctx.Done():
			return problem.Result{}, Searching
		}
	}
	return r.find(id, text)
}

// ensureSearch returns the end of the search that runs, and starts one if there
// was none. It returns nil if the search is over.
func (r *Reader) ensureSearch(owner jobid.Incarnation) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.owners[owner]
	if s == nil {
		s = &search{records: make(map[uint64]*record)}
		r.owners[owner] = s
	}
	if s.running == nil && s.ended.IsZero() {
		r.begin(owner, s)
	}
	return s.running
}

func (r *Reader) find(id jobid.ID, text string) (problem.Result, State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.owners[id.Owner]
	if s == nil || s.records[id.Sequence] == nil {
		return problem.Result{}, Missing
	}
	result, ok := s.records[id.Sequence].result(text)
	if !ok {
		return problem.Result{}, Missing
	}
	return result, Found
}

// begin starts a search. The caller holds the lock.
func (r *Reader) begin(owner jobid.Incarnation, s *search) {
	s.running = make(chan struct{})
	r.removeExpired()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
		defer cancel()
		err := r.search(ctx, owner, s)
		if err != nil {
			r.opts.Logger.Warn("outcomes could not be read", zap.Stringer("owner", owner), zap.Error(err))
		}
		r.finish(s, err)
	}()
}

// finish ends a search. A failed one may be repeated after a while.
func (r *Reader) finish(s *search, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(s.running)
	s.running = nil
	s.ended = time.Now()
	if err != nil {
		time.AfterFunc(retryAfter, func() { r.allowRetry(s) })
	}
}

func (r *Reader) allowRetry(s *search) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ended = time.Time{}
}

// removeExpired drops owners whose job IDs have all expired.
func (r *Reader) removeExpired() {
	for owner, s := range r.owners {
		if !s.ended.IsZero() && time.Since(s.ended) > r.opts.Lifetime {
			delete(r.owners, owner)
		}
	}
}

// search reads the stream over the lifetime of the owner's IDs.
func (r *Reader) search(ctx context.Context, owner jobid.Incarnation, s *search) error {
	next, err := r.firstOffset(ctx)
	if err != nil {
		return err
	}
	for {
		page, err := r.opts.Log.Read(ctx, logservice.StreamOutcomes, next, platformapi.MaxReadRecords, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		r.collect(owner, s, page.Records)
		next = page.Records[len(page.Records)-1].Offset + 1
	}
}

func (r *Reader) collect(owner jobid.Incarnation, s *search, records []platformapi.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range records {
		var r2 record
		if json.Unmarshal(records[i].Data, &r2) != nil || r2.Owner != owner {
			continue
		}
		if len(s.records) < maxRecords {
			s.records[r2.Sequence] = &r2
		}
	}
}

// firstOffset finds, by halving, the first record young enough to be of use.
func (r *Reader) firstOffset(ctx context.Context) (int64, error) {
	oldest := time.Now().Add(-r.opts.Lifetime)
	page, err := r.opts.Log.Read(ctx, logservice.StreamOutcomes, 0, 1, 0)
	if err != nil {
		return 0, err
	}
	low, high := page.Oldest, page.Next
	for low < high {
		middle := low + (high-low)/2
		page, err := r.opts.Log.Read(ctx, logservice.StreamOutcomes, middle, 1, 0)
		if err != nil {
			return 0, err
		}
		if len(page.Records) > 0 && page.Records[0].Time.Before(oldest) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}
