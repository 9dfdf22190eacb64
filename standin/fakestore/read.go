package fakestore

import (
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"
)

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

// newest encodes its reply without the lock, so that a large list delays no other call.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	keys, records, response := s.newestPage(partitionOf(r), r.URL.Query().Get("after"))
	for i, k := range keys {
		response.Items = append(response.Items, newestItem{k, records[i].encoded, records[i].offset})
	}
	reply(w, http.StatusOK, response)
}

// newestPage returns the keys and records of the page that begins after a key, and the
// reply without its items. A page has at least one record, if there is one.
func (s *Store) newestPage(key partitionKey, after string) ([]string, []keyedRecord, newestReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(key)
	keys := lo.Filter(lo.Keys(p.newest), func(k string, _ int) bool { return k > after })
	slices.Sort(keys)
	var page []keyedRecord
	size := 0
	for _, k := range keys {
		record := p.newest[k]
		size += len(k) + base64.StdEncoding.DecodedLen(len(record.encoded))
		if len(page) == maxPageItems || size > maxPageBytes && len(page) > 0 {
			break
		}
		page = append(page, record)
	}
	return keys[:len(page)], page, newestReply{End: p.end(), HasMore: len(keys) > len(page), Items: []newestItem{}}
}
