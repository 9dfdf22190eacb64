package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/follow"
	"lovagespread.example/fleet/relay"
)

var start = time.Unix(1_800_000_000, 0)

// sameValue ignores what follows a slash, as a counter of heartbeats.
func sameValue(_ string, before, after []byte) bool { return stem(before) == stem(after) }

func stem(value []byte) string {
	var stem string
	if _, err := fmt.Sscanf(string(value), "%1s", &stem); err != nil {
		return ""
	}
	return stem
}

func record(key, value string) follow.Record { return follow.Record{Key: key, Value: []byte(value)} }

func TestJournalReturnsOnlyChanges(t *testing.T) {
	j := relay.NewJournal(sameValue)
	if _, _, err := j.Packed(start, pack); err == nil {
		t.Error("a journal that was never listed answers")
	}
	j.List(start, []follow.Record{record("a", "1/1"), record("b", "1/1")}, 10)
	j.Append(start, []follow.Record{record("a", "1/2"), record("b", "2/2"), record("c", "1/1")}, 13)
	j.Append(start, []follow.Record{record("a", "1/3"), record("c", ""), record("d", "")}, 16)
	for from, want := range map[int64]string{10: "[b c c]", 13: "[c]", 16: "[]", 12: "[b c c]"} {
		records, next, err := j.Since(start, from)
		keys := make([]string, 0, len(records))
		for _, r := range records {
			keys = append(keys, r.Key)
		}
		if err != nil || next != 16 || fmt.Sprint(keys) != want {
			t.Errorf("since %d: %v, next %d, %v, want %s", from, keys, next, err, want)
		}
	}
	if _, _, err := j.Since(start, 9); !isGap(err) {
		t.Errorf("changes before the list: %v, want a gap", err)
	}
	if _, _, err := j.Since(start, 17); err == nil || isGap(err) {
		t.Errorf("beyond the end: %v, want an error that is no gap", err)
	}
	if _, _, err := j.Since(start.Add(time.Minute), 16); err == nil {
		t.Error("a journal answers though the log was not reached for a minute")
	}
	list, next, err := j.Packed(start, pack)
	if records := unpack(list); err != nil || len(records) != 2 || next != 16 {
		t.Errorf("all: %v, next %d, %v, want a and b", records, next, err)
	}
	j.Append(start, []follow.Record{record("e", "1/1")}, 17)
	if _, next, err := j.Packed(start.Add(time.Second), pack); err != nil || next != 16 {
		t.Errorf("a list that was packed a second ago: next %d, %v, want it again", next, err)
	}
	j.Append(start.Add(6*time.Second), nil, 18)
	if _, next, err := j.Packed(start.Add(6*time.Second), pack); err != nil || next != 18 {
		t.Errorf("a list that was packed 6 s ago: next %d, %v, want a new one", next, err)
	}
}

// pack and unpack encode lists as JSON.
func pack(records []follow.Record) ([]byte, error) { return json.Marshal(records) }

func unpack(data []byte) (records []follow.Record) {
	if json.Unmarshal(data, &records) != nil {
		return nil
	}
	return records
}

func isGap(err error) bool {
	_, gap := errors.Into[*follow.GapError](err)
	return gap
}

// fakeLog is a log in memory whose reads can fail.
type fakeLog struct {
	records []follow.Record
	down    bool
	reads   int
}

func (l *fakeLog) Newest(context.Context) ([]follow.Record, int64, error) {
	if l.down {
		return nil, 0, errors.New("down")
	}
	l.reads++
	newest := make(map[string]follow.Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	var list []follow.Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			list = append(list, r)
		}
	}
	return list, int64(len(l.records)), nil
}

func (l *fakeLog) Read(_ context.Context, from int64, _ time.Duration) ([]follow.Record, int64, error) {
	if l.down {
		return nil, 0, errors.New("down")
	}
	l.reads++
	if from < 0 || from > int64(len(l.records)) {
		return nil, 0, &follow.GapError{From: from} // as the platform's store does
	}
	return l.records[from:], int64(len(l.records)), nil
}

// member is an entry that follows the log.
type member struct {
	log     *relay.Log
	journal *relay.Journal
	role    relay.Role
	down    bool // it answers no calls
	values  map[string]string
	next    int64
	listed  bool
}

func (m *member) poll(t *testing.T) error {
	t.Helper()
	ctx := context.Background()
	if m.listed {
		records, next, err := m.log.Read(ctx, m.next, 0)
		if err == nil {
			m.apply(records, next)
			return nil
		}
		if !isGap(err) {
			return err
		}
	}
	records, next, err := m.log.Newest(ctx)
	if err != nil {
		return err
	}
	m.listed, m.values = true, make(map[string]string)
	m.apply(records, next)
	return nil
}

func (m *member) apply(records []follow.Record, next int64) {
	m.next = next
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(m.values, r.Key)
			continue
		}
		m.values[r.Key] = stem(r.Value)
	}
}

// Readers fail, change and lose the log at random. Every entry that reaches the
// log or a reader must end with the newest values.
func TestFollowersAgreeWithTheLog(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			log := &fakeLog{}
			members := make(map[string]*member)
			for _, name := range []string{"a", "b", "c", "d"} {
				m := &member{journal: relay.NewJournal(sameValue)}
				ask := func(_ context.Context, r relay.Reader, from int64) ([]follow.Record, int64, error) {
					asked := members[r.Name]
					if asked.down {
						return nil, 0, errors.New("down")
					}
					if from < 0 {
						list, next, err := asked.journal.Packed(time.Now(), pack)
						return unpack(list), next, err
					}
					return asked.journal.Since(time.Now(), from)
				}
				m.log = relay.NewLog(log, m.journal, func() relay.Role { return m.role }, ask, oddReply(t))
				members[name] = m
			}
			setReaders := func(names ...string) {
				var readers []relay.Reader
				for _, name := range names {
					readers = append(readers, relay.Reader{Name: name})
				}
				for name, m := range members {
					m.role = relay.Role{Readers: readers}
					for _, reader := range names {
						if name == reader {
							m.role = relay.Role{Relays: true}
						}
					}
				}
			}
			setReaders("a", "b")
			for range 300 {
				switch rng.IntN(12) {
				case 0:
					setReaders(string(rune('a'+rng.IntN(2))), string(rune('c'+rng.IntN(2))))
				case 1:
					m := members[string(rune('a'+rng.IntN(4)))]
					m.down = !m.down
				case 2:
					log.down = rng.IntN(4) == 0
				case 3, 4, 5:
					key := fmt.Sprint(rng.IntN(20))
					value := fmt.Sprintf("%d/%d", rng.IntN(3), rng.IntN(1000))
					if rng.IntN(5) == 0 {
						value = ""
					}
					log.records = append(log.records, record(key, value))
				default:
					_ = members[string(rune('a'+rng.IntN(4)))].poll(t) // the log may be down
				}
			}
			log.down = false
			want := make(map[string]string)
			for _, r := range log.records {
				if delete(want, r.Key); len(r.Value) > 0 {
					want[r.Key] = stem(r.Value)
				}
			}
			for range 3 { // readers first read themselves, then the others
				for name, m := range members {
					if err := m.poll(t); err != nil {
						t.Fatalf("%s: %v", name, err)
					}
				}
			}
			for name, m := range members {
				if fmt.Sprint(m.values) != fmt.Sprint(want) {
					t.Errorf("%s knows %v, want %v", name, m.values, want)
				}
			}
		})
	}
}

// Entries that are not readers must not read the log while a reader answers: the
// log limits the bytes of all its readers together.
func TestFollowersLeaveTheLogToTheReaders(t *testing.T) {
	log := &fakeLog{records: []follow.Record{record("k", "1/1")}}
	reader := &member{journal: relay.NewJournal(sameValue), role: relay.Role{Relays: true}}
	reader.log = relay.NewLog(log, reader.journal, func() relay.Role { return reader.role }, nil, oddReply(t))
	if err := reader.poll(t); err != nil {
		t.Fatal(err)
	}
	before := log.reads
	ask := func(_ context.Context, _ relay.Reader, from int64) ([]follow.Record, int64, error) {
		if from < 0 {
			list, next, err := reader.journal.Packed(time.Now(), pack)
			return unpack(list), next, err
		}
		return reader.journal.Since(time.Now(), from)
	}
	for range 30 {
		m := &member{journal: relay.NewJournal(sameValue), role: relay.Role{Readers: []relay.Reader{{Name: "r"}}}}
		m.log = relay.NewLog(log, m.journal, func() relay.Role { return m.role }, ask, oddReply(t))
		for range 3 {
			if err := m.poll(t); err != nil {
				t.Fatal(err)
			}
		}
		if m.values["k"] != "1" {
			t.Fatalf("values %v", m.values)
		}
	}
	if log.reads != before {
		t.Errorf("30 entries read the log %d times, want none", log.reads-before)
	}
}

// oddReply fails a test whose readers are sound.
func oddReply(t *testing.T) func(error) { return func(err error) { t.Error(err) } }

// oddReader answers as a broken reader does.
type oddReader struct {
	list    []follow.Record
	next    int64 // after a list
	gap     bool  // every offset is a gap
	listed  int
	changes []follow.Record
	// maybeSound: a sound reader may answer like that, too, for a moment.
	maybeSound bool
}

func (r *oddReader) ask(_ context.Context, _ relay.Reader, from int64) ([]follow.Record, int64, error) {
	if from < 0 {
		r.listed++
		return r.list, r.next, nil
	}
	if r.gap {
		return nil, 0, &follow.GapError{From: from}
	}
	return r.changes, r.next, nil
}

// Guards against a broken reader that makes an entry lose the records of sound endpoints,
// or stop following the log: with a list of nothing, an offset beyond the log or before
// the caller's, or a gap at every offset, also at the one that it has just named.
func TestOddReaderIsNotFollowed(t *testing.T) {
	var sound []follow.Record
	for i := range 8 {
		sound = append(sound, record(fmt.Sprint("k", i), "1/1"))
	}
	for name, reader := range map[string]*oddReader{
		"list of nothing":              {next: 8, maybeSound: true},
		"list of a few":                {list: sound[:2], next: 8, maybeSound: true},
		"offset beyond the log":        {list: sound, next: 1<<63 - 1},
		"offset before the caller's":   {list: sound, next: 1},
		"negative offset":              {list: sound, next: -1},
		"gap at each offset":           {list: sound, next: 8, gap: true, maybeSound: true},
		"key without a name":           {list: append([]follow.Record{record("", "1/1")}, sound...), next: 8},
		"key that no log can have":     {list: append([]follow.Record{record(strings.Repeat("k", 256), "1/1")}, sound...), next: 8},
		"change without a name":        {list: sound, next: 8, changes: []follow.Record{record("", "1/1")}},
		"two records of a key in list": {list: append([]follow.Record{record("k1", "9/9")}, sound...), next: 8},
	} {
		t.Run(name, func(t *testing.T) {
			log := &fakeLog{records: sound}
			role, refused := relay.Role{}, 0
			m := &member{journal: relay.NewJournal(sameValue)}
			m.log = relay.NewLog(log, m.journal, func() relay.Role { return role }, reader.ask, func(error) { refused++ })
			if err := m.poll(t); err != nil || len(m.values) != 8 {
				t.Fatalf("%d records, %v", len(m.values), err)
			}
			role = relay.Role{Readers: []relay.Reader{{Name: "r"}}}
			m.listed = false
			for i := range 10 {
				log.records = append(log.records, record("k0", fmt.Sprintf("%d/1", i%3)))
				_ = m.poll(t) // an error makes the follower wait
				if len(m.values) != 8 {
					t.Fatalf("poll %d: %d records, want 8: %v", i, len(m.values), m.values)
				}
			}
			if m.values["k0"] != stem(log.records[len(log.records)-1].Value) {
				t.Errorf("k0 is %s, want the newest value", m.values["k0"])
			}
			if refused == 0 && !reader.maybeSound {
				t.Error("no reply of the reader was refused")
			}
			if reader.listed > 3 {
				t.Errorf("%d lists of the reader in 10 polls", reader.listed)
			}
		})
	}
}
