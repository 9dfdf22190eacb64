package fabric

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	oneWay  = time.Millisecond
	address = "10.0.0.1:80"
)

// echo sends back the data that it receives on every connection.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(c, c)
		}()
	}
}

// withEchoServer runs a test with an echo server on host "b" and a connection
// to it from host "a".
func withEchoServer(t *testing.T, test func(*testing.T, *Fabric, net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		f := New(oneWay)
		l, err := f.Host("b").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go echo(l)
		c, err := f.Host("a").Dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		test(t, f, c)
		f.Remove("a")
		f.Remove("b")
		synctest.Wait()
	})
}

// exchange sends one byte and returns the time until its echo arrived.
func exchange(c net.Conn, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	_ = c.SetDeadline(start.Add(limit))
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(start), err
}

func TestRoundTripTakesTwiceTheDelay(t *testing.T) {
	withEchoServer(t, func(t *testing.T, _ *Fabric, c net.Conn) {
		took, err := exchange(c, time.Second)
		if err != nil || took != 2*oneWay {
			t.Fatalf("took %v, error %v", took, err)
		}
	})
}

func TestCutDelaysDeliveryUntilHealed(t *testing.T) {
	withEchoServer(t, func(t *testing.T, f *Fabric, c net.Conn) {
		f.Cut("a", "b")
		time.AfterFunc(time.Minute, func() { f.Heal("a", "b") })
		took, err := exchange(c, time.Hour)
		if err != nil || took < time.Minute {
			t.Fatalf("took %v, error %v", took, err)
		}
	})
}

func TestDialOverCutLinkBlocksUntilContextEnds(t *testing.T) {
	withEchoServer(t, func(t *testing.T, f *Fabric, _ net.Conn) {
		f.Cut("a", "b")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.Host("a").Dial(ctx, "tcp", address); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestSilentConnectionDeliversNothingAndNewConnectionsWork(t *testing.T) {
	withEchoServer(t, func(t *testing.T, f *Fabric, c net.Conn) {
		if n := f.Silence("b"); n != 1 {
			t.Fatalf("%d connections silenced", n)
		}
		if _, err := exchange(c, time.Minute); err == nil {
			t.Fatal("the silent connection delivered an echo")
		}
		fresh, err := f.Host("a").Dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := exchange(fresh, time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestRemovedHostResetsAndRefusesConnections(t *testing.T) {
	withEchoServer(t, func(t *testing.T, f *Fabric, c net.Conn) {
		f.Remove("b")
		if _, err := exchange(c, time.Second); err == nil {
			t.Fatal("the connection to a removed host delivered an echo")
		}
		if _, err := f.Host("a").Dial(t.Context(), "tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("got %v", err)
		}
	})
}
