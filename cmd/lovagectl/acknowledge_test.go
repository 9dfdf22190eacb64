package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/logservice"
	"lovagespread.example/standin/fakeplatform"
)

// Targets for the time until an evacuation is acknowledged while the platform's
// store responds (docs/design, part 1).
const (
	maxMedianAck = time.Second
	maxP99Ack    = 2 * time.Second
)

// ackRounds is the number of rounds, each of which measures a request and its removal.
const ackRounds = 50

// Guards against an evacuation whose acknowledgement takes longer than operators can
// wait, because of the requests that the command makes one after the other, or because
// of slow replies.
func TestEvacuationIsAcknowledgedInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration // of each reply of the store
	}{{"quiet", 0}, {"slow replies", 20 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			p := fakeplatform.New(fakeplatform.Options{})
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			enableEvacuations(t, server.URL)
			p.SetSlow(c.delay)
			checkAcks(t, measureAcks(t, server.URL, ackRounds))
		})
	}
}

// Guards against an evacuation whose acknowledgement takes longer than operators can
// wait because others publish changes at the same time, so that it is rejected and has
// to be published again. Time is virtual: in real time the test would measure how much
// processor time three operators get, who read the whole log with every command.
func TestEvacuationIsAcknowledgedInTimeBesideOtherOperators(t *testing.T) {
	const seeds, rivals = 5, 2 // a log of its own for each seed, because commands read all of it
	var times []time.Duration
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			p := fakeplatform.New(fakeplatform.Options{})
			transport := &memoryTransport{handler: p.Handler(), rand: rand.New(rand.NewPCG(seed, 1))}
			defer transport.requests.Wait()
			httpClient = &http.Client{Transport: transport}
			defer func() { httpClient = nil }()
			const url, rounds = "http://platform", ackRounds / seeds
			enableEvacuations(t, url)
			stop := startRivals(t, url, rivals)
			defer stop()
			times = append(times, measureAcks(t, url, rounds)...)
			if published := len(p.Records(logservice.StreamConfiguration)); published < 3*rounds {
				t.Errorf("seed %d: %d records; the other operators have hardly published any", seed, published)
			}
		})
	}
	checkAcks(t, times)
}

// enableEvacuations publishes the record format that evacuations need.
func enableEvacuations(t *testing.T, url string) {
	t.Helper()
	var output bytes.Buffer
	if code := run(t.Context(), []string{"raise-format", "-platform", url, "-author", "ann", "2"}, &output, &output); code != 0 {
		t.Fatalf("exit code %d: %s", code, output.String())
	}
}

// measureAcks requests evacuations and removes the requests. It returns the times until
// these commands are acknowledged.
func measureAcks(t *testing.T, url string, rounds int) []time.Duration {
	t.Helper()
	var times []time.Duration
	for range rounds {
		for _, name := range []string{"evacuate", "return"} {
			var output bytes.Buffer
			began := time.Now()
			if code := run(t.Context(), []string{name, "-platform", url, "-author", "ann", "lodz-a"}, &output, &output); code != 0 {
				t.Fatalf("%s: exit code %d: %s", name, code, output.String())
			}
			times = append(times, time.Since(began))
		}
	}
	return times
}

// checkAcks compares the times of commands with the targets.
func checkAcks(t *testing.T, times []time.Duration) {
	t.Helper()
	slices.Sort(times)
	median, p99 := times[len(times)/2], times[len(times)*99/100-1] // nearest rank
	t.Logf("%d commands: median %v, p99 %v", len(times), median, p99)
	if median > maxMedianAck || p99 > maxP99Ack {
		t.Errorf("median %v, p99 %v; want at most %v and %v", median, p99, maxMedianAck, maxP99Ack)
	}
}

// Delay of the replies of a memoryTransport.
const (
	minReplyDelay = 2 * time.Millisecond
	maxReplyDelay = 8 * time.Millisecond
)

// memoryTransport sends requests to a handler in this process, so that testing/synctest
// detects when all requests wait. Each reply takes a random time.
type memoryTransport struct {
	handler  http.Handler
	requests sync.WaitGroup

	mu   sync.Mutex
	rand *rand.Rand
}

// RoundTrip implements http.RoundTripper.
func (m *memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	reply := make(chan *http.Response, 1)
	m.requests.Go(func() {
		defer close(reply)
		defer func() { _ = recover() }() // a handler ends a cancelled request with http.ErrAbortHandler
		request := r.Clone(r.Context())
		if request.Body == nil {
			request.Body = http.NoBody
		}
		recorder := httptest.NewRecorder()
		m.handler.ServeHTTP(recorder, request)
		time.Sleep(m.delay())
		reply <- recorder.Result()
	})
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case response, ok := <-reply:
		if !ok {
			return nil, net.ErrClosed
		}
		return response, nil
	}
}

func (m *memoryTransport) delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return minReplyDelay + time.Duration(m.rand.Int64N(int64(maxReplyDelay-minReplyDelay)))
}

// startRivals starts operators who change the weights of teams. Rejections of their
// changes do not matter. The returned function stops them.
func startRivals(t *testing.T, url string, n int) (stop func()) {
	t.Helper()
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for rival := range n {
		group.Go(func() {
			for weight := 1; ; weight++ {
				select {
				case <-stopped:
					return
				default:
				}
				var output bytes.Buffer
				run(t.Context(), []string{"put-team", "-platform", url, "-author", "bob", "-weight", fmt.Sprint(1 + weight%9), fmt.Sprintf("team-%d", rival)}, &output, &output)
			}
		})
	}
	return func() { close(stopped); group.Wait() }
}
