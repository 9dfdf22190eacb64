package fakeplatform

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// busyTimeout bounds a request on a VM that is busy with other tests. It is long
// because the tests check nothing that depends on time.
const busyTimeout = time.Minute

func serve(t *testing.T, opts Options) (*Platform, *logservice.Client) {
	t.Helper()
	p := New(opts)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client, err := logservice.NewClient(logservice.Options{URL: server.URL, Token: opts.Token, Timeout: busyTimeout})
	if err != nil {
		t.Fatal(err)
	}
	return p, client
}

func TestWrongTokenIsRefused(t *testing.T) {
	p := New(Options{Token: "secret"})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client, err := logservice.NewClient(logservice.Options{URL: server.URL, Token: "guess"})
	if err != nil {
		t.Fatal(err)
	}
	var refused *logservice.RefusedError
	if _, err := client.Append(t.Context(), "s", [][]byte{{1}}); !errors.As(err, &refused) {
		t.Fatalf("error %v", err)
	}
	if len(p.Records("s")) != 0 {
		t.Fatal("a refused write took effect")
	}
}

func TestAppendToUnreachablePlatform(t *testing.T) {
	const refusingURL = "http://127.0.0.1:1" // the kernel never chooses this port
	client, err := logservice.NewClient(logservice.Options{URL: refusingURL})
	if err != nil {
		t.Fatal(err)
	}
	var unavailable *logservice.UnavailableError
	if _, err := client.Append(t.Context(), "s", [][]byte{{1}}); !errors.As(err, &unavailable) {
		t.Fatalf("error %v", err)
	}
}

func TestRateLimitIsRefused(t *testing.T) {
	_, client := serve(t, Options{AppendsPerSecond: 1})
	var refused *logservice.RefusedError
	for range 100 {
		if _, err := client.Append(t.Context(), "s", [][]byte{{1}}); errors.As(err, &refused) {
			return
		}
	}
	t.Fatal("no append of 100 was refused")
}

func TestListFaults(t *testing.T) {
	p, client := serve(t, Options{ListLag: None})
	p.SetVMs([]platformapi.VM{{Name: "a"}, {Name: "b"}})
	cases := []struct {
		fault ListFault
		want  int
	}{{ListNormal, 2}, {ListEmpty, 0}, {ListShrunken, 1}, {ListStale, 2}}
	for _, c := range cases {
		p.SetListFault(c.fault, 1)
		list, err := client.VMs(t.Context(), logservice.VMQuery{})
		if err != nil || len(list.VMs) != c.want {
			t.Errorf("%q: %d VMs, %v; want %d", c.fault, len(list.VMs), err, c.want)
		}
	}
}

func TestRetention(t *testing.T) {
	s := newStream()
	s.append(time.Unix(0, 0), [][]byte{{0}, {1}})
	s.append(time.Unix(5, 0), [][]byte{{2}, {3}})
	s.expire(time.Unix(9, 0), Options{RetainRecords: 3})
	if s.oldest != 1 {
		t.Errorf("oldest %d after retention by count, want 1", s.oldest)
	}
	s.expire(time.Unix(9, 0), Options{RetainFor: 6 * time.Second})
	if s.oldest != 2 {
		t.Errorf("oldest %d after retention by age, want 2", s.oldest)
	}
}
