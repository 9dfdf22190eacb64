package change

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"lovagespread.example/catalog"
)

// FuzzDecode checks that every record is either skipped or unchanged by another
// round of encoding and decoding, and that two replicas reach the same verdict on
// it.
func FuzzDecode(f *testing.F) {
	record, err := EncodeChange(Change{ID: "c", Time: time.Unix(0, 0).UTC(), Body: &PutTeam{Team: catalog.Team{Name: "t"}}})
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := EncodeSnapshot(Snapshot{Catalog: &catalog.Catalog{Version: 3}, NextOffset: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(snapshot)
	f.Add(bytes.Replace(record, []byte("put_team"), []byte("no_kind!"), 1))
	f.Add([]byte(`{"format":1,"checksum":"ef46db3751d8e999","change":{}}`))
	f.Add([]byte("null"))
	f.Add([]byte(`{} {}`))
	f.Add([]byte(`{"id":"c","base":0,"author":"a","time":"2026-01-01T00:00:00Z","kind":"drain","body":{"drain":{"scope":"rack","name":"r"}}}`))
	f.Add([]byte(`{"through":1,"catalog":{"version":1,"services":[{"name":"a","needs":{}}],"key_numbers":[1]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRecord(t, data)
		checkRecord(t, inEnvelope("change", data))
		checkRecord(t, inEnvelope("snapshot", data))
	})
}

// inEnvelope puts content into an envelope with the correct checksum.
func inEnvelope(key string, content []byte) []byte {
	return fmt.Appendf(nil, `{"format":1,"checksum":%q,%q:%s}`, checksum(content), key, content)
}

func checkRecord(t *testing.T, data []byte) {
	checkDeterministic(t, data)
	first, err := Decode(data, MaxFormat)
	if err != nil {
		var unreadable *UnreadableError
		if !errors.As(err, &unreadable) {
			t.Fatalf("error %v, want an *UnreadableError", err)
		}
		return
	}
	again := encode(t, first)
	second, err := Decode(again, MaxFormat)
	if err != nil {
		t.Fatalf("%s cannot be decoded after encoding: %v", again, err)
	}
	if !bytes.Equal(encode(t, second), again) {
		t.Fatalf("%s changes in a second round of encoding and decoding", data)
	}
}

func checkDeterministic(t *testing.T, data []byte) {
	a, b := NewReplica(), NewReplica()
	first, second := a.Apply(0, data), b.Apply(0, bytes.Clone(data))
	if first.Kind != second.Kind || !bytes.Equal(Digest(a.Catalog()), Digest(b.Catalog())) {
		t.Fatalf("two replicas reached the verdicts %v and %v, or different catalogs", first, second)
	}
}

func encode(t *testing.T, r Record) []byte {
	t.Helper()
	var data []byte
	var err error
	if r.Change != nil {
		data, err = EncodeChange(*r.Change)
	} else {
		data, err = EncodeSnapshot(*r.Snapshot)
	}
	if err != nil {
		t.Fatal(err)
	}
	return data
}
