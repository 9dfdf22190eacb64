package fleet

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
)

// scriptedLog is a keyed log whose reads return what a test appends.
type scriptedLog struct {
	list    []follow.Record
	records []follow.Record
	next    int64
}

func (l *scriptedLog) Newest(context.Context) ([]follow.Record, int64, error) {
	return l.list, l.next, nil
}

func (l *scriptedLog) Read(_ context.Context, from int64, _ time.Duration) ([]follow.Record, int64, error) {
	records := l.records
	l.records = nil
	l.next = from + int64(len(records))
	return records, l.next, nil
}

// decodeWords decodes "SERVICE ADDRESS DOMAIN BORN-DIGITS CPU-DIGITS".
func decodeWords(key string, record []byte) (leased.Endpoint, error) {
	words := strings.Fields(string(record))
	if len(words) != 5 {
		return leased.Endpoint{}, errors.New("unusable")
	}
	return leased.Endpoint{ID: leased.EndpointID(key), Service: words[0], Address: words[1], FailureDomain: words[2], Born: int64(len(words[3])), Capacity: leased.Demand{MilliCores: len(words[4])}}, nil
}

const soundRecord = "s a:1 d 11 222"

// oddRecords are records of another writer under the key of a sound endpoint.
var oddRecords = map[string]string{
	"unusable": "?", "address": "s b:1 d 11 222", "service": "t a:1 d 11 222", "failure domain": "s a:1 e 11 222",
	"address and later start": "s b:1 d 1111 222",
}

// Guards against an endpoint that leaves the list, its cell or its service, with all that
// runs there, because another writer has replaced its record for a moment.
func TestOddRecordDoesNotReplaceASoundEndpoint(t *testing.T) {
	for name, odd := range oddRecords {
		for _, listed := range []bool{false, true} {
			l := testLoop(t, nil)
			p := &Process{loop: l, log: zap.NewNop(), peers: l.peers}
			source := &scriptedLog{list: []follow.Record{{Key: "k", Value: []byte(soundRecord)}, {Key: "other", Value: []byte(soundRecord)}}}
			s := &Sources{Endpoints: source, DecodeEndpoint: decodeWords}
			log, update, copied := p.relayedEndpoints(s), p.endpointUpdater(s), follow.NewCopy(time.Now(), false)
			read := func(list bool) leased.Endpoint {
				records, next, err := log.Read(context.Background(), 0, 0)
				if list {
					records, next, err = log.Newest(context.Background())
				}
				if err != nil {
					t.Fatal(err)
				}
				copied.Apply(time.Now(), follow.Reply{Records: records, Next: next, Listed: list})
				update(copied.Records())
				list2 := (<-l.messages).(setDirectory).directory.Endpoints
				at := slices.IndexFunc(list2, func(e leased.Endpoint) bool { return e.ID == "k" })
				if len(list2) != 2 || at < 0 {
					t.Fatalf("%s: the endpoints are %+v, want both", name, list2)
				}
				return list2[at]
			}
			sound := read(true)
			if listed {
				source.list[0].Value = []byte(odd)
			} else {
				source.records = []follow.Record{{Key: "k", Value: []byte(odd)}}
			}
			if e := read(listed); e.Address != sound.Address || e.Service != sound.Service || e.FailureDomain != sound.FailureDomain || e.Capacity != sound.Capacity {
				t.Errorf("%s, listed %v: the endpoint is %+v, want %+v", name, listed, e, sound)
			}
			source.records = []follow.Record{{Key: "k", Value: []byte(soundRecord)}}
			if e := read(false); e.Address != sound.Address || e.Capacity != sound.Capacity {
				t.Errorf("%s, listed %v: after its own record the endpoint is %+v, want %+v", name, listed, e, sound)
			}
		}
	}
}

// Guards against an endpoint that really has another address, or whose record stays
// unusable, and that is never listed so.
func TestOddRecordThatStaysIsPassedOn(t *testing.T) {
	for name, odd := range oddRecords {
		now := time.Unix(1000, 0)
		source := &scriptedLog{list: []follow.Record{{Key: "k", Value: []byte(soundRecord)}}}
		l := newSteadyLog(source, newRecordDecoder(decodeWords, zap.NewNop()), zap.NewNop())
		l.now = func() time.Time { return now }
		read := func(values ...string) []follow.Record {
			for _, v := range values {
				source.records = append(source.records, follow.Record{Key: "k", Value: []byte(v)})
			}
			records, _, err := l.Read(context.Background(), 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			return records
		}
		if _, _, err := l.Newest(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := read(odd); len(got) != 0 {
			t.Errorf("%s: %s is passed on at once", name, got)
		}
		now = now.Add(oddRecordDelay - time.Millisecond)
		if got := read(); len(got) != 0 {
			t.Errorf("%s: %s is passed on early", name, got)
		}
		now = now.Add(time.Millisecond)
		if got := read(); len(got) != 1 || string(got[0].Value) != odd {
			t.Errorf("%s: %s is passed on after the delay, want the record", name, got)
		}
		if got := read(); len(got) != 0 || len(l.keptBack) != 0 {
			t.Errorf("%s: %s is passed on again", name, got)
		}
		now = now.Add(time.Hour)
		read(soundRecord)
		now = now.Add(oddRecordDelay)
		read()
		if got := read(""); len(got) != 1 || len(l.passed)+len(l.keptBack)+len(l.decoder.newest) != 0 {
			t.Errorf("%s: %s, %d, %d and %d records are kept after a deletion, want none", name, got, len(l.passed), len(l.keptBack), len(l.decoder.newest))
		}
	}
}

// Guards against one record whose decoding panics, and that ends the process, after each
// start again, or keeps the records of all other endpoints from being used.
func TestRecordThatPanicsHidesNoOthers(t *testing.T) {
	decode := func(key string, record []byte) (leased.Endpoint, error) {
		if string(record) == "panic" {
			panic("odd record")
		}
		return decodeWords(key, record)
	}
	source := &scriptedLog{list: []follow.Record{{Key: "k", Value: []byte("panic")}, {Key: "other", Value: []byte(soundRecord)}}}
	l := newSteadyLog(source, newRecordDecoder(decode, zap.NewNop()), zap.NewNop())
	list, _, err := l.Newest(context.Background())
	if err != nil || len(list) != 1 || list[0].Key != "other" {
		t.Errorf("list: %s, %v, want only the other record", list, err)
	}
	source.records = []follow.Record{{Key: "k", Value: []byte("panic")}, {Key: "k", Value: []byte(soundRecord)}, {Key: "other", Value: []byte("panic")}}
	records, _, err := l.Read(context.Background(), 0, 0)
	if err != nil || len(records) != 1 || string(records[0].Value) != soundRecord {
		t.Errorf("records %s, %v, want only the sound one", records, err)
	}
	l.now = func() time.Time { return time.Now().Add(time.Hour) }
	if records, _, err = l.Read(context.Background(), 0, 0); err != nil || len(records) != 0 {
		t.Errorf("records %s, %v an hour later, want none", records, err)
	}
}
