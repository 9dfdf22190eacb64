// Package fakestore implements a stand-in for the store of the users' platform:
// a log with topics, conditional appends, producer epochs, keyed topics and
// consumer groups, and with fault switches. It speaks the published protocol of
// the platform and keeps all data in memory.
package fakestore

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
)

// keyedPrefix is the prefix of the names of keyed topics, which keep the newest
// record of each key.
const keyedPrefix = "keyed."

// Limits of the protocol, as the platform publishes them.
const (
	maxRecordBytes  = 262_144
	maxRequestBytes = 2_097_152
	maxPageItems    = 500
	maxPageBytes    = 1 << 20 // of keys and values
	lengthBytes     = 4
	offsetBytes     = 8
	dedupWindow     = 5 // newest appends of a producer whose repetition gets the same reply
)

// Faults are the fault switches of a store.
type Faults struct {
	Down        bool          // requests get status 503 and have no effect
	Busy        bool          // requests get status 429 and have no effect
	Delay       time.Duration // before each request is processed
	Hang        bool          // requests are neither processed nor answered
	LoseReplies bool          // appends are processed, but not answered
}

// Store is a stand-in store. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	partitions map[partitionKey]*partition
	groups     map[string]*group
	faults     Faults
	changed    chan struct{}  // closed at the next append
	calls      map[string]int // by path
	mux        *http.ServeMux
	// readOnly topics are written only by Put.
	readOnly map[string]bool
	now      func() time.Time
}

type partitionKey struct {
	topic string
	part  int
}

type partition struct {
	first     int64
	records   [][]byte
	newest    map[string]keyedRecord
	producers map[string]*producer
}

type keyedRecord struct {
	encoded string // base64 of the value
	offset  int64
}

type producer struct {
	epoch         int64
	started       bool // whether a record was appended in this epoch
	seq           int64
	recentReplies []appendReply
}

// New returns an empty store. Requests cannot append to the readOnly topics.
func New(readOnly ...string) *Store {
	s := &Store{
		partitions: make(map[partitionKey]*partition), groups: make(map[string]*group), changed: make(chan struct{}),
		calls: make(map[string]int), mux: http.NewServeMux(), readOnly: lo.SliceToMap(readOnly, func(t string) (string, bool) { return t, true }),
		now: time.Now,
	}
	s.mux.HandleFunc("POST /log-append", s.append)
	s.mux.HandleFunc("GET /log-read", s.read)
	s.mux.HandleFunc("GET /log-newest", s.newest)
	s.mux.HandleFunc("POST /log-trim", s.trim)
	s.mux.HandleFunc("POST /log-join", s.join)
	s.mux.HandleFunc("POST /log-leave", s.leave)
	s.mux.HandleFunc("POST /log-commit", s.commit)
	s.mux.HandleFunc("GET /log-owners", s.owners)
	return s
}

// SetFaults replaces the fault switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of requests to each path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Assign(s.calls)
}

// Put appends a record to a keyed topic, in place of the operator or of an
// executor. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(partitionKey{topic, 0}), true, [][]byte{append(record, value...)})
}

// Expire drops all records of a topic except the newest record of each key.
func (s *Store) Expire(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.partitions {
		if key.topic == topic {
			p.first += int64(len(p.records))
			p.records = nil
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.Busy:
		w.WriteHeader(http.StatusTooManyRequests)
	case f.Hang:
		<-r.Context().Done()
	case f.LoseReplies && r.URL.Path == "/log-append":
		s.mux.ServeHTTP(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *Store) partition(key partitionKey) *partition {
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: make(map[string]keyedRecord), producers: make(map[string]*producer)}
		s.partitions[key] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (s *Store) add(p *partition, keyed bool, records [][]byte) {
	for _, r := range records {
		if keyed {
			p.updateNewest(r)
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// updateNewest stores a record of a keyed topic as the newest of its key. A
// record consists of one byte with the length of the key, the key, and the value.
func (p *partition) updateNewest(record []byte) {
	if len(record) == 0 || int(record[0]) > len(record)-1 {
		return
	}
	key, value := string(record[1:1+record[0]]), record[1+record[0]:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = keyedRecord{base64.StdEncoding.EncodeToString(value), p.end()}
}

type refusal struct {
	Reason      string `json:"reason,omitempty"`
	Expected    *int64 `json:"seq,omitempty"`
	End         *int64 `json:"end,omitempty"`
	FirstOffset *int64 `json:"first_offset,omitempty"`
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have disconnected
}

func partitionOf(r *http.Request) partitionKey {
	part, _ := strconv.Atoi(r.URL.Query().Get("part")) // 0 if missing
	return partitionKey{r.URL.Query().Get("topic"), part}
}

// trimRequest is the body of a request to delete the records before an offset.
type trimRequest struct {
	Topic  string `json:"topic"`
	Part   int    `json:"part"`
	Before int64  `json:"before_offset"`
}

func (s *Store) trim(w http.ResponseWriter, r *http.Request) {
	var req trimRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionKey{req.Topic, req.Part})
	n := min(max(req.Before-p.first, 0), int64(len(p.records)))
	p.first += n
	p.records = p.records[n:]
	w.WriteHeader(http.StatusOK)
}
