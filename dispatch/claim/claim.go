package claim

import "time"

// MaxBatch bounds the records of one append.
const MaxBatch = 500

// Options are the fixed parameters of a Claimer.
type Options struct {
	Interval   time.Duration // least time between two appends
	Retention  time.Duration // how long a binding is remembered
	Timeout    time.Duration // after this a claim is refused
	MaxPending int           // claims that wait for the log
}

// Claimer decides what keys stand for. It is not safe for concurrent use.
type Claimer struct {
	opts     Options
	ready    Ready
	bound    map[Key]string // job ID
	order    []remembered   // bindings, oldest first
	pending  map[Key]*pending
	arrived  []*pending // of pending and some that are over, oldest first
	queue    []*pending // to append, oldest first
	inFlight []*pending // of the append under way
	busy     bool       // an append is under way
	nextAt   time.Time  // earliest time of the next append
	offset   int64      // of the next record to read
}

type remembered struct {
	key   Key
	until time.Time
}

type pending struct {
	record   Record
	deadline time.Time
	over     bool
}

// New returns a Claimer that has read nothing. It must be fed the log from its
// oldest record on before it may answer callers.
func New(opts Options) *Claimer {
	return &Claimer{
		opts:    opts,
		bound:   make(map[Key]string),
		pending: make(map[Key]*pending),
	}
}

// Step applies one input at the given time and returns what has to be done.
func (c *Claimer) Step(now time.Time, in Input) *Ready {
	c.ready.Append = nil
	c.ready.Bindings = c.ready.Bindings[:0]
	c.ready.Refusals = c.ready.Refusals[:0]
	switch in := in.(type) {
	case *Request:
		c.want(now, in)
	case *Appended:
		c.busy = false
		c.inFlight = nil
	case *AppendFailed:
		c.failed()
	case *RecordsRead:
		c.observed(now, in)
	}
	c.expire(now)
	c.append(now)
	return &c.ready
}

// Offset returns the offset of the next record that Observed should bring.
func (c *Claimer) Offset() int64 { return c.offset }

func (c *Claimer) want(now time.Time, in *Request) {
	if id, ok := c.bound[in.Key]; ok {
		c.ready.Bindings = append(c.ready.Bindings, Binding{Key: in.Key, JobID: id})
		return
	}
	if c.pending[in.Key] != nil {
		return // answered together
	}
	if len(c.pending) >= c.opts.MaxPending {
		c.refuse(Record{Key: in.Key, JobID: in.JobID}, ReasonOverload)
		return
	}
	p := &pending{record: Record{Key: in.Key, JobID: in.JobID}, deadline: now.Add(c.opts.Timeout)}
	c.pending[in.Key] = p
	c.arrived = append(c.arrived, p)
	c.queue = append(c.queue, p)
}

// failed puts the claims of the append under way back to the front.
func (c *Claimer) failed() {
	c.busy = false
	c.queue = append(c.inFlight, c.queue...)
	c.inFlight = nil
}

func (c *Claimer) observed(now time.Time, in *RecordsRead) {
	for i, r := range in.Records {
		offset := in.First + int64(i)
		if offset < c.offset {
			continue
		}
		c.offset = offset + 1
		c.bind(now, r)
	}
}

// bind takes a record unless an earlier one has bound its key.
func (c *Claimer) bind(now time.Time, r Record) {
	if _, ok := c.bound[r.Key]; ok {
		return
	}
	c.bound[r.Key] = r.JobID
	c.order = append(c.order, remembered{key: r.Key, until: now.Add(c.opts.Retention)})
	p := c.pending[r.Key]
	if p == nil {
		return
	}
	c.close(p)
	c.ready.Bindings = append(c.ready.Bindings, Binding{Key: r.Key, JobID: r.JobID, Own: p.record.JobID == r.JobID})
}

func (c *Claimer) close(p *pending) {
	p.over = true
	delete(c.pending, p.record.Key)
}

func (c *Claimer) refuse(r Record, reason Reason) {
	c.ready.Refusals = append(c.ready.Refusals, Refusal{Key: r.Key, JobID: r.JobID, Reason: reason})
}

func (c *Claimer) expire(now time.Time) {
	for len(c.order) > 0 && c.order[0].until.Before(now) {
		delete(c.bound, c.order[0].key)
		c.order = c.order[1:]
	}
	for len(c.arrived) > 0 && (c.arrived[0].over || now.After(c.arrived[0].deadline)) {
		if p := c.arrived[0]; !p.over {
			c.close(p)
			c.refuse(p.record, ReasonLogUnavailable)
		}
		c.arrived = c.arrived[1:]
	}
}

// append sends the claims that wait, if none are under way and the budget
// allows it.
func (c *Claimer) append(now time.Time) {
	if c.busy || now.Before(c.nextAt) {
		return
	}
	var batch []*pending
	rest := c.queue[:0:0]
	for _, p := range c.queue {
		switch {
		case p.over:
		case len(batch) < MaxBatch:
			batch = append(batch, p)
		default:
			rest = append(rest, p)
		}
	}
	c.queue = rest
	if len(batch) == 0 {
		return
	}
	c.busy = true
	c.inFlight = batch
	c.nextAt = now.Add(c.opts.Interval)
	for _, p := range batch {
		c.ready.Append = append(c.ready.Append, p.record)
	}
}
