package claim

import "time"

// MaxBatch is the maximum number of records in one append.
const MaxBatch = 500

// Options are the fixed parameters of a Claimer.
type Options struct {
	Interval   time.Duration // minimum time between the starts of two appends
	Retention  time.Duration // time for which a binding is kept
	Timeout    time.Duration // time after which a pending claim is refused
	MaxPending int           // maximum number of claims that wait for the log
}

// Claimer decides which job IDs keys are bound to. It is not safe for
// concurrent use.
type Claimer struct {
	opts       Options
	ready      Ready
	bindings   map[Key]string // to job IDs
	retained   []retainedKey  // keys of bindings, oldest first
	pending    map[Key]*pendingClaim
	byArrival  []*pendingClaim // pending claims and some closed ones, oldest first
	queue      []*pendingClaim // claims to append, oldest first
	inFlight   []*pendingClaim // claims of the append in progress
	appending  bool            // whether an append is in progress
	nextAppend time.Time       // earliest time of the next append
	nextOffset int64           // offset of the next record to read
}

type retainedKey struct {
	key   Key
	until time.Time
}

type pendingClaim struct {
	record   Record
	deadline time.Time
	closed   bool
}

// New returns a Claimer that has read no records. It must get all records of
// the log, from the oldest one on, before its output may be used to answer
// callers.
func New(opts Options) *Claimer {
	return &Claimer{
		opts:     opts,
		bindings: make(map[Key]string),
		pending:  make(map[Key]*pendingClaim),
	}
}

// Step applies one input at the given time and returns the resulting actions.
func (c *Claimer) Step(now time.Time, in Input) *Ready {
	c.ready.Append = nil
	c.ready.Bindings = c.ready.Bindings[:0]
	c.ready.Refusals = c.ready.Refusals[:0]
	switch in := in.(type) {
	case *Request:
		c.request(now, in)
	case *Appended:
		c.appending = false
		c.inFlight = nil
	case *AppendFailed:
		c.appendFailed()
	case *RecordsRead:
		c.recordsRead(now, in)
	}
	c.expire(now)
	c.append(now)
	return &c.ready
}

// Offset returns the offset of the next record that RecordsRead should carry.
func (c *Claimer) Offset() int64 { return c.nextOffset }

func (c *Claimer) request(now time.Time, in *Request) {
	if id, ok := c.bindings[in.Key]; ok {
		c.ready.Bindings = append(c.ready.Bindings, Binding{Key: in.Key, JobID: id})
		return
	}
	if c.pending[in.Key] != nil {
		return // the binding of the pending claim answers this request too
	}
	if len(c.pending) >= c.opts.MaxPending {
		c.refuse(Record{Key: in.Key, JobID: in.JobID}, ReasonOverload)
		return
	}
	p := &pendingClaim{record: Record{Key: in.Key, JobID: in.JobID}, deadline: now.Add(c.opts.Timeout)}
	c.pending[in.Key] = p
	c.byArrival = append(c.byArrival, p)
	c.queue = append(c.queue, p)
}

// appendFailed puts the claims of the failed append back at the front of the
// queue.
func (c *Claimer) appendFailed() {
	c.appending = false
	c.queue = append(c.inFlight, c.queue...)
	c.inFlight = nil
}

func (c *Claimer) recordsRead(now time.Time, in *RecordsRead) {
	for i, r := range in.Records {
		offset := in.First + int64(i)
		if offset < c.nextOffset {
			continue
		}
		c.nextOffset = offset + 1
		c.bind(now, r)
	}
}

// bind binds the key of a record unless an earlier record has bound it.
func (c *Claimer) bind(now time.Time, r Record) {
	if _, ok := c.bindings[r.Key]; ok {
		return
	}
	c.bindings[r.Key] = r.JobID
	c.retained = append(c.retained, retainedKey{key: r.Key, until: now.Add(c.opts.Retention)})
	p := c.pending[r.Key]
	if p == nil {
		return
	}
	c.close(p)
	c.ready.Bindings = append(c.ready.Bindings, Binding{Key: r.Key, JobID: r.JobID, Own: p.record.JobID == r.JobID})
}

func (c *Claimer) close(p *pendingClaim) {
	p.closed = true
	delete(c.pending, p.record.Key)
}

func (c *Claimer) refuse(r Record, reason Reason) {
	c.ready.Refusals = append(c.ready.Refusals, Refusal{Key: r.Key, JobID: r.JobID, Reason: reason})
}

func (c *Claimer) expire(now time.Time) {
	for len(c.retained) > 0 && c.retained[0].until.Before(now) {
		delete(c.bindings, c.retained[0].key)
		c.retained = c.retained[1:]
	}
	for len(c.byArrival) > 0 && (c.byArrival[0].closed || now.After(c.byArrival[0].deadline)) {
		if p := c.byArrival[0]; !p.closed {
			c.close(p)
			c.refuse(p.record, ReasonLogUnavailable)
		}
		c.byArrival = c.byArrival[1:]
	}
}

// append starts an append of the waiting claims unless one is in progress or
// the minimum interval has not passed.
func (c *Claimer) append(now time.Time) {
	if c.appending || now.Before(c.nextAppend) {
		return
	}
	var batch []*pendingClaim
	remaining := c.queue[:0:0]
	for _, p := range c.queue {
		switch {
		case p.closed:
		case len(batch) < MaxBatch:
			batch = append(batch, p)
		default:
			remaining = append(remaining, p)
		}
	}
	c.queue = remaining
	if len(batch) == 0 {
		return
	}
	c.appending = true
	c.inFlight = batch
	c.nextAppend = now.Add(c.opts.Interval)
	for _, p := range batch {
		c.ready.Append = append(c.ready.Append, p.record)
	}
}
