package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// Defaults of Options.
const (
	DefaultPollWait         = 2 * time.Second
	DefaultSnapshotInterval = 15 * time.Minute
	DefaultSnapshotRecords  = 1000
	DefaultSnapshotJitter   = 5 * time.Second
)

// Options are the parameters of a Follower.
type Options struct {
	Log  logservice.Log // required
	Rand *rand.Rand     // required; not shared with other users
	// OnCatalog is called with each newer version, in order, from one goroutine.
	// It must not block. late is true if the version may have been in the log for
	// longer than lateAge. Until the end of a readable log is first reached, no
	// version is passed on.
	OnCatalog func(c *catalog.Catalog, late bool)
	Logger    *zap.Logger // nil: none
	Stream    string      // empty: logservice.StreamConfiguration
	// PollWait is the duration of one long poll. The sum of PollWait and HedgeDelay
	// limits how long an unresponsive connection can delay a change.
	PollWait time.Duration
	// SnapshotInterval is the age of the last snapshot at which a new one is
	// written. It must be well below the retention time of the log.
	SnapshotInterval time.Duration
	// SnapshotRecords is the number of records after the last snapshot at which a
	// new one is written.
	SnapshotRecords int
	// SnapshotJitter is the maximum random delay before a snapshot is written. It
	// lets one of several processes write first, so that the others need not.
	SnapshotJitter time.Duration
}

func (o Options) withDefaults() Options {
	if o.OnCatalog == nil {
		o.OnCatalog = func(*catalog.Catalog, bool) {}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Stream == "" {
		o.Stream = logservice.StreamConfiguration
	}
	if o.PollWait == 0 {
		o.PollWait = DefaultPollWait
	}
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = DefaultSnapshotInterval
	}
	if o.SnapshotRecords == 0 {
		o.SnapshotRecords = DefaultSnapshotRecords
	}
	if o.SnapshotJitter == 0 {
		o.SnapshotJitter = DefaultSnapshotJitter
	}
	return o
}

// Follower reads the configuration for one process. Its methods are safe for
// concurrent use.
type Follower struct {
	opts     Options
	backoff  logservice.Backoff
	status   atomic.Pointer[Status]
	commands chan command
	batches  chan batch
	requests chan readRequest
	caughtUp chan struct{} // closed when the end of the log is first reached
	done     chan struct{}

	// Accessed only by the owner goroutine.
	replica   *change.Replica
	waiters   []*waiter
	snapshots snapshotTimer
	served    uint64
	atEnd     bool
	lastEnd   time.Time // of the latest handled batch that reached the end of the log
}

// command is a function that the owner goroutine runs.
type command func()

// readRequest tells the reader to make one read.
type readRequest struct {
	from int64
	wait time.Duration // how long to wait for the first record; 0 until the end of the log is reached
}

// batch is the result of one read.
type batch struct {
	from     int64
	response platformapi.ReadResponse
	err      error
}

// New returns a follower. It does nothing before Run is called.
func New(opts Options) *Follower {
	opts = opts.withDefaults()
	f := &Follower{
		opts:     opts,
		backoff:  logservice.NewBackoff(opts.Rand),
		commands: make(chan command),
		batches:  make(chan batch),
		requests: make(chan readRequest, 1),
		caughtUp: make(chan struct{}),
		done:     make(chan struct{}),
		replica:  change.NewReplica(),
	}
	f.snapshots = newSnapshotTimer(opts, rand.New(rand.NewPCG(opts.Rand.Uint64(), opts.Rand.Uint64())))
	f.storeStatus(nil)
	return f
}

// Run follows the log until the context ends. It must be called exactly once.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.runReader(ctx) })
	group.Go(func() error { return f.runOwner(ctx) })
	return group.Wait()
}

// runReader is the main loop of the reader goroutine.
func (f *Follower) runReader(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-f.requests:
			if err := f.readOnce(ctx, request); err != nil {
				return err
			}
		}
	}
}

func (f *Follower) readOnce(ctx context.Context, request readRequest) error {
	response, err := f.readHedged(ctx, request)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case f.batches <- batch{from: request.from, response: response, err: err}:
	}
	if err == nil {
		f.backoff.Reset()
		return nil
	}
	return f.backoff.Wait(ctx)
}

// runOwner is the main loop of the owner goroutine.
func (f *Follower) runOwner(ctx context.Context) error {
	f.requests <- f.nextRequest()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-f.batches:
			f.handleBatch(b)
			f.notifyCatalog()
			f.markEnd(b)
			f.requests <- f.nextRequest()
		case c := <-f.commands:
			c()
		case <-f.snapshots.timer.C:
			f.writeSnapshot(ctx)
		}
		f.notifyCatalog()
	}
}

func (f *Follower) nextRequest() readRequest {
	request := readRequest{from: f.replica.Next()}
	if f.atEnd {
		request.wait = f.opts.PollWait
	}
	return request
}

func (f *Follower) handleBatch(b batch) {
	if b.err != nil {
		f.opts.Logger.Warn("reading the configuration failed", zap.Error(b.err))
		f.storeStatus(b.err)
		return
	}
	f.checkOffsets(b)
	if b.response.Oldest > f.replica.Next() {
		err := logservice.CheckRetained(f.opts.Stream, f.replica.Next(), b.response.Oldest)
		f.opts.Logger.Warn("configuration records are missing", zap.Error(err))
		f.replica.ReportGap(b.response.Oldest)
	}
	for _, record := range b.response.Records {
		f.applyRecord(record)
	}
	f.notifyWaiters()
	f.scheduleSnapshot(b.response)
	f.storeStatus(nil)
	f.markCaughtUp(b.response.Next)
}

// markEnd records the time of a batch that has reached the end of the log.
func (f *Follower) markEnd(b batch) {
	if b.err == nil && f.replica.Next() >= b.response.Next {
		f.lastEnd = time.Now()
	}
}

// markCaughtUp unblocks WaitCaughtUp when the replica first reaches the end of
// the log.
func (f *Follower) markCaughtUp(end int64) {
	if f.atEnd || f.replica.Next() < end {
		return
	}
	f.atEnd = true
	close(f.caughtUp)
}

// WaitCaughtUp waits until the follower has read to the end of the log once.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	select {
	case <-f.caughtUp:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkOffsets logs an error if the log has lost records at its end. The platform
// guarantees that this never happens.
func (f *Follower) checkOffsets(b batch) {
	if b.response.Next < b.from {
		f.opts.Logger.Error("the log has gone back: restart the entries once the platform is whole",
			zap.Int64("expected_offset", b.from), zap.Int64("next_offset", b.response.Next))
	}
}

func (f *Follower) applyRecord(record platformapi.Record) {
	verdict := f.replica.Apply(record.Offset, record.Data)
	f.snapshots.observe(record, verdict.Kind, f.atEnd)
	fields := []zap.Field{
		zap.Int64("offset", record.Offset),
		zap.Stringer("verdict", verdict.Kind),
		zap.Uint64("version", verdict.Version),
	}
	if verdict.ChangeID != "" {
		fields = append(fields, zap.String("change", verdict.ChangeID), zap.Uint64("base", verdict.Base))
	}
	if verdict.Err != nil {
		f.opts.Logger.Warn("configuration record skipped", append(fields, zap.Error(verdict.Err))...)
		return
	}
	f.opts.Logger.Info("configuration record", fields...)
}

// notifyCatalog calls OnCatalog if the served version has increased.
func (f *Follower) notifyCatalog() {
	c := f.replica.Catalog()
	if c.Version <= f.served || f.catchingUp(c) {
		return
	}
	late := f.served == 0 || time.Since(f.lastEnd) > lateAge
	f.served = c.Version
	f.opts.OnCatalog(c, late)
}

// lateAge is the age above which a version counts as late. It is above the time
// between two reads of an idle log, PollWait plus HedgeDelay, and leaves a gradual
// change of 1.5 s enough of the 5 s within which a change must be in force.
const lateAge = 3200 * time.Millisecond

// catchingUp reports whether c comes from the beginning of a log that is still
// being read. A later record may forbid what c allows, so c must not be in force
// even briefly. If the log fails, c is served.
func (f *Follower) catchingUp(c *catalog.Catalog) bool {
	return !f.atEnd && f.Status().Err == nil && c.Version == f.replica.LogVersion()
}

// runOnOwner runs a command on the owner goroutine and waits for it to finish. It
// returns false if the follower stops or the context ends first.
func (f *Follower) runOnOwner(ctx context.Context, c command) bool {
	finished := make(chan struct{})
	wrapped := func() {
		c()
		close(finished)
	}
	select {
	case f.commands <- wrapped:
		<-finished
		return true
	case <-f.done:
		return false
	case <-ctx.Done():
		return false
	}
}
