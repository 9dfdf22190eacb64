// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"sync/atomic"
	"time"
)

// lateStore passes the calls of the entries on to the store. A share of the writes gets no
// answer, and is carried out 1 to 6 s later.
type lateStore struct {
	target  string
	forward http.Handler
	share   atomic.Int64 // in percent
}

const (
	firstLateWrite  = time.Second
	lateWriteSpread = 5 * time.Second
)

func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	share := s.share.Load()
	if r.Method != http.MethodPost || share == 0 || rand.Int64N(100) >= share {
		s.forward.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	target := "http://" + s.target + r.URL.RequestURI()
	time.AfterFunc(firstLateWrite+time.Duration(rand.Int64N(int64(lateWriteSpread))), func() {
		if resp, err := http.Post(target, "application/octet-stream", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// interposeStore lets the entries reach the store through a lateStore.
func (p *platform) interposeStore() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	target := p.StoreListener.Addr().String()
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.lateStore = &lateStore{target: target, forward: forward}
	server := &http.Server{Handler: p.lateStore}
	go func() { _ = server.Serve(listener) }()
	go func() { <-p.ctx.Done(); _ = server.Close() }()
	for _, e := range p.Entries {
		text, err := os.ReadFile(e.Settings)
		if err != nil {
			return err
		}
		text = bytes.Replace(text, []byte(target), []byte(listener.Addr().String()), 1)
		if err := os.WriteFile(e.Settings, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
