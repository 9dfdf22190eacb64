package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/fleet/follow"
)

// growingLog has one record more at each read.
type growingLog struct{ end int64 }

func (l *growingLog) Newest(context.Context) ([]follow.Record, int64, error) {
	return []follow.Record{{Key: "odd", Value: []byte("v")}}, l.end, nil
}

func (l *growingLog) Read(_ context.Context, from int64, _ time.Duration) ([]follow.Record, int64, error) {
	l.end = from + 1
	return []follow.Record{{Key: string(rune('a' + from)), Value: []byte("v")}}, l.end, nil
}

// Guards against one record that makes an update panic and ends the process, after each
// start again, because the record is still the newest of its key.
func TestPanickingUpdateDoesNotEndTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		updates, newest := 0, 0
		poll := follow.PollOptions{Interval: func() time.Duration { return time.Second }}
		follow.New("test", &growingLog{}, poll, zap.NewNop(), func(records map[string][]byte) {
			updates++
			if updates <= 2 {
				panic("odd record")
			}
			newest = len(records)
			if newest == 5 {
				cancel()
			}
		}).Run(ctx)
		if newest != 5 || updates != 5 {
			t.Errorf("%d records after %d updates, want 5 after 5", newest, updates)
		}
	})
}

// Guards against a wake that is ignored, or that makes reads due all the time.
func TestFollowerReadsWhenItIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		wake := make(chan struct{}, 1)
		log := &growingLog{}
		poll := follow.PollOptions{Interval: func() time.Duration { return 4 * time.Second }, Wake: wake}
		began := time.Now()
		var reads []time.Duration
		go follow.New("test", log, poll, zap.NewNop(), func(map[string][]byte) { reads = append(reads, time.Since(began)) }).Run(ctx)
		time.Sleep(time.Second)
		wake <- struct{}{}
		time.Sleep(8 * time.Second)
		synctest.Wait()
		want := []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second}
		if len(reads) != len(want) {
			t.Fatalf("reads after %v, want %v", reads, want)
		}
		for i := range want {
			if reads[i] != want[i] {
				t.Errorf("reads after %v, want %v", reads, want)
			}
		}
	})
}
