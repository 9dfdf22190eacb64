package change

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"lovagespread.example/catalog"
)

// script runs a transcript on one log with named replicas.
type script struct {
	replicas map[string]*Replica
	log      [][]byte
	copies   map[string]Copy
}

// TestRules runs transcripts with these directives:
//
//	change ID base=N KIND ARG  append a change
//	raw                        append the input as a record
//	snapshot of=R              append a snapshot of a replica
//	read R [from=N]            read to the end of the log; from: the oldest retained record
//	copy of=R as=NAME          save a copy under a name
//	adopt R copy=NAME [digest] adopt a copy; digest: with a wrong digest
//	fate R ID base=N           print the outcome of a change
func TestRules(t *testing.T) {
	datadriven.Walk(t, "testdata/rules", func(t *testing.T, path string) {
		s := &script{replicas: make(map[string]*Replica), copies: make(map[string]Copy)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.directive(t, d)
		})
	})
}

func (s *script) replica(name string) *Replica {
	if s.replicas[name] == nil {
		s.replicas[name] = NewReplica()
	}
	return s.replicas[name]
}

func (s *script) directive(t *testing.T, d *datadriven.TestData) string {
	name := func(key string) (value string) {
		d.MaybeScanArgs(t, key, &value)
		return value
	}
	switch d.Cmd {
	case "change":
		return s.change(t, d)
	case "raw":
		return s.append([]byte(d.Input))
	case "snapshot":
		snapshot, ok := s.replica(name("of")).Snapshot()
		if !ok {
			return "none\n"
		}
		data, err := EncodeSnapshot(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		return s.append(data)
	case "read":
		return s.read(t, d)
	case "copy":
		c, ok := s.replica(name("of")).Copy()
		s.copies[name("as")] = c
		return fmt.Sprintf("version %d: %t\n", c.Version, ok)
	case "adopt":
		return s.adopt(d, name("copy"))
	case "fate":
		var base uint64
		d.ScanArgs(t, "base", &base)
		outcome, acceptedID := s.replica(d.CmdArgs[0].Key).Outcome(d.CmdArgs[1].Key, base)
		return fmt.Sprintln([]string{"open", "accepted", "rejected", "unknown"}[outcome], acceptedID)
	}
	t.Fatalf("unknown directive %q", d.Cmd)
	return ""
}

func (s *script) append(data []byte) string {
	s.log = append(s.log, data)
	return fmt.Sprintf("offset %d\n", len(s.log)-1)
}

func (s *script) change(t *testing.T, d *datadriven.TestData) string {
	c := Change{ID: d.CmdArgs[0].Key, Author: "ann", Time: time.Unix(0, 0).UTC()}
	d.ScanArgs(t, "base", &c.Base)
	kind, arg := Kind(d.CmdArgs[2].Key), d.CmdArgs[3].Key
	c.Body = newBody(kind)
	switch body := c.Body.(type) {
	case *ReplaceServices:
		body.Services = []catalog.Service{{Name: arg}}
	case *Edit:
		body.PutServices = []catalog.Service{{Name: arg, Slots: int(c.Base)}}
		body.RemoveTeams = []string{arg}
	case *PutTeam:
		body.Team = catalog.Team{Name: arg, Weight: 1}
	case *RemoveTeam:
		body.Name = arg
	case *Drain:
		body.Drain = catalog.Drain{Scope: catalog.ScopeEndpoint, Name: arg}
	case *Undrain:
		body.Drain = catalog.Drain{Scope: catalog.ScopeEndpoint, Name: arg}
	case *SetKeyNumbers:
		body.Numbers = []int{len(arg)}
	case *RaiseFormat:
		body.Format = len(arg)
	}
	data, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	return s.append(data)
}

func (s *script) read(t *testing.T, d *datadriven.TestData) string {
	r := s.replica(d.CmdArgs[0].Key)
	var oldest int64
	d.MaybeScanArgs(t, "from", &oldest)
	r.ReportGap(oldest)
	var out strings.Builder
	for r.Next() < int64(len(s.log)) {
		v := r.Apply(r.Next(), s.log[r.Next()])
		fmt.Fprintf(&out, "%d %s %s", v.Offset, v.Kind, v.ChangeID)
		if v.Err != nil {
			fmt.Fprintf(&out, "(%v)", v.Err)
		}
		out.WriteString("\n")
	}
	out.WriteString(describe(r))
	return out.String()
}

func describe(r *Replica) string {
	c := r.Catalog()
	var names []string
	for _, s := range c.Services {
		names = append(names, s.Name)
	}
	for _, team := range c.Teams {
		names = append(names, team.Name)
	}
	for _, drain := range c.Drains {
		names = append(names, "-"+drain.Name)
	}
	return fmt.Sprintf("version %d %v keys %v, log version %d, complete %t, outdated %t\n",
		c.Version, names, c.KeyNumbers, r.LogVersion(), r.Complete(), r.Outdated())
}

func (s *script) adopt(d *datadriven.TestData, name string) string {
	r := s.replica(d.CmdArgs[0].Key)
	c := s.copies[name]
	if d.HasArg("digest") {
		c.Digest = []byte("wrong")
	}
	newer, err := r.Adopt(c.Version, c.Digest, c.Body)
	if err != nil {
		return err.Error() + "\n"
	}
	return fmt.Sprintf("newer: %t\n%s", newer, describe(r))
}
