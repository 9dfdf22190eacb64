// Package fakestore implements a stand-in for the store of the users' platform:
// a log with topics, conditional appends, producer epochs, keyed topics and
// consumer groups, and with fault switches. It speaks the published protocol of
// the platform and keeps all data in memory.
package fakestore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	value  []byte
	offset int64
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
	p.newest[key] = keyedRecord{value, p.end()}
}

type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
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

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	records, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := partitionOf(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readOnly[key.topic] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	p := s.partition(key)
	query := r.URL.Query()
	var prod *producer
	if name := query.Get("producer"); name != "" {
		var done bool
		if prod, done = p.admit(w, name, query.Get("epoch"), query.Get("seq"), len(records)); done {
			return
		}
	}
	if at := query.Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, refusal{End: lo.ToPtr(p.end())})
		return
	}
	response := appendReply{Offset: p.end(), End: p.end() + int64(len(records))}
	s.add(p, strings.HasPrefix(key.topic, keyedPrefix), records)
	if prod != nil && len(records) > 0 {
		prod.recordAppend(response, query.Get("seq"))
	}
	reply(w, http.StatusOK, response)
}

// admit checks the epoch and the sequence number of a producer. It returns true
// if it has written the reply: the append is refused, or it repeats an earlier
// one.
func (p *partition) admit(w http.ResponseWriter, name, epochText, seqText string, records int) (*producer, bool) {
	epoch, _ := strconv.ParseInt(epochText, 10, 64) // 0 if missing
	seq, _ := strconv.ParseInt(seqText, 10, 64)
	prod := p.producers[name]
	if prod == nil || epoch > prod.epoch {
		prod = &producer{epoch: epoch}
		p.producers[name] = prod
	}
	if epoch < prod.epoch {
		reply(w, http.StatusConflict, refusal{Reason: "fenced"})
		return nil, true
	}
	if records == 0 || !prod.started {
		return prod, false
	}
	if age := prod.seq - seq; age >= 0 && age < int64(len(prod.recentReplies)) {
		reply(w, http.StatusOK, prod.recentReplies[int64(len(prod.recentReplies))-1-age])
		return nil, true
	}
	if seq != prod.seq+1 {
		reply(w, http.StatusConflict, refusal{Reason: "seq", Expected: lo.ToPtr(prod.seq + 1)})
		return nil, true
	}
	return prod, false
}

func (p *producer) recordAppend(response appendReply, seqText string) {
	p.seq, _ = strconv.ParseInt(seqText, 10, 64)
	p.started = true
	p.recentReplies = append(p.recentReplies, response)
	if len(p.recentReplies) > dedupWindow {
		p.recentReplies = p.recentReplies[1:]
	}
}

// decodeRecords splits a body into records, each of which follows its length.
func decodeRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if n > len(body) || n > maxRecordBytes {
			return nil, false
		}
		records = append(records, slices.Clone(body[:n]))
		body = body[n:]
	}
	return records, true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	key := partitionOf(r)
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 if missing
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(key)
		changed := s.changed
		if from < p.first {
			defer s.mu.Unlock()
			reply(w, http.StatusGone, refusal{FirstOffset: lo.ToPtr(p.first)})
			return
		}
		if from < p.end() || waitMS == 0 {
			data := p.encode(from)
			s.mu.Unlock()
			_, _ = w.Write(data) // the caller may have disconnected
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the body of the reply to a read: the end of the log, its first
// offset, and the records from an offset on.
func (p *partition) encode(from int64) []byte {
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 2*offsetBytes), uint64(p.end()))
	data = binary.BigEndian.AppendUint64(data, uint64(p.first))
	if from >= p.end() {
		return data
	}
	for _, record := range p.records[from-p.first:] {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

type newestReply struct {
	Items   []newestItem `json:"items"`
	HasMore bool         `json:"has_more"`
	End     int64        `json:"end"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionOf(r))
	after := r.URL.Query().Get("after")
	keys := lo.Filter(lo.Keys(p.newest), func(k string, _ int) bool { return k > after })
	slices.Sort(keys)
	response := newestReply{End: p.end(), HasMore: len(keys) > maxPageItems, Items: []newestItem{}}
	for _, k := range keys[:min(len(keys), maxPageItems)] {
		response.Items = append(response.Items, newestItem{k, base64.StdEncoding.EncodeToString(p.newest[k].value), p.newest[k].offset})
	}
	reply(w, http.StatusOK, response)
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
