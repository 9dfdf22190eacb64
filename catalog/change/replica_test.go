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

// rapidFlags are the default settings of the property test. Flags on the command
// line take precedence.
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

// replicas is the number of replicas under test, not counting the one that reads
// every record.
const replicas = 4

// simulation holds a log, its readers and the appends that are in flight.
type simulation struct {
	t        *rapid.T
	log      [][]byte
	oldest   int64
	complete *Replica // reads each record when it is appended
	readers  []*Replica
	served   []uint64 // highest version that each reader has served
	inFlight [][]byte // appends whose reply was lost and that may reach the log later
	copies   []Copy
	digests  map[uint64][]byte
	changes  []Change
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, complete: NewReplica(), digests: make(map[uint64][]byte), served: make([]uint64, replicas)}
	for range replicas {
		sim.readers = append(sim.readers, NewReplica())
	}
	return sim
}

func (sim *simulation) append(data []byte) {
	sim.log = append(sim.log, data)
	sim.complete.Apply(int64(len(sim.log)-1), data)
}

func (sim *simulation) reader() *Replica {
	return sim.readers[rapid.IntRange(0, replicas-1).Draw(sim.t, "reader")]
}

func (sim *simulation) read(r *Replica, limit int) {
	r.ReportGap(sim.oldest)
	for range limit {
		if r.Next() >= int64(len(sim.log)) {
			return
		}
		r.Apply(r.Next(), sim.log[r.Next()])
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change":    func(*rapid.T) { sim.change() },
		"garbage":   func(t *rapid.T) { sim.append(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "garbage")) },
		"newFormat": func(*rapid.T) { sim.append([]byte(`{"format":99,"checksum":"","change":{}}`)) },
		"land":      func(*rapid.T) { sim.deliver() },
		"read":      func(t *rapid.T) { sim.read(sim.reader(), rapid.IntRange(1, 8).Draw(t, "records")) },
		"snapshot":  func(*rapid.T) { sim.snapshot(sim.reader()) },
		"copy":      func(*rapid.T) { sim.copy(sim.reader()) },
		"adopt":     func(*rapid.T) { sim.adopt() },
		"forget":    func(*rapid.T) { sim.trim() },
		"restart":   func(*rapid.T) { sim.restart() },
		"":          func(*rapid.T) { sim.check() },
	}
}

// change publishes a change that is based on the version some reader serves. The
// reply may be lost and the change may be appended twice.
func (sim *simulation) change() {
	author := sim.complete
	if rapid.Bool().Draw(sim.t, "late author") {
		author = sim.reader()
	}
	base := author.Catalog().Version
	c := Change{ID: fmt.Sprint("c", len(sim.changes)), Base: base, Time: time.Unix(0, 0).UTC()}
	c.Body = &PutTeam{Team: catalog.Team{Name: c.ID, Weight: 1}}
	sim.changes = append(sim.changes, c)
	data, err := EncodeChange(c)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.send(data)
}

// send appends a record at once, delays it, or does both.
func (sim *simulation) send(data []byte) {
	delivery := rapid.IntRange(0, 3).Draw(sim.t, "delivery")
	if delivery != 0 {
		sim.append(data)
	}
	if delivery != 1 {
		sim.inFlight = append(sim.inFlight, data)
	}
}

func (sim *simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "write")
	sim.append(sim.inFlight[i])
	if rapid.Bool().Draw(sim.t, "last") {
		sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
	}
}

func (sim *simulation) snapshot(r *Replica) {
	s, ok := r.Snapshot()
	if !ok {
		return
	}
	data, err := EncodeSnapshot(s)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.send(data)
}

func (sim *simulation) copy(r *Replica) {
	if c, ok := r.Copy(); ok {
		sim.copies = append(sim.copies, c)
	}
}

func (sim *simulation) adopt() {
	if len(sim.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(sim.copies).Draw(sim.t, "copy")
	if _, err := sim.reader().Adopt(c.Version, c.Digest, c.Body); err != nil {
		sim.t.Fatal(err)
	}
}

// trim drops at most two records, so that most slow readers still find the
// records that they need.
func (sim *simulation) trim() {
	limit := min(sim.oldest+2, int64(len(sim.log)))
	sim.oldest = rapid.Int64Range(sim.oldest, limit).Draw(sim.t, "oldest")
}

func (sim *simulation) restart() {
	i := rapid.IntRange(0, replicas-1).Draw(sim.t, "restarted")
	sim.readers[i] = NewReplica()
	sim.served[i] = 0
}

func (sim *simulation) check() {
	sim.checkDigest(sim.complete.Catalog())
	for i, r := range sim.readers {
		version := r.Catalog().Version
		if version < sim.served[i] {
			sim.t.Fatalf("reader %d went back from version %d to %d", i, sim.served[i], version)
		}
		sim.served[i] = version
		sim.checkDigest(r.Catalog())
		sim.checkDigest(r.logCatalog)
		sim.checkOutcomes(r)
		if r.Counts().Conflicts != 0 {
			sim.t.Fatalf("reader %d counted a conflict", i)
		}
	}
}

// checkDigest checks that all readers have the same content for a version.
func (sim *simulation) checkDigest(c *catalog.Catalog) {
	digest := Digest(c)
	if known, ok := sim.digests[c.Version]; ok && !bytes.Equal(known, digest) {
		sim.t.Fatalf("version %d has two different contents", c.Version)
	}
	sim.digests[c.Version] = digest
}

// checkOutcomes compares the outcomes that a reader reports to operators with
// those of the replica that has read the whole log.
func (sim *simulation) checkOutcomes(r *Replica) {
	for _, c := range sim.changes {
		outcome, _ := r.Outcome(c.ID, c.Base)
		want, _ := sim.complete.Outcome(c.ID, c.Base)
		if (outcome == OutcomeAccepted || outcome == OutcomeRejected) && outcome != want {
			sim.t.Fatalf("change %s: a reader reports outcome %d, want %d", c.ID, outcome, want)
		}
	}
}

// converge ends all faults: the replica that has read every record writes a
// snapshot, and all readers read to the end of the log. They must then serve the
// same version. If there is no snapshot to write, a new replica reads the whole
// log instead.
func (sim *simulation) converge() {
	if s, ok := sim.complete.Snapshot(); ok {
		data, err := EncodeSnapshot(s)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.append(data)
	} else {
		sim.oldest = 0
		sim.readers = []*Replica{NewReplica()}
	}
	for i, r := range sim.readers {
		sim.read(r, len(sim.log)+1)
		if !r.Complete() || !bytes.Equal(Digest(r.Catalog()), Digest(sim.complete.Catalog())) {
			sim.t.Fatalf("reader %d ends at version %d (complete: %t), want version %d",
				i, r.Catalog().Version, r.Complete(), sim.complete.Catalog().Version)
		}
	}
}

func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions())
		sim.converge()
	})
}
