// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakeexecutor"
	"lovagespread.example/standin/faultnet"
	"lovagespread.example/standin/usersplatform"
)

// Parameters of the deployment that usersplatform starts, and those of the sheets.
const (
	serviceName     = "s"
	hostName        = "h.example"
	pathPrefix      = "/q/"
	maxAttempts     = usersplatform.MaxAttempts
	retransmit      = 1300 * time.Millisecond // retransmit_ms
	heartbeat       = 1500 * time.Millisecond // heartbeat_ms
	missedBeats     = 3                       // after which the store removes an entry
	grace           = 6 * time.Second         // grace_s
	cancelTime      = 3 * time.Second         // cancel_ms
	stopTime        = 50 * time.Millisecond   // stop_ms
	contactTime     = 3 * time.Second         // contact_ms
	visibleTime     = 3 * time.Second         // visible_ms
	finishTime      = 14 * time.Second        // finish_s
	readyTimeout    = 15 * time.Second
	firstLate       = 2 * time.Second // of an order that is carried out late
	lateSpread      = 10 * time.Second
	drainLeast      = 2500 * time.Millisecond // drain_ms and a little longer
	drainMost       = 9 * time.Second
	endsPerResponse = 500
)

// size is the size of a deployment.
type size struct {
	zones   int
	entries int  // of each zone
	workers int  // executors of each zone
	cores   int  // of an executor
	rack    int  // more executors, of kind b, in racks of their own
	spread  bool // one rack of them in each zone, instead of one in the first
}

// worker is an executor and the listener on which it serves.
type worker struct {
	*fakeexecutor.Executor
	id, zone string
	index    int
	listener *faultnet.Listener
	server   *http.Server
	late     atomic.Int64 // share of the orders, in percent, that are not answered and carried out late
	drains   atomic.Bool
	away     atomic.Bool // does not write to the store
}

// platform is the stand-in of the users' platform, and the processes of the entries.
type platform struct {
	*usersplatform.Deployment
	dir, binary string
	size        size
	book        *book
	lateStore   *lateStore
	ctx         context.Context
	cancel      context.CancelFunc

	mu      sync.Mutex
	workers []*worker
	entries []*exec.Cmd
	exited  []chan struct{}
}

func startPlatform(binary, dir string, s size, b *book) (*platform, error) {
	d, err := usersplatform.Start(usersplatform.Options{Dir: dir, Domains: s.zones, Entries: s.entries})
	if err != nil {
		return nil, err
	}
	p := &platform{Deployment: d, dir: dir, binary: binary, size: s, book: b}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.interposeStore(); err != nil {
		return nil, err
	}
	p.entries, p.exited = make([]*exec.Cmd, len(d.Entries)), make([]chan struct{}, len(d.Entries))
	for z := range s.zones {
		zone := string(rune('a' + z))
		for n := range s.workers {
			kind := "a"
			if s.rack == 0 && n%2 == 1 {
				kind = "b"
			}
			if err := p.addWorker(zone, fmt.Sprintf("i-%s%02d", zone, n), kind, fmt.Sprintf("r%s-%d", zone, n/8)); err != nil {
				return nil, err
			}
		}
	}
	for n := range s.rack {
		zone := "a"
		if s.spread {
			zone = string(rune('a' + n%s.zones))
		}
		if err := p.addWorker(zone, fmt.Sprintf("i-%sb%02d", zone, n), "b", "r"+zone+"-b"); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *platform) addWorker(zone, id, kind, rack string) error {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &worker{id: id, zone: zone, index: len(p.workers), listener: faultnet.Wrap(tcp)}
	w.Executor = fakeexecutor.New(fakeexecutor.Options{
		ID: id, Address: tcp.Addr().String(), Service: serviceName, Zone: zone,
		Capacity: leased.Demand{MilliCores: p.size.cores * 1000, MemoryMiB: 128 << 10}, Labels: []string{kind, rack},
		Work:    p.book.work,
		OnStart: func(id leased.TaskID, labels []string) { p.book.started(w.index, id, labels) },
	})
	w.WithState(func(e *leasedtest.Endpoint) {
		e.Speed = []float64{0.8, 1, 1.25}[w.index%3]
		e.OnEnded = func(end leased.EndedRun) { p.book.ended(w.index, end) }
		e.OnAcknowledged = func(end leased.EndedRun, lapsed bool) { p.book.acknowledged(w.index, end, lapsed) }
		e.PageSize = endsPerResponse
		e.Unguarded = *unguarded
	})
	p.workers = append(p.workers, w)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(w.listener) }()
	if err := w.Announce(p.Store, "ready"); err != nil {
		return err
	}
	go p.writeEntries(w)
	return nil
}

// writeEntries writes the entry of an executor to the store until the platform ends.
func (p *platform) writeEntries(w *worker) {
	time.Sleep(time.Duration(rand.Int64N(int64(heartbeat))))
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			_ = w.server.Close()
			return
		case <-ticker.C:
			if !w.away.Load() {
				_ = w.Announce(p.Store, w.state())
			}
		}
	}
}

func (w *worker) state() string {
	if w.drains.Load() {
		return "draining"
	}
	return "ready"
}

// ServeHTTP leaves a share of the orders unanswered, and carries them out 2 to 12 s later.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if share := w.late.Load(); share == 0 || rand.Int64N(100) >= share {
		w.Executor.ServeHTTP(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	header, path := r.Header.Clone(), r.URL.Path
	time.AfterFunc(firstLate+time.Duration(rand.Int64N(int64(lateSpread))), func() {
		again := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		again.Header = header
		defer func() { _ = recover() }() // the executor may be down
		w.Executor.ServeHTTP(httptest.NewRecorder(), again)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// goDark takes the power of executors away: they do not answer, and what runs there is gone.
// Their entries are removed from the store after three heartbeats.
func (p *platform) goDark(list []*worker) {
	for _, w := range list {
		w.away.Store(true)
		w.listener.SetSilent(true)
		w.listener.SilenceOpen()
		w.Restart()
		p.book.note("executor %s is dark", w.id)
	}
	time.AfterFunc(missedBeats*heartbeat, func() {
		for _, w := range list {
			if w.away.Load() && p.ctx.Err() == nil {
				p.Store.Put(fakeexecutor.Topic, w.id, nil)
			}
		}
	})
}

// comeBack starts dark executors again.
func (p *platform) comeBack(list []*worker) {
	for _, w := range list {
		w.Restart()
		w.listener.SetSilent(false)
		w.listener.BreakOpen()
		w.away.Store(false)
		_ = w.Announce(p.Store, w.state())
		p.book.note("executor %s is back", w.id)
	}
}

// leave empties an executor and takes it away once nothing runs there.
func (p *platform) leave(w *worker) {
	w.drains.Store(true)
	_ = w.Announce(p.Store, w.state())
	p.book.note("executor %s drains", w.id)
	for began := time.Now(); ; time.Sleep(stopTime) {
		running := 0
		w.WithState(func(e *leasedtest.Endpoint) { running = len(e.Running()) })
		if age := time.Since(began); age > drainLeast && running == 0 || age > drainMost {
			break
		}
	}
	w.away.Store(true)
	p.Store.Put(fakeexecutor.Topic, w.id, nil)
	_ = w.server.Close()
	p.book.note("executor %s has left", w.id)
}

// startEntry starts the process of an entry as the deploy file says.
func (p *platform) startEntry(i int) error {
	e := p.Entries[i]
	log, err := os.OpenFile(filepath.Join(p.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary)
	cmd.Env = append(os.Environ(), names.SettingsVariable+"="+e.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = []*os.File{p.Reservation}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.Peers.Started(i)
	exited := make(chan struct{})
	p.mu.Lock()
	p.entries[i], p.exited[i] = cmd, exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.Peers.Ended(i)
		p.book.note("entry %s has ended: %v", e.Name, err)
		close(exited)
	}()
	return nil
}

func (p *platform) startAll() error {
	for i := range p.Entries {
		if err := p.startEntry(i); err != nil {
			return err
		}
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond) // all start within 0.3 s
	}
	deadline := time.Now().Add(readyTimeout)
	for i := range p.Entries {
		for !p.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s is not ready", p.Entries[i].Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second}

func (p *platform) ready(i int) bool {
	resp, err := readyClient.Get("http://" + p.Entries[i].Ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// all returns the executors.
func (p *platform) all() []*worker { return slices.Clone(p.workers) }

func (p *platform) process(i int) (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[i], p.exited[i]
}

// kill kills an entry and starts it again after some time.
func (p *platform) kill(i int, down time.Duration) {
	cmd, exited := p.process(i)
	_ = cmd.Process.Kill()
	<-exited
	time.Sleep(down)
	if p.ctx.Err() == nil {
		_ = p.startEntry(i)
	}
}

// terminate stops an entry gracefully and starts it again.
func (p *platform) terminate(i int) {
	cmd, exited := p.process(i)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
	if p.ctx.Err() == nil {
		_ = p.startEntry(i)
	}
}

func (p *platform) freeze(i int, d time.Duration) {
	cmd, _ := p.process(i)
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// close ends all processes that were started.
func (p *platform) close() {
	p.cancel()
	for i := range p.entries {
		cmd, exited := p.process(i)
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
	p.Deployment.Close()
}
