package fakeplatform

import (
	"time"

	"lovagespread.example/logservice/platformapi"
)

// stream holds the retained records of one stream.
type stream struct {
	records []platformapi.Record
	oldest  int64
	changed chan struct{} // closed at the next append
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (s *stream) next() int64 { return s.oldest + int64(len(s.records)) }

func (s *stream) append(now time.Time, records [][]byte) (first int64) {
	first = s.next()
	for _, data := range records {
		s.records = append(s.records, platformapi.Record{Offset: s.next(), Time: now, Data: data})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// read returns up to limit records, starting at an offset or at the oldest
// retained record if that is later.
func (s *stream) read(from int64, limit int) []platformapi.Record {
	from = min(max(from, s.oldest), s.next())
	rest := s.records[from-s.oldest:]
	return append([]platformapi.Record(nil), rest[:min(limit, len(rest))]...)
}

func (s *stream) trim(before int64) {
	before = min(max(before, s.oldest), s.next())
	s.records = s.records[before-s.oldest:]
	s.oldest = before
}

// expire drops the records that exceed the retention by count or by age.
func (s *stream) expire(now time.Time, opts Options) {
	before := s.oldest
	if opts.RetainRecords > 0 {
		before = max(before, s.next()-int64(opts.RetainRecords))
	}
	if opts.RetainFor > 0 {
		for before < s.next() && now.Sub(s.records[before-s.oldest].Time) > opts.RetainFor {
			before++
		}
	}
	s.trim(before)
}
