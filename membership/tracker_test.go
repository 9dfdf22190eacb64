package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var epoch = time.Unix(1_700_000_000, 0)

// transcript drives a tracker with the commands of a testdata file. Members are
// written as name/failure-domain, with "!" appended if they are leaving. The
// argument age of a list is in seconds.
type transcript struct {
	t       *testing.T
	now     time.Time
	tracker *Tracker
}

func TestTracker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &transcript{t: t, now: epoch, tracker: New(Options{
			Self: Entry{Name: "n2", FailureDomain: "a", Incarnation: 2},
		})}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return tr.run(d) })
	})
}

func (tr *transcript) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "list":
		return tr.step(tr.list(d))
	case "heartbeat":
		return tr.step(heartbeat(tr.t, d))
	case "answered":
		return tr.step(&EndpointAnswered{Name: d.CmdArgs[0].Key, Leaving: d.HasArg("leaving")})
	case "silent":
		return tr.step(&EndpointUnresponsive{Name: d.CmdArgs[0].Key})
	case "wait":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			tr.t.Fatal(err)
		}
		tr.now = tr.now.Add(wait)
		return tr.step(&Tick{})
	}
	tr.t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (tr *transcript) list(d *datadriven.TestData) *List {
	age := 0
	d.MaybeScanArgs(tr.t, "age", &age)
	list := &List{AsOf: tr.now.Add(-time.Duration(age) * time.Second)}
	for _, line := range strings.Fields(d.Input) {
		name, domain, _ := strings.Cut(line, "/")
		domain, leaving := strings.CutSuffix(domain, "!")
		state := Live
		if leaving {
			state = Leaving
		}
		if strings.HasPrefix(name, "n") {
			list.Entries = append(list.Entries, Entry{Name: name, FailureDomain: domain, State: state})
			continue
		}
		list.Endpoints = append(list.Endpoints, Endpoint{Name: name, FailureDomain: domain, State: state})
	}
	return list
}

func heartbeat(t *testing.T, d *datadriven.TestData) *Heartbeat {
	var incarnation, sequence, successor uint64
	domain := "a"
	d.MaybeScanArgs(t, "inc", &incarnation)
	d.MaybeScanArgs(t, "seq", &sequence)
	d.MaybeScanArgs(t, "successor", &successor)
	d.MaybeScanArgs(t, "domain", &domain)
	e := Entry{
		Name: d.CmdArgs[0].Key, FailureDomain: domain,
		Incarnation: Incarnation(incarnation), Sequence: sequence, Successor: Incarnation(successor),
	}
	if d.HasArg("leaving") {
		e.State = Leaving
	}
	return &Heartbeat{From: e}
}

func (tr *transcript) step(in Input) string {
	view, changed := tr.tracker.Step(tr.now, in)
	if !changed {
		return "unchanged"
	}
	var b strings.Builder
	for _, e := range view.Others {
		fmt.Fprintf(&b, "entry %s #%d %s", e.Name, e.Incarnation, e.State)
		if e.Ended {
			b.WriteString(" ended")
		}
		if owner, ok := view.Owner(e.Incarnation); ok && owner.Incarnation != e.Incarnation {
			fmt.Fprintf(&b, " served by #%d", owner.Incarnation)
		}
		b.WriteByte('\n')
	}
	for _, e := range view.ListedOnly {
		fmt.Fprintf(&b, "unheard %s\n", e.Name)
	}
	for _, e := range view.Endpoints {
		fmt.Fprintf(&b, "endpoint %s %s\n", e.Name, e.State)
	}
	fmt.Fprintf(&b, "share %d of %d, successor #%d\n", view.Rank, view.Entries, view.Successor.Incarnation)
	return b.String()
}
