package appender

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// Shares are the fractions of a process's appends that each kind gets. They add
// up to 1.
type Shares struct {
	Changes  float64
	Claims   float64
	Outcomes float64
}

func (s Shares) list() [kinds]float64 { return [kinds]float64{s.Changes, s.Claims, s.Outcomes} }

// Limits are the limits of the queue of one kind.
type Limits struct {
	Records int
	Bytes   int
}

// DefaultAppendsPerSecond is the default of Options.AppendsPerSecond.
const DefaultAppendsPerSecond = 4

// Defaults of Shares and Limits in Options.
var (
	DefaultShares = Shares{Changes: 0.25, Claims: 0.5, Outcomes: 0.25}
	DefaultLimits = [kinds]Limits{
		Changes:  {Records: 1000, Bytes: 8 << 20},
		Claims:   {Records: 5000, Bytes: 4 << 20},
		Outcomes: {Records: 20_000, Bytes: 16 << 20},
	}
)

// Options are the parameters of an Appender.
type Options struct {
	Log              logservice.Log // required
	Rand             *rand.Rand     // required; not shared with other users
	Logger           *zap.Logger    // nil: none
	AppendsPerSecond float64        // rate of this process; 0: DefaultAppendsPerSecond
	Shares           Shares         // zero: DefaultShares
	Limits           [kinds]Limits  // by kind; zero: DefaultLimits
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if o.Shares == (Shares{}) {
		o.Shares = DefaultShares
	}
	for k, limits := range o.Limits {
		if limits == (Limits{}) {
			o.Limits[k] = DefaultLimits[k]
		}
	}
	return o
}

// Counts are the totals of one kind.
type Counts struct {
	Written int // records written
	Appends int // appends that succeeded
	Failed  int // appends that failed
	Dropped int // records dropped to make space for newer ones
	Refused int // records that the queue or the platform refused; not written
	Unknown int // records that may or may not have been written
	Queued  int // records in the queue now
}

// Appender writes records to the log within a budget. Its methods are safe for
// concurrent use.
type Appender struct {
	opts Options

	mu      sync.Mutex
	budget  *budget
	queues  [kinds]queue
	counts  [kinds]Counts
	wakeups [kinds]chan struct{} // capacity 1
	rands   [kinds]*rand.Rand
}

// New returns an appender. It writes nothing before Run is called.
func New(opts Options) *Appender {
	opts = opts.withDefaults()
	a := &Appender{opts: opts, budget: newBudget(time.Now(), opts.AppendsPerSecond, opts.Shares)}
	for k := range kinds {
		a.queues[k].limits = opts.Limits[k]
		a.wakeups[k] = make(chan struct{}, 1)
		a.rands[k] = rand.New(rand.NewPCG(opts.Rand.Uint64(), opts.Rand.Uint64()))
	}
	return a
}

// Counts returns the totals of a kind.
func (a *Appender) Counts(k Kind) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.counts[k]
	counts.Queued = len(a.queues[k].entries)
	return counts
}

// Enqueue queues a record to be written in the background. It returns false if
// the record was refused: it is too large, or the queue is full and the kind is
// never dropped.
func (a *Appender) Enqueue(k Kind, record []byte) bool {
	return a.enqueue(k, &entry{data: record})
}

// Append writes a record and returns its offset after it is synced. The error
// is a *FullError, a *logservice.RefusedError or a *logservice.UnavailableError if
// nothing was written, and a *logservice.UnknownOutcomeError otherwise.
func (a *Appender) Append(ctx context.Context, k Kind, record []byte) (int64, error) {
	e := &entry{data: record, result: make(chan result, 1)}
	if !a.enqueue(k, e) {
		return 0, &FullError{Kind: k}
	}
	select {
	case r := <-e.result:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, a.cancelAppend(k, e, context.Cause(ctx))
	}
}

// cancelAppend removes a record from its queue if it is still there. It returns
// the error that says whether the record may have been written.
func (a *Appender) cancelAppend(k Kind, e *entry, cause error) error {
	operation := "append one of the " + k.String()
	a.mu.Lock()
	removed := a.queues[k].remove(e)
	a.mu.Unlock()
	if removed {
		return &logservice.UnavailableError{Operation: operation, Cause: cause}
	}
	return &logservice.UnknownOutcomeError{Operation: operation, Cause: cause}
}

func (a *Appender) enqueue(k Kind, e *entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := &a.queues[k]
	if len(e.data) > platformapi.MaxRecordBytes {
		a.counts[k].Refused++
		return false
	}
	if k.droppable() {
		a.counts[k].Dropped += q.dropOldest(len(e.data))
	}
	if !q.fits(len(e.data)) {
		a.counts[k].Refused++
		return false
	}
	q.push(e)
	a.signal(k)
	return true
}

func (a *Appender) signal(k Kind) {
	select {
	case a.wakeups[k] <- struct{}{}:
	default:
	}
}

// Run writes records until the context ends. Records that are still queued then
// are not written; Append calls that wait for them return when their own contexts
// end.
func (a *Appender) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for k := range Kind(kinds) {
		group.Go(func() error { return a.run(ctx, k) })
	}
	return group.Wait()
}

// run writes the records of one kind.
func (a *Appender) run(ctx context.Context, k Kind) error {
	backoff := logservice.NewBackoff(a.rands[k])
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wakeups[k]:
		}
		for a.hasQueued(k) {
			if err := a.writeBatch(ctx, k, &backoff); err != nil {
				return err
			}
		}
	}
}

func (a *Appender) hasQueued(k Kind) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queues[k].entries) > 0
}

// writeBatch makes one append. It returns an error only if the context ends.
func (a *Appender) writeBatch(ctx context.Context, k Kind, backoff *logservice.Backoff) error {
	if err := a.awaitBudget(ctx, k); err != nil {
		return err
	}
	a.mu.Lock()
	batch := a.queues[k].nextBatch()
	a.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	first, err := a.opts.Log.Append(ctx, k.Stream(), records)
	if err == nil {
		backoff.Reset()
		a.handleSuccess(k, batch, first)
		return nil
	}
	a.opts.Logger.Warn("an append failed", zap.Stringer("kind", k), zap.Int("records", len(batch)), zap.Error(err))
	a.handleFailure(k, batch, err)
	return backoff.Wait(ctx)
}

func (a *Appender) awaitBudget(ctx context.Context, k Kind) error {
	for {
		wait, ok := a.takeBudget(k)
		if ok {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// takeBudget takes one append from the budget. It leaves the shared tokens to
// kinds of higher priority that have queued records.
func (a *Appender) takeBudget(k Kind) (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mayUseShared := true
	for higher := range k {
		mayUseShared = mayUseShared && len(a.queues[higher].entries) == 0
	}
	return a.budget.take(time.Now(), k, mayUseShared)
}

func (a *Appender) handleSuccess(k Kind, batch []*entry, first int64) {
	a.mu.Lock()
	a.counts[k].Appends++
	a.counts[k].Written += len(batch)
	a.mu.Unlock()
	for i, e := range batch {
		e.complete(result{offset: first + int64(i)})
	}
}

// handleFailure requeues the batch if the error allows a retry, and otherwise
// reports the error to the waiting callers.
func (a *Appender) handleFailure(k Kind, batch []*entry, err error) {
	a.mu.Lock()
	a.counts[k].Failed++
	retry := isRetryable(k, err)
	switch {
	case retry:
		a.queues[k].requeue(batch)
	case isRefused(err):
		a.counts[k].Refused += len(batch)
	default:
		a.counts[k].Unknown += len(batch)
	}
	a.mu.Unlock()
	if retry {
		return
	}
	for _, e := range batch {
		e.complete(result{err: err})
	}
}

func isRefused(err error) bool {
	var refused *logservice.RefusedError
	return errors.As(err, &refused)
}

func isRetryable(k Kind, err error) bool {
	var refused *logservice.RefusedError
	if errors.As(err, &refused) {
		return refused.Temporary()
	}
	var unavailable *logservice.UnavailableError
	return errors.As(err, &unavailable) || k.droppable()
}
