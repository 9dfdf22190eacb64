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

// State is the result of a lookup.
type State int

// States of a lookup.
const (
	Missing   State = iota // the log was searched and has no outcome
	Found                  // the outcome was found
	Searching              // the log is being searched: retry later
)

// Limits of a search.
const (
	searchTimeout = 20 * time.Second
	retryAfter    = 10 * time.Second // before a failed search may be repeated
	maxRecords    = 200_000          // held for one owner
)

// Options are the parameters of a Reader.
type Options struct {
	Log      logservice.Log
	Lifetime time.Duration // of job IDs; older outcomes are ignored
	Logger   *zap.Logger
}

// Reader finds outcomes of owners that are gone. It is safe for concurrent
// use.
type Reader struct {
	opts Options

	mu     sync.Mutex
	owners map[jobid.Incarnation]*search
}

// search holds the outcomes of one owner and the state of the search for them.
type search struct {
	running chan struct{} // closed when the search ends; nil: no search is running
	ended   time.Time     // when the last search ended; zero: a search may start
	records map[uint64]*record
}

// NewReader returns a reader without outcomes.
func NewReader(opts Options) *Reader {
	return &Reader{opts: opts, owners: make(map[jobid.Incarnation]*search)}
}

// Outcome looks up the outcome of a job by its ID; text is the ID in the form
// that the caller uses. The first lookup for an owner starts a search. Outcome
// waits for the search until the context ends.
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

// ensureSearch starts a search if none was made, and returns a channel that is
// closed when the running search ends. It returns nil if the search has ended.
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

// begin starts a search. The caller must hold r.mu.
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

// finish records the end of a search. A failed search may be repeated after
// retryAfter.
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

// removeExpired removes the owners whose job IDs have all expired.
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
		var outcome record
		if json.Unmarshal(records[i].Data, &outcome) != nil || outcome.Owner != owner {
			continue
		}
		if len(s.records) < maxRecords {
			s.records[outcome.Sequence] = &outcome
		}
	}
}

// firstOffset finds, by binary search, the first record that is not older than
// the lifetime of job IDs.
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
