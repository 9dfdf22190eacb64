package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lovagespread.example/standin/peerproxy"
)

// Limits of the store, as the pages and the settings file state them.
const (
	recordBytes  = 262_144
	requestBytes = 2_097_152
	storeAnswer  = 4 * time.Millisecond // "4 ms an answer"
)

// store is a stand-in of the platform's metadata store, by the page "What lovagespread
// speaks": topics, conditional appends, producers with epochs, keyed topics, trims.
type store struct {
	rec *recorder

	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	down    bool    // each call gets 503, and nothing is done
	lost    float64 // share of the writes that are done and not answered
	late    bool    // these are done 1 to 6 s later
	slow    time.Duration
}

type partition struct {
	first     int64
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
}

type newestRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch   int64
	started bool
	seq     int64
	replies []appendReply // of the last five appends
}

type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, parts: make(map[string]*partition), changed: make(chan struct{})}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.rec.printf("store down=%v", down)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) part(topic string, n int) *partition {
	key := topic + "/" + strconv.Itoa(n)
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: make(map[string]newestRecord), producers: make(map[string]*producer)}
		s.parts[key] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (s *store) add(p *partition, keyed bool, records [][]byte) {
	for _, r := range records {
		if keyed && len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+r[0]]), r[1+r[0]:]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestRecord{value, p.end()}
			}
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a keyed record in place of the operator or an executor. It returns false
// while the store is down.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.add(s.part(topic, 0), true, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
	return true
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, z *zoneStore) {
	time.Sleep(storeAnswer)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	lost, late, slow := s.lost, s.late, s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	if r.Method+" "+r.URL.Path == names["append"] && lost > 0 && rand.Float64() < lost {
		s.loseAnswer(r, late)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case names["append"]:
		if z.rig.proxied && r.URL.Query().Get("topic") == names["keyed"]+"entries" {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(strings.NewReader(peerproxy.Announced(string(body), z.rig.subnet)))
		}
		s.append(w, r)
	case names["read"]:
		s.read(w, r, z)
	case names["newest"]:
		s.listNewest(w, r, z)
	case names["trim"]:
		s.trim(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// loseAnswer carries a write out without an answer, at once or 1 to 6 s later.
func (s *store) loseAnswer(r *http.Request, late bool) {
	body, _ := io.ReadAll(http.MaxBytesReader(nil, r.Body, requestBytes))
	url := *r.URL
	do := func() {
		again, _ := http.NewRequest(http.MethodPost, url.String(), bytes.NewReader(body))
		s.append(discard{}, again)
	}
	if late {
		time.AfterFunc(time.Second+time.Duration(rand.Float64()*float64(5*time.Second)), do)
	} else {
		do()
	}
	<-r.Context().Done()
}

// zoneStore is the store as the entries of a zone reach it. The records of executors hold the
// addresses at which this zone reaches them.
type zoneStore struct {
	store *store
	zone  string
	rig   *rig
	cut   atomic.Bool // no call of the zone arrives
}

func (z *zoneStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if z.cut.Load() {
		<-r.Context().Done()
		return
	}
	z.store.serve(w, r, z)
}

func (z *zoneStore) executorRecord(value []byte) []byte {
	for _, x := range z.rig.executors {
		if door := x.doors[z.zone]; bytes.Contains(value, []byte(anyDoor+x.id)) {
			return bytes.ReplaceAll(value, []byte(anyDoor+x.id), []byte(door.address))
		}
	}
	return value
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func place(r *http.Request) (string, int) {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), n
}

// splitRecords splits the body of an append. A record of more than recordBytes is not valid.
func splitRecords(body []byte) (records [][]byte, largest int, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, largest, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		largest = max(largest, n)
		if n > len(body) || n > recordBytes {
			return nil, largest, false
		}
		records = append(records, bytes.Clone(body[:n]))
		body = body[n:]
	}
	return records, largest, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requestBytes))
	topic, n := place(r)
	records, largest, ok := splitRecords(body)
	if err != nil || !ok {
		s.rec.printf("store refuses append topic=%s part=%d: a record of %d bytes, the limit is %d", topic, n, largest, recordBytes)
		answer(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	if topic == topicOperator || topic == topicExecutors {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, n)
	q := r.URL.Query()
	var prod *producer
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		if prod = p.producers[name]; prod == nil || epoch > prod.epoch {
			prod = &producer{epoch: epoch}
			p.producers[name] = prod
		}
		if epoch < prod.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if len(records) > 0 && prod.started {
			if age := prod.seq - seq; age >= 0 && age < int64(len(prod.replies)) {
				answer(w, http.StatusOK, prod.replies[int64(len(prod.replies))-1-age])
				return
			}
			if seq != prod.seq+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": prod.seq + 1})
				return
			}
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	reply := appendReply{p.end(), p.end() + int64(len(records))}
	s.add(p, strings.HasPrefix(topic, names["keyed"]), records)
	if prod != nil && len(records) > 0 {
		prod.seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		prod.started = true
		prod.replies = append(prod.replies, reply)
		if len(prod.replies) > 5 {
			prod.replies = prod.replies[1:]
		}
	}
	answer(w, http.StatusOK, reply)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, z *zoneStore) {
	topic, n := place(r)
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(topic, n)
		changed := s.changed
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"first_offset": first})
			return
		}
		if from < p.end() || waitMS == 0 {
			data := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			data = binary.BigEndian.AppendUint64(data, uint64(p.first))
			for at := from; at < p.end() && (at == from || len(data) < maxKB<<10); at++ {
				record := p.records[at-p.first]
				if topic == topicExecutors {
					record = z.executorRecord(record)
				}
				data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
				data = append(data, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(data)
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
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request, z *zoneStore) {
	topic, n := place(r)
	after := r.URL.Query().Get("after")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, n)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), 500)] {
		value := p.newest[key].value
		if topic == topicExecutors {
			value = z.executorRecord(value)
		}
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), p.newest[key].offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > len(items), "end": p.end()})
}

func (s *store) trim(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Topic  string `json:"topic"`
		Part   int    `json:"part"`
		Before int64  `json:"before_offset"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(req.Topic, req.Part)
	drop := min(max(req.Before-p.first, 0), int64(len(p.records)))
	p.first += drop
	p.records = p.records[drop:]
	answer(w, http.StatusOK, map[string]any{})
}

// Topics that the platform writes.
var (
	topicOperator  = names["keyed"] + "op"
	topicExecutors = names["keyed"] + "servers"
)

// publishConfig writes the operator's configuration.
func (s *store) publishConfig(version, timeoutMS, maxAttempts int) {
	s.put(topicOperator, "config", fmt.Appendf(nil, wireText("config.json.txt"),
		version, routeHost, routePrefix, timeoutMS, serviceName, maxAttempts, serviceName))
	s.rec.printf("operator writes configuration version=%d timeout_ms=%d max_attempts=%d", version, timeoutMS, maxAttempts)
}
