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

// State is one state of the modelled system.
type State struct {
	config   *Config
	ids      []jobid.ID
	left     Faults
	entries  []entry
	jobs     []truth
	messages []message
	cut      cut
	now      time.Time
	fault    string // first broken promise
}

// truth is what happened to a job, whoever knows it.
type truth struct {
	starts   []int  // at the endpoint, one element a task
	results  uint64 // bit i: task i gave a result
	complete bool   // a caller was told that the job is complete
	failed   bool   // a caller was told that the job failed after a start
	notRun   bool   // a caller was told that the job was not run
}

// attempt names one attempt of one task.
type attempt struct {
	job, task, number int
}

// phase is how far an entry's planned stop has come.
type phase uint8

const (
	serving phase = iota
	exporting
	inDoubt // the last part was sent
	given   // the successor has confirmed the last part
)

type entry struct {
	alive     bool
	ledger    *ledger.Ledger
	unwritten []unwritten // started in the ledger, not written yet
	running   []attempt   // written, no answer yet
	phase     phase
	successor int
	parts     int          // sent before the last one
	sent      *ledger.Part // awaits confirmation
	awaiting  bool         // a message of the current part is under way
	held      []answer     // fates learned while in doubt
	encoded   []byte       // of the state; empty: not known
}

type unwritten struct {
	attempt
	lapsed bool // the lease has ended
}

type answer struct {
	attempt
	fate ledger.AttemptStatus
}

type messageKind uint8

const (
	requestMessage messageKind = iota // to the endpoint
	replyMessage                      // from the endpoint
	partMessage
	confirmMessage
	fateMessage // a former owner tells its successor a fate
)

type message struct {
	kind   messageKind
	from   int
	to     int
	answer answer
	part   *ledger.Part // shared, never changed
	ok     bool         // of a confirmation
	copied bool         // the second copy of a message
}

// cut separates one entry from the others while on.
type cut struct {
	on           bool
	entry        int
	withEndpoint bool // the endpoint is on the side of the entry
}

const (
	lifetime = time.Minute
	epochSec = 1_700_000_000
)

// New returns the first world of a configuration.
func New(config *Config) *State {
	w := &State{config: config, left: config.Faults, now: time.Unix(epochSec, 0)}
	issuers := make([]*jobid.Issuer, config.Entries)
	for e := range issuers {
		issuers[e] = newIssuer(incarnation(e))
		w.entries = append(w.entries, entry{alive: true, ledger: ledger.New(incarnation(e))})
	}
	for j, tasks := range config.Jobs {
		id, _ := issuers[j%config.Entries].Issue(w.now, lifetime)
		w.ids = append(w.ids, id)
		w.jobs = append(w.jobs, truth{starts: make([]int, len(tasks))})
	}
	return w
}

func newIssuer(owner jobid.Incarnation) *jobid.Issuer {
	key := jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)}
	s, err := jobid.NewIssuer(owner, key)
	if err != nil {
		panic(err) // the key has the length that is asked for
	}
	return s
}

func incarnation(entry int) jobid.Incarnation { return jobid.Incarnation(entry + 1) }

// Violation names the first promise that was broken, or is empty.
func (w *State) Violation() string { return w.fault }

// Next returns the world that follows by a step, which must be one of Actions.
// It shares with w only what neither of them changes.
func (w *State) Next(a Action) *State {
	next := *w
	next.entries = slices.Clone(w.entries)
	next.jobs = slices.Clone(w.jobs)
	for j := range next.jobs {
		next.jobs[j].starts = slices.Clone(w.jobs[j].starts)
	}
	next.messages = slices.Clone(w.messages)
	for e := range next.entries {
		if w.concerns(a, e) {
			next.entries[e].detach()
		}
	}
	next.apply(a)
	return &next
}

// concerns reports whether a step may change an entry.
func (w *State) concerns(a Action, e int) bool {
	switch a.Verb {
	case Partition, Heal, Duplicate:
		return false
	case Expire:
		return true
	case Run, Fail, Refuse, Lose, Deliver:
		m := &w.messages[a.Index]
		return e == m.from || e == m.to
	default:
		return e == a.Entry
	}
}

func (e *entry) detach() {
	e.encoded = nil
	if e.ledger != nil {
		e.ledger = e.ledger.Clone()
	}
	e.unwritten = slices.Clone(e.unwritten)
	e.running = slices.Clone(e.running)
	e.held = slices.Clone(e.held)
}

// AppendState appends an encoding by which equal worlds are told.
func (w *State) AppendState(b []byte) []byte {
	b = w.left.appendState(b)
	b = fmt.Appendf(b, "%v%d", w.cut, w.now.Unix())
	for j := range w.jobs {
		b = w.jobs[j].appendState(b)
	}
	for e := range w.entries {
		entry := &w.entries[e]
		if entry.encoded == nil {
			entry.encoded = entry.appendState(nil)
		}
		b = append(b, entry.encoded...)
	}
	encoded := make([][]byte, len(w.messages))
	for i := range w.messages {
		encoded[i] = w.messages[i].appendState(nil)
	}
	slices.SortFunc(encoded, bytes.Compare)
	for _, m := range encoded {
		b = append(b, m...)
	}
	return b
}

func (t *truth) appendState(b []byte) []byte {
	for _, starts := range t.starts {
		b = append(b, byte(starts))
	}
	b = binary.AppendUvarint(b, t.results)
	b = strconv.AppendBool(b, t.complete)
	b = strconv.AppendBool(b, t.failed)
	return strconv.AppendBool(b, t.notRun)
}

func (e *entry) appendState(b []byte) []byte {
	if !e.alive {
		return append(b, '-')
	}
	b = append(b, byte(e.phase), byte(e.successor), byte(e.parts))
	b = strconv.AppendBool(b, e.awaiting)
	for _, u := range e.unwritten {
		b = u.attempt.appendState(b)
		b = strconv.AppendBool(b, u.lapsed)
	}
	b = append(b, '|')
	for _, r := range e.running {
		b = r.appendState(b)
	}
	b = append(b, '|')
	for _, h := range e.held {
		b = append(h.attempt.appendState(b), byte(h.fate))
	}
	b = append(b, '|')
	if e.sent != nil {
		b = e.sent.AppendState(b)
	}
	return e.ledger.AppendState(b)
}

func (a attempt) appendState(b []byte) []byte {
	return append(b, byte(a.job), byte(a.task), byte(a.number))
}

func (m *message) appendState(b []byte) []byte {
	b = append(b, byte(m.kind), byte(m.from), byte(m.to), byte(m.answer.fate))
	b = m.answer.attempt.appendState(b)
	b = strconv.AppendBool(b, m.ok)
	b = strconv.AppendBool(b, m.copied)
	if m.part != nil {
		b = m.part.AppendState(b)
	}
	return append(b, ';')
}
