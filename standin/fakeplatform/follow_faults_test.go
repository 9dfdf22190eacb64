package fakeplatform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/follow"
)

func mustPublish(t *testing.T, p *process, id string, base uint64) {
	t.Helper()
	if version, err := publish(t, p, newChange(id, base)); err != nil || version != base+1 {
		t.Fatalf("change %s to version %d: got version %d, %v", id, base, version, err)
	}
}

// copyVersion copies the newest version from one process to another, as entries
// do between each other.
func copyVersion(t *testing.T, from, to *process) {
	t.Helper()
	newest, ok := from.Copy(t.Context())
	if !ok {
		t.Fatal("the process has no version to copy")
	}
	if _, err := to.Adopt(t.Context(), newest); err != nil {
		t.Fatal(err)
	}
}

func TestStartDuringOutageAdoptsVersionOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{})
		a := start(t, client(), 1, nil)
		mustPublish(t, a, "c1", 0)
		p.SetDown(true)
		b := start(t, client(), 2, nil)
		time.Sleep(convergenceTimeout)
		status := b.Status()
		if reason := status.Reason(); reason == "" || b.version() != 0 {
			t.Fatalf("version %d, reason %q", b.version(), reason)
		}
		copyVersion(t, a, b)
		if b.version() != 1 {
			t.Fatalf("version %d after the copy", b.version())
		}
		p.SetDown(false)
		mustPublish(t, a, "c2", 1)
		expectVersion(t, 2, a, b)
	})
}

func TestVersionNeverDecreasesAfterAdopt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{})
		a := start(t, client(), 1, nil)
		for i, id := range []string{"c1", "c2", "c3"} {
			mustPublish(t, a, id, uint64(i))
		}
		p.SetDown(true)
		b := start(t, client(), 2, nil)
		copyVersion(t, a, b)
		p.SetDown(false)
		// b now reads versions 1 and 2 from the log, which are older than the
		// copy. start fails the test if b applies one of them.
		expectVersion(t, 3, a, b)
		if logVersion := b.Status().LogVersion; logVersion != 3 {
			t.Errorf("version derived from the log is %d, want 3", logVersion)
		}
	})
}

func TestSnapshotOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{RetainFor: time.Hour})
		slowPoll := func(o *follow.Options) { o.PollWait = 20 * time.Second }
		a := start(t, client(), 1, slowPoll)
		b := start(t, client(), 2, slowPoll)
		mustPublish(t, a, "c1", 0)
		const hours = 6
		time.Sleep(hours * time.Hour)
		synctest.Wait()
		// One snapshot is due every 15 minutes. Occasionally both processes write
		// one, which adds to the number.
		if appended := p.Appends(); appended < hours*4-2 || appended > hours*6 {
			t.Errorf("%d appends in %d hours", appended, hours)
		}
		newProcess := start(t, client(), 3, nil)
		expectVersion(t, 1, a, b, newProcess)
		if !newProcess.Status().Complete {
			t.Error("the new process does not have the complete state")
		}
		mustPublish(t, newProcess, "c2", 1)
		expectVersion(t, 2, a, b, newProcess)
	})
}

func TestManyChangesTriggerSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := memoryPlatform(t, Options{RetainRecords: 60, AppendsPerSecond: None})
		frequentSnapshots := func(o *follow.Options) { o.SnapshotRecords = 20 }
		a := start(t, client(), 1, frequentSnapshots)
		for base := range uint64(100) {
			mustPublish(t, a, time.Duration(base).String(), base)
			time.Sleep(time.Second)
		}
		expectVersion(t, 100, a, start(t, client(), 2, frequentSnapshots))
	})
}

func TestOutageLongerThanRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{RetainFor: 2 * time.Minute})
		a := start(t, client(), 1, func(o *follow.Options) { o.SnapshotInterval = 30 * time.Second })
		mustPublish(t, a, "c1", 0)
		p.SetDown(true)
		time.Sleep(10 * time.Minute)
		p.SetDown(false)
		// The log has dropped the change. The process that has it writes a
		// snapshot, from which a new process gets it.
		time.Sleep(time.Minute)
		newProcess := start(t, client(), 2, nil)
		expectVersion(t, 1, a, newProcess)
	})
}

func TestGapIsFilledFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{})
		noSnapshots := func(o *follow.Options) { o.SnapshotInterval = 1000 * time.Hour }
		a := start(t, client(), 1, noSnapshots)
		mustPublish(t, a, "c1", 0)
		p.Trim(logservice.StreamConfiguration, 1)
		b := start(t, client(), 2, noSnapshots)
		time.Sleep(time.Second)
		if status := b.Status(); status.Complete || status.Reason() == "" {
			t.Fatalf("status with a gap: %+v", status)
		}
		copyVersion(t, a, b)
		mustPublish(t, b, "c2", 1)
		expectVersion(t, 2, a, b)
	})
}

func TestDetachedProcessCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{})
		a := start(t, client(), 1, nil)
		log := &detachableLog{Log: client()}
		b := start(t, log, 2, nil)
		mustPublish(t, a, "c1", 0)
		expectVersion(t, 1, a, b)
		log.setDetached(true)
		mustPublish(t, a, "c2", 1)
		expectVersion(t, 2, a)
		log.setDetached(false)
		expectVersion(t, 2, a, b)
		if appended := p.Appends(); appended != 2 {
			t.Errorf("%d appends, want the 2 changes", appended)
		}
	})
}

func TestChangesAreAppliedWithSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{})
		a, b := start(t, client(), 1, nil), start(t, client(), 2, nil)
		p.SetSlow(1500 * time.Millisecond)
		mustPublish(t, a, "c1", 0)
		expectVersion(t, 1, a, b)
	})
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := memoryPlatform(t, Options{})
		a, b := start(t, client(), 1, nil), start(t, client(), 2, nil)
		records := [][]byte{[]byte("corrupt"), []byte(`{"format":7,"checksum":"","change":{}}`), nil}
		if _, err := client().Append(t.Context(), logservice.StreamConfiguration, records); err != nil {
			t.Fatal(err)
		}
		mustPublish(t, a, "c1", 0)
		expectVersion(t, 1, a, b)
		for _, p := range []*process{a, b} {
			if got := p.Status().Counts.Unreadable; got != len(records) {
				t.Errorf("%d records skipped, want %d", got, len(records))
			}
		}
	})
}

func TestOutcomeAfterRestartIsUnknownNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := memoryPlatform(t, Options{})
		a := start(t, client(), 1, nil)
		mustPublish(t, a, "c1", 0)
		newest, _ := a.Copy(t.Context())
		p.Trim(logservice.StreamConfiguration, 1)
		b := start(t, client(), 2, nil)
		time.Sleep(time.Second)
		if _, err := b.Adopt(t.Context(), newest); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := b.Publish(ctx, change.Change{ID: "c1", Base: 0, Body: services("c1")})
		if _, ok := err.(*follow.OutcomeUnknownError); !ok {
			t.Fatalf("error %v, want an *OutcomeUnknownError", err)
		}
	})
}

func TestSilentConnectionsDoNotDelayChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, network, client := memoryNetwork(t, Options{})
		a, b := start(t, client(), 1, nil), start(t, client(), 2, nil)
		mustPublish(t, a, "c1", 0)
		expectVersion(t, 1, a, b)
		network.silence()
		author := start(t, client(), 3, nil)
		mustPublish(t, author, "c2", 1)
		expectVersion(t, 2, a, b, author)
	})
}
