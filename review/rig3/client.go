// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

type reply struct {
	status int // 0: no response
	state  string
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

func body(j *job) string {
	var steps []string
	for _, s := range j.steps {
		text := fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":64`, s.count, s.cpu)
		if !s.noEstimate {
			text += fmt.Sprintf(`,"estimate_ms":%d`, s.time.Milliseconds())
		}
		if len(s.after) > 0 {
			list, _ := json.Marshal(s.after)
			text += `,"after":` + string(list)
		}
		if s.anti > 0 {
			text += fmt.Sprintf(`,"anti_affinity":%d`, s.anti)
		}
		if s.label != "" {
			text += fmt.Sprintf(`,"requirements":%q`, s.label)
		}
		steps = append(steps, text+"}")
	}
	best := ""
	if j.bestEffort {
		best = `"` + names.NotStored + `":true,`
	}
	return `{"spec":"x",` + best + `"steps":[` + strings.Join(steps, ",") + `]}`
}

// call sends a request of a client and waits for its response.
func (p *platform) call(method string, entry int, id leased.JobID, text string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Entries[entry].Front+pathPrefix+string(id), bytes.NewReader([]byte(text)))
	if err != nil {
		return reply{}
	}
	req.Host = hostName
	req.Header.Set("X-Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &s)
	return reply{resp.StatusCode, s.State}
}

// anyEntry returns an entry that was started.
func (p *platform) anyEntry() int {
	for {
		i := rand.IntN(len(p.Entries))
		if cmd, _ := p.process(i); cmd != nil {
			return i
		}
	}
}

// submit submits a job as a client of the platform does: after no response, 502 or 504 it
// sends the job again. It reports whether the job was accepted.
func (p *platform) submit(j *job, entry int, timeout time.Duration) bool {
	p.book.add(j)
	for range 4 {
		p.book.mu.Lock()
		j.attempts++
		p.book.mu.Unlock()
		r := p.call(http.MethodPost, entry, j.id, body(j), timeout)
		p.book.mu.Lock()
		p.book.line("POST %s at %d: %d %s", j.id, entry, r.status, r.state)
		switch {
		case r.status == http.StatusOK:
			j.accepted = time.Now()
		case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusNotFound:
			j.rejections++
		}
		if r.status == http.StatusOK && j.bestEffort {
			j.ended = true
			if r.state == "completed" {
				j.completed = time.Now()
			}
		}
		p.book.mu.Unlock()
		switch r.status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			if p.ctx.Err() != nil {
				return false
			}
			time.Sleep(retransmit)
			entry = p.anyEntry()
		default:
			return false
		}
	}
	return false
}

// cancelJob cancels a job, and tries again at other entries until it is acknowledged.
func (p *platform) cancelJob(j *job, entry int) {
	for attempt := 0; attempt < 20 && p.ctx.Err() == nil; attempt++ {
		p.book.mu.Lock()
		if j.cancelSent.IsZero() {
			j.cancelSent = time.Now()
		}
		p.book.mu.Unlock()
		r := p.call(http.MethodDelete, (entry+attempt)%len(p.Entries), j.id, "", 1500*time.Millisecond)
		p.book.mu.Lock()
		p.book.line("DELETE %s at %d: %d %s", j.id, (entry+attempt)%len(p.Entries), r.status, r.state)
		if r.status/100 == 2 || r.status == http.StatusGone {
			j.cancelAck = time.Now()
		}
		acked := !j.cancelAck.IsZero()
		p.book.mu.Unlock()
		if acked {
			p.judgeCancelled(j)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// judgeCancelled reports tasks that run for too long after the job's cancelling was
// acknowledged.
func (p *platform) judgeCancelled(j *job) {
	time.Sleep(cancelTime + stopTime)
	p.book.mu.Lock()
	inTouch := p.book.inTouch
	p.book.mu.Unlock()
	time.Sleep(time.Until(inTouch.Add(stopTime)))
	for _, w := range p.all() {
		var tasks []leased.TaskID
		w.WithState(func(e *leasedtest.Endpoint) {
			for _, r := range e.Running() {
				if r.Task.Job == j.id {
					tasks = append(tasks, r.Task)
				}
			}
		})
		for _, id := range tasks {
			p.book.violation("UNASKED: %v runs on %s %.2f s after its cancelling was acknowledged", id, w.id, time.Since(j.cancelAck).Seconds())
		}
	}
}

// judgeFailed reports a job that is shown as failed or cancelled without cause: no task of it
// has used up its attempts, and no two executors have crashed under one.
func (p *platform) judgeFailed(j *job, state string) {
	p.book.mu.Lock()
	defer p.book.mu.Unlock()
	crashes := 0
	for id, t := range p.book.tasks {
		if id.Job != j.id {
			continue
		}
		failed := 0
		for _, e := range t.ends {
			if e.end == leased.EndFailed {
				failed++
			}
		}
		if failed >= maxAttempts {
			return
		}
		crashes = max(crashes, len(t.starts)-len(t.ends))
	}
	if crashes >= 2 {
		return
	}
	p.book.violate("LOST: %s is shown as %s without cause: no run of it has failed, and %d executor has crashed under it", j.id, state, crashes)
}

// query asks for the state of an accepted job, and judges the answer.
func (p *platform) query(j *job, entry int) reply {
	r := p.call(http.MethodGet, entry, j.id, "", 2*time.Second)
	p.book.mu.Lock()
	defer p.book.mu.Unlock()
	switch {
	case r.status == http.StatusGone && j.cancelSent.IsZero() && time.Since(j.accepted) > visibleTime:
		p.book.violate("LOST: GET %s at %d: 410, %v after it was accepted", j.id, entry, time.Since(j.accepted))
	case r.state == "completed" && j.completed.IsZero():
		j.completed = time.Now()
		p.book.line("GET %s at %d: completed", j.id, entry)
	case r.state == "failed" && j.failed.IsZero():
		j.failed = time.Now()
		p.book.line("GET %s at %d: failed", j.id, entry)
	}
	return r
}
