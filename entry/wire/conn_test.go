package wire

import (
	"errors"
	"net"
	"testing"
	"time"
)

// discardConn is a connection that accepts and discards every write.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }

func TestRefusedWritesAreReportedAsNotWritten(t *testing.T) {
	now := time.Now()
	later, earlier := now.Add(time.Hour), now.Add(-time.Second)
	for _, c := range []struct {
		name             string
		expiry, deadline time.Time
		seal             bool
		want             Reason // empty: the write is permitted
	}{
		{"in time", later, later, false, ""},
		{"no deadline", later, time.Time{}, false, ""},
		{"deadline passed", later, earlier, false, ReasonDeadlinePassed},
		{"expired connection", earlier, later, false, ReasonConnExpired},
		{"sealed", later, later, true, ReasonSealed},
	} {
		conn := NewConn(discardConn{}, c.expiry)
		conn.Begin(c.deadline)
		if c.seal {
			conn.Seal()
		}
		_, err := conn.Write([]byte("x"))
		var refused *NotWrittenError
		if c.want == "" {
			if err != nil || !conn.Seal() {
				t.Errorf("%s: error %v", c.name, err)
			}
			continue
		}
		if !errors.As(err, &refused) || refused.Reason != c.want || conn.Seal() {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

func TestStartedRequestMayBeWrittenAfterDeadline(t *testing.T) {
	conn := NewConn(discardConn{}, time.Now().Add(time.Hour))
	conn.Begin(time.Now().Add(time.Hour))
	if _, err := conn.Write([]byte("head")); err != nil {
		t.Fatal(err)
	}
	conn.mu.Lock()
	conn.deadline = time.Now().Add(-time.Second)
	conn.mu.Unlock()
	if _, err := conn.Write([]byte("body")); err != nil {
		t.Errorf("the rest of a request was refused: %v", err)
	}
}
