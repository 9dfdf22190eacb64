package appender

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// slowLog is a log whose appends take some time and may fail.
type slowLog struct {
	mu      sync.Mutex
	delay   time.Duration
	failure func(stream string) error // nil: none
	written map[string][]string
	appends map[string]int
}

func newSlowLog(delay time.Duration) *slowLog {
	return &slowLog{delay: delay, written: make(map[string][]string), appends: make(map[string]int)}
}

func (l *slowLog) Append(_ context.Context, stream string, records [][]byte) (int64, error) {
	l.mu.Lock()
	delay, failure := l.delay, l.failure
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if failure != nil {
		if err := failure(stream); err != nil {
			return 0, err
		}
	}
	first := int64(len(l.written[stream]))
	l.appends[stream]++
	for _, record := range records {
		l.written[stream] = append(l.written[stream], string(record))
	}
	return first, nil
}

func (l *slowLog) Read(context.Context, string, int64, int, time.Duration) (platformapi.ReadResponse, error) {
	return platformapi.ReadResponse{}, nil
}

func (l *slowLog) setFailure(failure func(string) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure = failure
}

func (l *slowLog) count(k Kind) (records, appends int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.written[k.Stream()]), l.appends[k.Stream()]
}

func startAppender(t *testing.T, log logservice.Log, adjust func(*Options)) *Appender {
	t.Helper()
	opts := Options{Log: log, Rand: rand.New(rand.NewPCG(1, 2))}
	if adjust != nil {
		adjust(&opts)
	}
	a := New(opts)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return a
}

func TestRecordsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog(5 * time.Millisecond)
		a := startAppender(t, log, nil)
		for i := range 1200 {
			a.Enqueue(Outcomes, fmt.Append(nil, i))
		}
		time.Sleep(10 * time.Second)
		records, appends := log.count(Outcomes)
		if records != 1200 || appends > 4 {
			t.Errorf("%d records in %d appends, want 1200 in at most 4", records, appends)
		}
	})
}

func TestEachKindGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog(time.Millisecond)
		a := startAppender(t, log, func(o *Options) { o.AppendsPerSecond = 8 })
		// Despite a continuous flood of outcomes, one change per second must be
		// written without delay.
		ctx, cancel := context.WithCancel(t.Context())
		var flood sync.WaitGroup
		flood.Go(func() {
			for ctx.Err() == nil {
				a.Enqueue(Outcomes, []byte("o"))
				time.Sleep(time.Millisecond)
			}
		})
		const seconds = 20
		for range seconds {
			begin := time.Now()
			if _, err := a.Append(t.Context(), Changes, []byte("c")); err != nil {
				t.Error(err)
			}
			if took := time.Since(begin); took > 10*time.Millisecond {
				t.Errorf("a change took %s during a flood of outcomes", took)
			}
			time.Sleep(time.Second)
		}
		cancel()
		flood.Wait()
		_, outcomes := log.count(Outcomes)
		_, changes := log.count(Changes)
		// A budget of 8 appends per second, plus the tokens that two kinds may have
		// accumulated.
		if most := 8*seconds + 16; outcomes+changes > most {
			t.Errorf("%d appends in %d s, want at most %d", outcomes+changes, seconds, most)
		}
	})
}

// TestSlowLogForAnHour checks that a log that needs 4 s per append for an hour
// makes the appender drop old outcomes, but no change.
func TestSlowLogForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog(4 * time.Second)
		a := startAppender(t, log, func(o *Options) { o.Limits[Outcomes] = Limits{Records: 100, Bytes: 1 << 20} })
		const offered = 3600 * 200
		ctx, cancel := context.WithCancel(t.Context())
		var changes sync.WaitGroup
		var failed int
		changes.Go(func() {
			for ctx.Err() == nil {
				if _, err := a.Append(t.Context(), Changes, []byte("c")); err != nil {
					failed++
				}
			}
		})
		for range 3600 {
			for range 200 {
				a.Enqueue(Outcomes, []byte("o"))
			}
			time.Sleep(time.Second)
		}
		cancel()
		changes.Wait()
		time.Sleep(time.Minute)
		counts := a.Counts(Outcomes)
		if counts.Dropped == 0 || counts.Written+counts.Dropped != offered || counts.Queued != 0 {
			t.Errorf("outcomes of %d: %+v", offered, counts)
		}
		if c := a.Counts(Changes); failed > 0 || c.Dropped > 0 || c.Written < 3600/5 {
			t.Errorf("changes: %+v, %d failed", c, failed)
		}
	})
}

func TestOutageThenRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog(time.Millisecond)
		log.setFailure(func(stream string) error {
			return &logservice.UnavailableError{Operation: "append", Cause: errors.New("connection refused")}
		})
		a := startAppender(t, log, nil)
		a.Enqueue(Outcomes, []byte("o"))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		var unavailable *logservice.UnavailableError
		if _, err := a.Append(ctx, Claims, []byte("cancelled")); !errors.As(err, &unavailable) {
			t.Errorf("error %v, want an *UnavailableError", err)
		}
		log.setFailure(nil)
		if _, err := a.Append(t.Context(), Claims, []byte("written")); err != nil {
			t.Error(err)
		}
		time.Sleep(5 * time.Second)
		claims, _ := log.count(Claims)
		outcomes, _ := log.count(Outcomes)
		if claims != 1 || outcomes != 1 {
			t.Errorf("%d claims and %d outcomes written, want 1 of each", claims, outcomes)
		}
	})
}

// TestClaimsAreNotRetriedAfterUnknownOutcome checks that an append of unknown
// outcome is retried for outcomes, but not for claims.
func TestClaimsAreNotRetriedAfterUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog(time.Millisecond)
		calls := make(map[string]int)
		log.setFailure(func(stream string) error {
			calls[stream]++
			if calls[stream] == 1 {
				return &logservice.UnknownOutcomeError{Operation: "append", Cause: errors.New("reset")}
			}
			return nil
		})
		a := startAppender(t, log, nil)
		a.Enqueue(Outcomes, []byte("o"))
		var unknown *logservice.UnknownOutcomeError
		if _, err := a.Append(t.Context(), Claims, []byte("c")); !errors.As(err, &unknown) {
			t.Errorf("error %v, want an *UnknownOutcomeError", err)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if calls[logservice.StreamClaims] != 1 || calls[logservice.StreamOutcomes] != 2 {
			t.Errorf("appends by stream: %v", calls)
		}
	})
}

func TestFullClaimQueueRefusesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog(time.Millisecond)
		log.setFailure(func(string) error {
			return &logservice.RefusedError{Operation: "append", Status: http.StatusTooManyRequests}
		})
		a := startAppender(t, log, func(o *Options) { o.Limits[Claims] = Limits{Records: 2, Bytes: 1 << 10} })
		var accepted int
		for range 5 {
			if a.Enqueue(Claims, []byte("c")) {
				accepted++
			}
		}
		if accepted != 2 || a.Counts(Claims).Refused != 3 {
			t.Errorf("%d accepted, counts %+v", accepted, a.Counts(Claims))
		}
		var full *FullError
		if _, err := a.Append(t.Context(), Claims, []byte("c")); !errors.As(err, &full) {
			t.Errorf("error %v, want a *FullError", err)
		}
		log.setFailure(nil)
		time.Sleep(10 * time.Second)
		if records, _ := log.count(Claims); records != 2 {
			t.Errorf("%d claims written, want the 2 that were accepted", records)
		}
	})
}
