package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/fleet/follow"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

func TestRecordsArePackedAndUnpacked(t *testing.T) {
	var records []follow.Record
	plain := 0
	for i := range 3000 {
		value := fmt.Sprintf(`{"service":"s","address":"10.1.%d.%d:8021","zone":"a","slots":8,"state":"ready","capacity":{"cpu":64000,"mem_mb":131072},"seq":%d}`, i/250, i%250, i*7)
		records = append(records, follow.Record{Key: fmt.Sprintf("i-%05d", i), Value: []byte(value)})
		plain += len(value)
	}
	packed, err := packRecords(records)
	if err != nil {
		t.Fatal(err)
	}
	if 4*len(packed) > plain {
		t.Errorf("%d bytes become %d, want a quarter at most", plain, len(packed))
	}
	got, err := unpackRecords(packed)
	if err != nil || len(got) != len(records) || got[2999].Key != records[2999].Key || string(got[2999].Value) != string(records[2999].Value) {
		t.Errorf("%d records, %v, want all as they were", len(got), err)
	}
	for _, garbage := range [][]byte{nil, []byte("x"), packed[:len(packed)/2]} {
		if _, err := unpackRecords(garbage); err == nil {
			t.Errorf("%d bytes of garbage are accepted", len(garbage))
		}
	}
}

// Small failure domains read the log themselves; in large ones two entries do.
func TestReadersOfAFailureDomain(t *testing.T) {
	for _, entries := range []int{1, 12, 16, 60} {
		readers, followers := 0, 0
		for self := range entries {
			now := time.Now()
			entry := func(i int) cells.Entry {
				return cells.Entry{Name: fmt.Sprintf("a%02d", i), FailureDomain: "a", Incarnation: cells.Incarnation(100 + i), Weight: 0.2 + 0.2*float64(i%3), Interval: time.Second}
			}
			r := cells.New(entry(self), now.Add(-time.Minute))
			for other := range entries {
				if other != self {
					r.ReceiveHeartbeat(now, entry(other))
				}
			}
			r.ReceiveHeartbeat(now, cells.Entry{Name: "b", FailureDomain: "b", Incarnation: 1, Weight: 1, Interval: time.Second})
			role := relayRole(r.View(now))
			if role.Relays {
				readers++
			}
			if len(role.Readers) > 0 {
				followers++
				if role.Readers[0].Name != "a02" && role.Readers[0].Name != "a05" {
					t.Errorf("%d entries: entry %d asks %s first, want one of the largest", entries, self, role.Readers[0].Name)
				}
			}
		}
		wantReaders, wantFollowers := 0, 0
		if entries >= minRelayingDomain {
			wantReaders, wantFollowers = readersPerDomain, entries-readersPerDomain
		}
		if readers != wantReaders || followers != wantFollowers {
			t.Errorf("%d entries: %d readers, %d followers, want %d, %d", entries, readers, followers, wantReaders, wantFollowers)
		}
	}
}

// Guards against a list that is cut at the limit between two records, and then lacks the
// rest: the endpoints of that would be dropped.
func TestListBeyondTheLimitIsRefused(t *testing.T) {
	fill := maxUnpackedBytes - 1000
	rest := 0
	for rest != maxUnpackedBytes { // the length of a length varies
		list := &fleetpb.EndpointRecordList{Records: recordsToPB([]follow.Record{{Key: "a", Value: make([]byte, fill)}})}
		rest = proto.Size(list)
		fill += maxUnpackedBytes - rest
	}
	packed, err := packRecords([]follow.Record{{Key: "a", Value: make([]byte, fill)}, {Key: "b", Value: []byte("v")}})
	if err != nil {
		t.Fatal(err)
	}
	records, err := unpackRecords(packed)
	if _, tooLarge := errors.Into[*ListTooLargeError](err); !tooLarge {
		t.Errorf("%d records, %v, want a *ListTooLargeError", len(records), err)
	}
}

// FuzzRelayedList unpacks arbitrary lists. Other entries send them.
func FuzzRelayedList(f *testing.F) {
	for _, records := range [][]follow.Record{nil, {{Key: "a", Value: []byte("v")}}, {{Key: "", Value: nil}, {Key: "a", Value: []byte("v")}}} {
		packed, err := packRecords(records)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		if records, err := unpackRecords(packed); err != nil && records != nil {
			t.Errorf("%d records beside an error", len(records))
		}
	})
}
