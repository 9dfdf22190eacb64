// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakestore"
	"lovagespread.example/standin/faultnet"
)

func init() {
	scenarios["strand"] = scenario{size{zones: 4, entries: 3, workers: 35, cores: 32}, strand}
	scenarios["blame"] = scenario{size{zones: 3, entries: 2, workers: 25, cores: 32, rack: 12, spread: true}, blame}
	scenarios["count"] = scenario{size{zones: 3, entries: 2, workers: 25, cores: 32, rack: 12, spread: true}, count}
	scenarios["withdraw"] = scenario{size{zones: 3, entries: 2, workers: 4, cores: 64}, withdraw}
	scenarios["cancel"] = scenario{size{zones: 3, entries: 2, workers: 4, cores: 64}, cancelElsewhere}
}

const (
	taskCores = 27_000 // of a task, in thousandths of a core
	patience  = 1500 * time.Millisecond
)

func newID() leased.JobID { return leased.JobID(fmt.Sprintf("%016x", rand.Uint64())) }

// submitAll submits stored jobs of one step at the same time.
func (p *platform) submitAll(jobs int, s step) []*job {
	var list []*job
	var clients sync.WaitGroup
	for range jobs {
		j := &job{id: newID(), steps: []step{s}}
		list = append(list, j)
		clients.Go(func() { p.submit(j, p.anyEntry(), patience) })
	}
	clients.Wait()
	return list
}

// strand empties a few executors of one zone after the other, while jobs wait for room.
func strand(p *platform) error {
	const jobs, leaving = 90, 3 // of 35 executors of a zone: 8.6%
	list := p.submitAll(jobs, step{count: 15, cpu: taskCores, time: 3 * time.Second})
	time.Sleep(time.Second)
	if *trouble {
		for zone := range p.size.zones {
			var left sync.WaitGroup
			for _, w := range p.all()[zone*p.size.workers:][:leaving] {
				left.Go(func() { p.leave(w) })
			}
			left.Wait()
			time.Sleep(time.Second)
		}
	}
	p.book.note("calm")
	p.awaitAll(list)
	return nil
}

// awaitAll asks for jobs until all are completed. It reports a job of which nothing has run
// for idleTime although less than half of the capacity was in use, finish_s after the last
// disruption.
func (p *platform) awaitAll(jobs []*job) {
	const (
		idleTime = 10 * time.Second // the rule says 3 s
		limit    = 60 * time.Second
	)
	calm := time.Now()
	idleSince := make(map[leased.JobID]time.Time)
	reported := make(map[leased.JobID]bool)
	for time.Since(calm) < limit {
		time.Sleep(250 * time.Millisecond)
		running, used, all := p.running()
		open := 0
		for _, j := range jobs {
			if j.accepted.IsZero() || reported[j.id] || p.query(j, p.anyEntry()).state == "completed" {
				continue
			}
			open++
			if running[j.id] > 0 || 2*used > all {
				delete(idleSince, j.id)
				continue
			}
			if idleSince[j.id].IsZero() {
				idleSince[j.id] = time.Now()
			}
			if idle := time.Since(idleSince[j.id]); idle > idleTime && time.Since(calm) > finishTime {
				reported[j.id] = true
				p.book.violation("LOST: nothing of %s has run for %.1f s, while %d of %d cores are in use; the last disruption ended %.1f s ago",
					j.id, idle.Seconds(), used/1000, all/1000, time.Since(calm).Seconds())
			}
		}
		if open == 0 {
			return
		}
	}
}

// running returns how many tasks of each job run, and the thousandths of a core that are in
// use and that there are.
func (p *platform) running() (jobs map[leased.JobID]int, used, all int) {
	jobs = make(map[leased.JobID]int)
	for _, w := range p.all() {
		if w.away.Load() {
			continue
		}
		all += p.size.cores * 1000
		w.WithState(func(e *leasedtest.Endpoint) {
			for _, r := range e.Running() {
				jobs[r.Task.Job]++
				used += r.Demand.MilliCores
			}
		})
	}
	return jobs, used, all
}

// rackOf returns the executors of the rack of their own.
func (p *platform) rackOf() []*worker { return p.all()[p.size.zones*p.size.workers:] }

// keepBusy submits a job whose tasks keep all executors of kind a busy for some 20 s, and
// waits until they do.
func (p *platform) keepBusy() []*job {
	j := &job{id: newID()}
	for range (p.size.zones*p.size.workers*20/3 + 31) / 32 {
		j.steps = append(j.steps, step{count: 32, cpu: taskCores, time: 3 * time.Second, label: "a"})
	}
	p.submit(j, p.anyEntry(), patience)
	time.Sleep(1500 * time.Millisecond)
	return []*job{j}
}

// blame lets a few executors lose power twice. Some jobs are sent to them while they are
// dark, and tasks are at work there when they go dark again.
func blame(p *platform) error {
	const (
		jobs     = 4
		darkTime = 4 * time.Second // at most 4.5 s
	)
	busy := p.keepBusy()
	rack := p.rackOf()
	if *trouble {
		p.goDark(rack)
		time.AfterFunc(darkTime, func() { p.comeBack(rack) })
	}
	list := p.submitAll(jobs, step{count: 1, cpu: taskCores, time: 3 * time.Second})
	begun := func() int {
		n := 0
		for _, j := range list {
			if p.book.startsOf(j.id) > 0 {
				n++
			}
		}
		return n
	}
	onRack := func() int {
		n := 0
		for _, w := range rack {
			w.WithState(func(e *leasedtest.Endpoint) { n += len(e.Running()) })
		}
		return n
	}
	deadline := time.Now().Add(20 * time.Second)
	for onRack() == 0 && begun() < len(list) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if *trouble && begun() > 0 {
		time.Sleep(500 * time.Millisecond)
		p.goDark(rack)
		time.AfterFunc(darkTime, func() { p.comeBack(rack) })
	}
	deadline = time.Now().Add(40 * time.Second)
	ended := make(map[*job]bool)
	for len(ended) < len(list) && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		for _, j := range list {
			if ended[j] {
				continue
			}
			switch r := p.query(j, p.anyEntry()); r.state {
			case "completed":
				ended[j] = true
			case "failed":
				ended[j] = true
				p.judgeFailed(j, r.state)
			}
		}
	}
	p.awaitAll(busy)
	return nil
}

// count asks how many jobs are pending after a few executors were lost, to which the first
// starts of their tasks were sent.
func count(p *platform) error {
	const jobs = 8
	p.keepBusy()
	if *trouble {
		p.goDark(p.rackOf())
	}
	list := p.submitAll(jobs, step{count: 1, cpu: taskCores, time: 2 * time.Second})
	time.Sleep(visibleTime + 2*time.Second + 500*time.Millisecond)
	for range 8 {
		for i := range p.Entries {
			p.book.mu.Lock()
			waiting := 0
			for _, j := range p.book.jobs {
				if !j.accepted.IsZero() && time.Since(j.accepted) > visibleTime+2*time.Second && p.book.startsLocked(j.id) == 0 {
					waiting++
				}
			}
			p.book.mu.Unlock()
			pending, known := p.pending(i)
			after := 0
			for _, j := range list {
				if p.book.startsOf(j.id) == 0 {
					after++
				}
			}
			p.book.note("GET pending at %d: %d, known %v; %d jobs have not begun", i, pending, known, waiting)
			if waiting = min(waiting, after); known && 2*pending < waiting {
				p.book.violation("MIXED: entry %d says that %d jobs are pending, and %d that were accepted over %v ago have not begun", i, pending, waiting, visibleTime+2*time.Second)
				return nil
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	return nil
}

// pending asks an entry for the number of pending jobs of the queue.
func (p *platform) pending(entry int) (int, bool) {
	ctx, cancel := context.WithTimeout(p.ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Entries[entry].Front+pathPrefix, nil)
	if err != nil {
		return 0, false
	}
	req.Host = hostName
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var answer struct {
		Pending *int `json:"pending"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || answer.Pending == nil {
		return 0, false
	}
	return *answer.Pending, true
}

// chain returns steps that follow one another, of tasks that take 2 s.
func chain(length, width int) []step {
	var steps []step
	for n := range length {
		s := step{count: width, cpu: taskCores, time: 2 * time.Second}
		if n > 0 {
			s.after = []int{n - 1}
		}
		steps = append(steps, s)
	}
	return steps
}

// withdraw lets some clients leave before their jobs are acknowledged, and cancel them, while
// the store is slow.
func withdraw(p *platform) error {
	const jobs, leaving = 16, 6 // 37% of the clients
	const leaveAfter = 100 * time.Millisecond
	if *trouble {
		p.Store.SetFaults(fakestore.Faults{Delay: 240 * time.Millisecond}) // 60 times 4 ms
		p.book.note("the store is slow")
	}
	time.Sleep(300 * time.Millisecond)
	var clients sync.WaitGroup
	for n := range jobs {
		j := &job{id: newID(), steps: chain(4, 1)}
		p.book.add(j)
		clients.Go(func() {
			if n >= leaving {
				p.submit(j, p.anyEntry(), patience)
				return
			}
			r := p.call(http.MethodPost, p.anyEntry(), j.id, body(j), leaveAfter)
			p.book.note("POST %s, whose client leaves after %v: %d %s", j.id, leaveAfter, r.status, r.state)
			p.cancelJob(j, p.anyEntry())
		})
	}
	time.Sleep(1200 * time.Millisecond)
	p.Store.SetFaults(fakestore.Faults{})
	if *trouble {
		p.book.calmNow("the store is quick again")
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	return nil
}

// cancelElsewhere cancels some best-effort jobs whose callers wait. Two of the connections for
// that are reset, and their clients try again at another node.
func cancelElsewhere(p *platform) error {
	const jobs, cancelled, resets = 10, 4, 2
	var clients sync.WaitGroup
	for n := range jobs {
		j := &job{id: newID(), bestEffort: true, steps: chain(5, 1)}
		entry := n % len(p.Entries)
		clients.Go(func() { p.submitOnce(j, entry, 20*time.Second) })
		if n >= cancelled {
			continue
		}
		clients.Go(func() {
			time.Sleep(time.Second)
			if n >= resets || !*trouble {
				p.cancelJob(j, entry)
				return
			}
			p.resetOnce(entry, j.id)
			p.book.calmNow(fmt.Sprintf("DELETE %s at %d: its connection was reset", j.id, entry))
			p.cancelJob(j, (entry+1)%len(p.Entries))
		})
	}
	clients.Wait()
	return nil
}

// submitOnce submits a job, and does not send it again.
func (p *platform) submitOnce(j *job, entry int, timeout time.Duration) {
	p.book.add(j)
	r := p.call(http.MethodPost, entry, j.id, body(j), timeout)
	p.book.note("POST %s at %d: %d %s", j.id, entry, r.status, r.state)
}

// resetOnce sends a DELETE through a proxy that resets the connection before it passes
// anything on.
func (p *platform) resetOnce(entry int, id leased.JobID) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer listener.Close()
	proxied := faultnet.Wrap(listener)
	go func() {
		conn, err := proxied.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1)) // the request has begun to arrive
			conn.(*faultnet.Conn).Break()
		}
	}()
	req, err := http.NewRequestWithContext(p.ctx, http.MethodDelete, "http://"+listener.Addr().String()+pathPrefix+string(id), strings.NewReader(""))
	if err != nil {
		return
	}
	req.Host = hostName
	if resp, err := (&http.Client{Timeout: patience}).Do(req); err == nil {
		resp.Body.Close()
	}
}
