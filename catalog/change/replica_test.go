package change

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagespread.example/catalog"
)

// Settings of the property test, unless the command line has others.
var rapidFlags = map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "100", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	set := make(map[string]bool)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range rapidFlags {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// replicas under test, besides the one that reads every record.
const replicas = 4

// simulation is a log, its readers and what is on its way to the log.
type simulation struct {
	t        *rapid.T
	log      [][]byte
	oldest   int64
	complete *Replica // reads each record as it is appended
	readers  []*Replica
	served   []uint64 // highest version that each reader has served
	inFlight [][]byte // appends whose reply was lost and that may land later
	copies   []Copy
	digests  map[uint64][]byte
	changes  []Change
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, complete: NewReplica(), digests: make(map[uint64][]byte), served: make([]uint64, replicas)}
	for range replicas {
		w.readers = append(w.readers, NewReplica())
	}
	return w
}

func (w *simulation) append(data []byte) {
	w.log = append(w.log, data)
	w.complete.Apply(int64(len(w.log)-1), data)
}

func (w *simulation) reader() *Replica {
	return w.readers[rapid.IntRange(0, replicas-1).Draw(w.t, "reader")]
}

func (w *simulation) read(r *Replica, limit int) {
	r.ReportGap(w.oldest)
	for range limit {
		if r.Next() >= int64(len(w.log)) {
			return
		}
		r.Apply(r.Next(), w.log[r.Next()])
	}
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change":    func(*rapid.T) { w.change() },
		"garbage":   func(t *rapid.T) { w.append(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "garbage")) },
		"newFormat": func(*rapid.T) { w.append([]byte(`{"format":99,"checksum":"","change":{}}`)) },
		"land":      func(*rapid.T) { w.deliver() },
		"read":      func(t *rapid.T) { w.read(w.reader(), rapid.IntRange(1, 8).Draw(t, "records")) },
		"snapshot":  func(*rapid.T) { w.snapshot(w.reader()) },
		"copy":      func(*rapid.T) { w.copy(w.reader()) },
		"adopt":     func(*rapid.T) { w.adopt() },
		"forget":    func(*rapid.T) { w.trim() },
		"restart":   func(*rapid.T) { w.restart() },
		"":          func(*rapid.T) { w.check() },
	}
}

// change is an operator who publishes on what some reader serves, perhaps
// with a lost reply and a second copy.
func (w *simulation) change() {
	author := w.complete
	if rapid.Bool().Draw(w.t, "late author") {
		author = w.reader()
	}
	base := author.Catalog().Version
	c := Change{ID: fmt.Sprint("c", len(w.changes)), Base: base, Time: time.Unix(0, 0).UTC()}
	c.Body = &PutTeam{Team: catalog.Team{Name: c.ID, Weight: 1}}
	w.changes = append(w.changes, c)
	data, err := EncodeChange(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.send(data)
}

// send appends, delays or repeats a write.
func (w *simulation) send(data []byte) {
	delivery := rapid.IntRange(0, 3).Draw(w.t, "way")
	if delivery != 0 {
		w.append(data)
	}
	if delivery != 1 {
		w.inFlight = append(w.inFlight, data)
	}
}

func (w *simulation) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "write")
	w.append(w.inFlight[i])
	if rapid.Bool().Draw(w.t, "last") {
		w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	}
}

func (w *simulation) snapshot(r *Replica) {
	s, ok := r.Snapshot()
	if !ok {
		return
	}
	data, err := EncodeSnapshot(s)
	if err != nil {
		w.t.Fatal(err)
	}
	w.send(data)
}

func (w *simulation) copy(r *Replica) {
	if c, ok := r.Copy(); ok {
		w.copies = append(w.copies, c)
	}
}

func (w *simulation) adopt() {
	if len(w.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(w.copies).Draw(w.t, "copy")
	if _, err := w.reader().Adopt(c.Version, c.Digest, c.Body); err != nil {
		w.t.Fatal(err)
	}
}

// trim drops a few records, so that most slow readers still find theirs.
func (w *simulation) trim() {
	limit := min(w.oldest+2, int64(len(w.log)))
	w.oldest = rapid.Int64Range(w.oldest, limit).Draw(w.t, "oldest")
}

func (w *simulation) restart() {
	i := rapid.IntRange(0, replicas-1).Draw(w.t, "restarted")
	w.readers[i] = NewReplica()
	w.served[i] = 0
}

func (w *simulation) check() {
	w.checkDigest(w.complete.Catalog())
	for i, r := range w.readers {
		version := r.Catalog().Version
		if version < w.served[i] {
			w.t.Fatalf("reader %d fell from version %d to %d", i, w.served[i], version)
		}
		w.served[i] = version
		w.checkDigest(r.Catalog())
		w.checkDigest(r.logCatalog)
		w.checkOutcomes(r)
		if r.Counts().Conflicts != 0 {
			w.t.Fatalf("reader %d saw a conflicting copy", i)
		}
	}
}

// checkDigest checks that a version is the same wherever it is known.
func (w *simulation) checkDigest(c *catalog.Catalog) {
	digest := Digest(c)
	if known, ok := w.digests[c.Version]; ok && !bytes.Equal(known, digest) {
		w.t.Fatalf("two different versions %d", c.Version)
	}
	w.digests[c.Version] = digest
}

// checkOutcomes checks what a reader tells operators against the whole log.
func (w *simulation) checkOutcomes(r *Replica) {
	for _, c := range w.changes {
		outcome, _ := r.Outcome(c.ID, c.Base)
		want, _ := w.complete.Outcome(c.ID, c.Base)
		if (outcome == OutcomeAccepted || outcome == OutcomeRejected) && outcome != want {
			w.t.Fatalf("change %s: a reader says fate %d, the log says %d", c.ID, outcome, want)
		}
	}
}

// converge ends all faults: an entry that has read everything writes a snapshot
// and all readers read to the end.
func (w *simulation) converge() {
	if s, ok := w.complete.Snapshot(); ok {
		data, err := EncodeSnapshot(s)
		if err != nil {
			w.t.Fatal(err)
		}
		w.append(data)
	} else {
		w.oldest = 0
		w.readers = []*Replica{NewReplica()}
	}
	for i, r := range w.readers {
		w.read(r, len(w.log)+1)
		if !r.Complete() || !bytes.Equal(Digest(r.Catalog()), Digest(w.complete.Catalog())) {
			w.t.Fatalf("reader %d ends at version %d (complete: %t), the log at %d",
				i, r.Catalog().Version, r.Complete(), w.complete.Catalog().Version)
		}
	}
}

func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(w.actions())
		w.converge()
	})
}
