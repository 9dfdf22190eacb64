package modelcheck

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

// State is one state of the modeled system.
type State struct {
	config    *Config
	ids       []jobid.ID
	remaining Faults
	entries   []entry
	jobs      []jobHistory
	messages  []message
	partition partition
	now       time.Time
	violation string // first violated invariant
}

// jobHistory is what has happened to a job, as an observer of the whole system
// would see it.
type jobHistory struct {
	starts           []int  // number of starts at the endpoint, one element for each task
	results          uint64 // bit i: task i returned a result
	reportedComplete bool   // the job was reported to a caller as complete
	reportedFailed   bool   // the job was reported to a caller as failed after a start
	reportedNotRun   bool   // the job was reported to a caller as not run
}

// attempt identifies one attempt of one task.
type attempt struct {
	job, task, number int
}

// phase is the progress of an entry's planned stop.
type phase uint8

const (
	serving    phase = iota
	sending          // sends the parts before the last one
	inDoubt          // the last part was sent and is not confirmed
	handedOver       // the successor has confirmed the last part
)

type entry struct {
	alive          bool
	ledger         *ledger.Ledger
	unwritten      []unwritten // started in the ledger, not written yet
	inFlight       []attempt   // written, no reply yet
	phase          phase
	successor      int
	partsSent      int            // parts sent before the last one
	currentPart    *ledger.Part   // awaits confirmation
	partInFlight   bool           // the current part or its confirmation is in transit
	deferred       []statusUpdate // received while in doubt
	cachedEncoding []byte         // of the state; nil: not computed
}

type unwritten struct {
	attempt
	leaseExpired bool
}

type statusUpdate struct {
	attempt
	status ledger.AttemptStatus
}

type messageKind uint8

const (
	requestMessage messageKind = iota // to the endpoint
	replyMessage                      // from the endpoint
	partMessage
	confirmMessage
	statusMessage // from a former owner to its successor: status of an attempt
)

type message struct {
	kind      messageKind
	from      int
	to        int
	update    statusUpdate
	part      *ledger.Part // shared, immutable
	ok        bool         // of a confirmation: the part was accepted
	duplicate bool         // the second copy of a message
}

// partition separates one entry from the others while it is active.
type partition struct {
	active       bool
	entry        int
	withEndpoint bool // the entry can reach the endpoint, the others cannot
}

const (
	lifetime = time.Minute
	epochSec = 1_700_000_000
)

// New returns the initial state of a configuration.
func New(config *Config) *State {
	s := &State{config: config, remaining: config.Faults, now: time.Unix(epochSec, 0)}
	issuers := make([]*jobid.Issuer, config.Entries)
	for e := range issuers {
		issuers[e] = newIssuer(incarnation(e))
		s.entries = append(s.entries, entry{alive: true, ledger: ledger.New(incarnation(e))})
	}
	for j, tasks := range config.Jobs {
		id, _ := issuers[j%config.Entries].Issue(s.now, lifetime)
		s.ids = append(s.ids, id)
		s.jobs = append(s.jobs, jobHistory{starts: make([]int, len(tasks))})
	}
	return s
}

func newIssuer(owner jobid.Incarnation) *jobid.Issuer {
	key := jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)}
	s, err := jobid.NewIssuer(owner, key)
	if err != nil {
		panic(err) // cannot happen: the key has the required length
	}
	return s
}

func incarnation(entry int) jobid.Incarnation { return jobid.Incarnation(entry + 1) }

// Violation describes the first invariant that was violated. It is empty if
// there is none.
func (s *State) Violation() string { return s.violation }

// Next returns the state after an action, which must be one of Actions. The
// new state shares with s only data that neither of them changes.
func (s *State) Next(a Action) *State {
	n := *s
	n.entries = slices.Clone(s.entries)
	n.jobs = slices.Clone(s.jobs)
	for j := range n.jobs {
		n.jobs[j].starts = slices.Clone(s.jobs[j].starts)
	}
	n.messages = slices.Clone(s.messages)
	for e := range n.entries {
		if s.mayChange(a, e) {
			n.entries[e].detach()
		}
	}
	n.apply(a)
	return &n
}

// mayChange reports whether an action may change an entry.
func (s *State) mayChange(a Action, e int) bool {
	switch a.Verb {
	case Partition, Heal, Duplicate:
		return false
	case Expire:
		return true
	case Run, Fail, Refuse, Lose, Deliver:
		m := &s.messages[a.Index]
		return e == m.from || e == m.to
	default:
		return e == a.Entry
	}
}

// detach copies the data that an action may change.
func (e *entry) detach() {
	e.cachedEncoding = nil
	if e.ledger != nil {
		e.ledger = e.ledger.Clone()
	}
	e.unwritten = slices.Clone(e.unwritten)
	e.inFlight = slices.Clone(e.inFlight)
	e.deferred = slices.Clone(e.deferred)
}

// AppendState appends an encoding that is the same for equal states.
func (s *State) AppendState(b []byte) []byte {
	b = s.remaining.appendState(b)
	b = fmt.Appendf(b, "%v%d", s.partition, s.now.Unix())
	for j := range s.jobs {
		b = s.jobs[j].appendState(b)
	}
	for e := range s.entries {
		entry := &s.entries[e]
		if entry.cachedEncoding == nil {
			entry.cachedEncoding = entry.appendState(nil)
		}
		b = append(b, entry.cachedEncoding...)
	}
	encoded := make([][]byte, len(s.messages))
	for i := range s.messages {
		encoded[i] = s.messages[i].appendState(nil)
	}
	slices.SortFunc(encoded, bytes.Compare)
	for _, m := range encoded {
		b = append(b, m...)
	}
	return b
}

func (h *jobHistory) appendState(b []byte) []byte {
	for _, starts := range h.starts {
		b = append(b, byte(starts))
	}
	b = binary.AppendUvarint(b, h.results)
	b = strconv.AppendBool(b, h.reportedComplete)
	b = strconv.AppendBool(b, h.reportedFailed)
	return strconv.AppendBool(b, h.reportedNotRun)
}

func (e *entry) appendState(b []byte) []byte {
	if !e.alive {
		return append(b, '-')
	}
	b = append(b, byte(e.phase), byte(e.successor), byte(e.partsSent))
	b = strconv.AppendBool(b, e.partInFlight)
	for _, u := range e.unwritten {
		b = u.attempt.appendState(b)
		b = strconv.AppendBool(b, u.leaseExpired)
	}
	b = append(b, '|')
	for _, a := range e.inFlight {
		b = a.appendState(b)
	}
	b = append(b, '|')
	for _, u := range e.deferred {
		b = append(u.attempt.appendState(b), byte(u.status))
	}
	b = append(b, '|')
	if e.currentPart != nil {
		b = e.currentPart.AppendState(b)
	}
	return e.ledger.AppendState(b)
}

func (a attempt) appendState(b []byte) []byte {
	return append(b, byte(a.job), byte(a.task), byte(a.number))
}

func (m *message) appendState(b []byte) []byte {
	b = append(b, byte(m.kind), byte(m.from), byte(m.to), byte(m.update.status))
	b = m.update.attempt.appendState(b)
	b = strconv.AppendBool(b, m.ok)
	b = strconv.AppendBool(b, m.duplicate)
	if m.part != nil {
		b = m.part.AppendState(b)
	}
	return append(b, ';')
}
