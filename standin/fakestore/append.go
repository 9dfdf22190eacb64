package fakestore

import (
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
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
