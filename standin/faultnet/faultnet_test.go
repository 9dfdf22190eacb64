package faultnet_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/standin/faultnet"
)

// echo accepts connections and sends back what it receives on each of them.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

func dial(t *testing.T, l *faultnet.PipeListener) net.Conn {
	t.Helper()
	c, err := l.Dial(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange sends four bytes and waits for their echo.
func exchange(c net.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

func TestSilenceOpenDoesNotAffectNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := faultnet.NewPipeListener()
		l := faultnet.Wrap(pipe)
		go echo(l)
		old := dial(t, pipe)
		if err := exchange(old, time.Second); err != nil {
			t.Fatal(err)
		}
		if n := l.SilenceOpen(); n != 1 {
			t.Fatalf("silenced %d connections, want 1", n)
		}
		if err := exchange(old, time.Second); !isTimeout(err) {
			t.Errorf("silent connection: %v, want a timeout", err)
		}
		fresh := dial(t, pipe)
		if err := exchange(fresh, time.Second); err != nil {
			t.Errorf("new connection: %v", err)
		}
		closeAll(l, old, fresh)
	})
}

func TestBreakOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := faultnet.NewPipeListener()
		l := faultnet.Wrap(pipe)
		go echo(l)
		c := dial(t, pipe)
		if err := exchange(c, time.Second); err != nil {
			t.Fatal(err)
		}
		l.BreakOpen()
		if err := exchange(c, time.Second); err == nil || isTimeout(err) {
			t.Errorf("broken connection: %v, want an immediate error", err)
		}
		if n := l.OpenConnections(); n != 0 {
			t.Errorf("%d connections are open, want 0", n)
		}
		closeAll(l, c)
	})
}

func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := faultnet.NewPipeListener()
		l := faultnet.Wrap(pipe)
		go echo(l)
		c := dial(t, pipe)
		l.SetDelay(3 * time.Second)
		start := time.Now()
		if err := exchange(c, time.Minute); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("an exchange took %v, want 3s", took)
		}
		closeAll(l, c)
	})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func closeAll(l net.Listener, conns ...net.Conn) {
	_ = l.Close()
	for _, c := range conns {
		_ = c.Close()
	}
}
