package callerconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (caller, served *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a request that is served after its caller has gone, and against one that is
// not although its caller waits.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(t *testing.T, caller, served *net.TCPConn)
		gone bool
	}{
		"waits":                {func(*testing.T, *net.TCPConn, *net.TCPConn) {}, false},
		"sends the next one":   {func(t *testing.T, caller, _ *net.TCPConn) { write(t, caller, "GET") }, false},
		"has closed":           {func(_ *testing.T, caller, _ *net.TCPConn) { caller.Close() }, true},
		"has reset":            {func(_ *testing.T, caller, _ *net.TCPConn) { _ = caller.SetLinger(0); caller.Close() }, true},
		"is closed at our end": {func(_ *testing.T, _, served *net.TCPConn) { served.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			caller, served := pair(t)
			c.act(t, caller, served)
			time.Sleep(20 * time.Millisecond) // for the kernel to pass it on
			err := Check(WithConn(context.Background(), served))
			if gone := err != nil; gone != c.gone {
				t.Errorf("%v, want gone: %v", err, c.gone)
			}
		})
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if Check(cancelled) == nil || Check(context.Background()) != nil {
		t.Error("a request without a connection depends on its context only")
	}
}

func write(t *testing.T, conn *net.TCPConn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}
