package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lovagespread.example/fleet/callerconn"
)

// Guards against two runs of a job whose caller is at another entry by now (incidents 15 and
// 21): the caller's connection ends before its request is read, and the request is served.
func TestRequestOfCallerThatHasGoneIsRecognized(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0) // the connection is open
			}
			conn.Close()
			checked := make(chan error, 1)
			callers := newServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body) // it is complete
				checked <- callerconn.Check(r.Context())
			}))
			go func() { _ = callers.Serve(listener) }() // ends with Close
			defer callers.Close()
			select {
			case err := <-checked:
				if err == nil {
					t.Error("the request is served, though its caller has gone")
				}
			case <-time.After(time.Second):
				t.Log("the kernel has dropped the request")
			}
		})
	}
}
