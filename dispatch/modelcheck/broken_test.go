//go:build broken_resend

package modelcheck

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const brokenInvariant = "non-idempotent task"

// TestBrokenResendIsFoundByExploration checks that the exploration reports a
// second start if the ledger permits another attempt after one whose status is
// unknown.
func TestBrokenResendIsFoundByExploration(t *testing.T) {
	config := &Config{Entries: 2, Jobs: [][]bool{{false, false}}, MaxAttempts: 2, MaxPartRecords: 1, Faults: Faults{Losses: 1}}
	report := Explore(config, 100_000)
	if len(report.Violations) == 0 {
		t.Fatalf("%d states without a violation", report.States)
	}
	v := report.Violations[0]
	if !strings.Contains(v.Description, brokenInvariant) {
		t.Fatalf("found %q", v.Description)
	}
	t.Logf("%s after %v", v.Description, v.Steps)
}

// TestBrokenResendIsFoundByRandomWalks checks that the random walks report it
// too.
func TestBrokenResendIsFoundByRandomWalks(t *testing.T) {
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, randomWalk)
	}()
	<-done
	if !r.failed || !strings.Contains(r.text.String(), brokenInvariant) {
		t.Fatalf("failed = %t: %s", r.failed, r.text.String())
	}
}

// recorder records the failure of a property instead of failing the test.
type recorder struct {
	testing.TB
	failed bool
	text   strings.Builder
}

func (r *recorder) Helper()                         {}
func (r *recorder) Failed() bool                    { return r.failed }
func (r *recorder) Logf(format string, args ...any) { r.note(format, args...) }
func (r *recorder) Fail()                           { r.failed = true }

func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	r.note(format, args...)
}

func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	r.FailNow()
}

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

func (r *recorder) note(format string, args ...any) {
	fmt.Fprintf(&r.text, format+"\n", args...)
}
