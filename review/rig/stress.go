package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func number(name string, or float64) float64 {
	if n, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return n
	}
	return or
}

// stress is a search for faults, not a case: see the environment variables.
func stress() (*rig, *verdict) {
	v := &verdict{}
	seed := uint64(number("SEED", 1))
	attempts := int(number("ATTEMPTS", 3))
	failShare := number("FAIL", 0.3)
	rate := number("RATE", 30)
	seconds := number("SECONDS_", 40)
	mode := os.Getenv("MODE")
	gap := number("GAP", 6)
	r, err := newRig(attempts)
	if err != nil {
		v.err = err
		return r, v
	}
	zones := []string{"lodz-a", "piotrkow-b", "kutno-c"}
	for _, zone := range zones {
		for i := range int(number("EXECUTORS", 12)) {
			if _, err := r.addExecutor(fmt.Sprintf("i-%s-%02d", zone, i), zone, 64000, "a", fmt.Sprintf("r-%s-%d", zone, i/8)); err != nil {
				v.err = err
				return r, v
			}
		}
	}
	for _, x := range r.executors {
		x.unguarded = number("UNGUARDED", 0) > 0
	}
	if v.err = r.addEntries(zones, int(number("ENTRIES", 2))); v.err != nil {
		return r, v
	}
	if v.err = r.beginAll(); v.err != nil {
		return r, v
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	widths := make(map[string]int)
	var wg sync.WaitGroup
	end := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	stopTrouble := make(chan struct{})
	if r.trouble && mode != "" {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 2))
			for n := 0; time.Now().Before(end.Add(-6 * time.Second)); n++ {
				time.Sleep(time.Duration(gap * float64(time.Second)))
				modes := strings.Split(mode, ",")
				r.disturb(modes[rng.IntN(len(modes))], rng)
			}
			close(stopTrouble)
		})
	}
	low, high := number("LOW", 0.2), number("HIGH", 0.9)
	for time.Now().Before(end) {
		id := newID(rng)
		steps := 1 + rng.IntN(int(number("STEPS", 1)))
		width := 1 + rng.IntN(int(number("WIDTH", 3)))
		widths[id] = width
		took := time.Duration((low + rng.Float64()*(high-low)) * float64(time.Second))
		cpu := int(number("CPULOW", 27000)) + rng.IntN(1+int(number("CPUMORE", 0)))
		jobSeed := rng.Uint64()
		j := &job{id: id}
		var mu sync.Mutex
		jr := rand.New(rand.NewPCG(jobSeed, 3))
		j.work = func(string) work {
			mu.Lock()
			defer mu.Unlock()
			return work{cpu: cpu, mem: 64, time: took, fails: jr.Float64() < failShare}
		}
		j.body = fmt.Sprintf(`{"spec":"%s","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d}`, id, width, cpu, took.Milliseconds())
		if steps > 1 {
			j.body += fmt.Sprintf(`,{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d,"after":[0]}`, width, cpu, took.Milliseconds())
		}
		j.body += "]}"
		if number("BEST", 0) > 0 {
			j.body = notStored(j.body)
		}
		r.add(j)
		submitRng := rand.New(rand.NewPCG(jobSeed, 4))
		cancel := rng.Float64() < number("CANCEL", 0)
		wait := time.Duration(rng.Float64() * 1.5 * float64(time.Second))
		wg.Go(func() {
			if r.submit(j, submitRng, 6) != 200 {
				return
			}
			if !cancel {
				for n := number("POLL", 0); n > 0; n-- {
					e := r.anyEntry(submitRng)
					status, state := r.state(j, e)
					if status == 410 && time.Since(j.acked) > 3*time.Second {
						r.rec.add("GONE    %s at %s", j.id, e.name)
					}
					if state == "completed" {
						seen := make(map[string]bool)
						for task, list := range r.byTask() {
							for _, s := range list {
								if jobOf(task) == j.id && s.how == "done" {
									seen[task] = true
								}
							}
						}
						if len(seen) != width*steps {
							r.rec.add("EARLY   %s is shown as completed at %s, %d of %d tasks are done", j.id, e.name, len(seen), width*steps)
						}
						return
					}
					time.Sleep(150 * time.Millisecond)
				}
				return
			}
			time.Sleep(wait)
			for range 8 {
				e := r.anyEntry(submitRng)
				status, m := r.call("DELETE", e, j.id, "", 3*time.Second)
				r.rec.add("DELETE  %s at %s: %d %v", j.id, e.name, status, m)
				if status == 200 || status == 410 {
					r.mu.Lock()
					j.cancelled, j.cancelStatus = time.Now(), status
					r.mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / rate * (0.5 + rng.Float64())))
	}
	wg.Wait()
	r.rec.add("the traffic ends")
	time.Sleep(14 * time.Second)
	states := make(map[string]int)
	for i, j := range r.order {
		if j.acked.IsZero() || number("BEST", 0) > 0 {
			continue
		}
		status, state := r.state(j, r.entries[i%len(r.entries)])
		states[fmt.Sprint(status, state)]++
		if !j.cancelled.IsZero() {
			for task, list := range r.byTask() {
				for _, s := range list {
					if jobOf(task) == j.id && (s.at.After(j.cancelled.Add(3*time.Second)) || s.at.Before(j.cancelled) && (s.ended.IsZero() || s.ended.After(j.cancelled.Add(3050*time.Millisecond)))) {
						v.broken = append(v.broken, fmt.Sprintf("UNASKED: task %s run %d on %s from %.3f to %.3f %s, cancelled at %.3f with %d, %s", task, s.run, s.executor, r.rec.since(s.at), r.rec.since(s.ended), s.how, r.rec.since(j.cancelled), j.cancelStatus, state))
					}
				}
			}
			if j.cancelStatus == 410 {
				v.broken = append(v.broken, "410 for the DELETE of accepted job "+j.id)
			}
			continue
		}
		if status == 410 {
			v.broken = append(v.broken, "LOST: 410 for accepted job "+j.id)
		}
		if state != "completed" && state != "failed" {
			v.notes = append(v.notes, fmt.Sprintf("job %s is %d %q", j.id, status, state))
		}
		if state == "failed" {
			caused := false
			for task, list := range r.byTask() {
				if jobOf(task) != j.id {
					continue
				}
				n := 0
				for _, s := range list {
					if s.how == "failed" {
						n++
					}
				}
				caused = caused || n >= attempts
			}
			if !caused {
				v.broken = append(v.broken, "LOST: job "+j.id+" is shown as failed without cause")
			}
		}
	}
	if number("BEST", 0) == 0 {
		v.broken = append(v.broken, r.budgetBroken(attempts)...)
	}
	for _, l := range r.twiceBroken() {
		if number("BEST", 0) == 0 || strings.Contains(l, "is active") {
			v.broken = append(v.broken, l)
		}
	}
	v.broken = append(v.broken, r.refusedBroken()...)
	v.broken = append(v.broken, r.orderBroken(widths)...)
	for _, l := range r.rec.lines {
		if strings.Contains(l, " OVER ") || strings.Contains(l, " DRAINED ") || strings.Contains(l, " GONE ") || strings.Contains(l, " EARLY ") {
			v.broken = append(v.broken, l)
		}
	}
	v.notes = append(v.notes, r.counts(), fmt.Sprint("states ", states))
	return r, v
}

// disturb brings about one disruption and returns when it is over.
func (r *rig) disturb(mode string, rng *rand.Rand) {
	e := r.entries[rng.IntN(len(r.entries))]
	some := func(share float64) map[*entry]bool {
		m := make(map[*entry]bool)
		for _, e := range r.entries {
			if rng.Float64() < share {
				m[e] = true
			}
		}
		return m
	}
	r.rec.add("disruption %s", mode)
	switch mode {
	case "kill":
		r.kill(e)
		time.Sleep(time.Duration(number("DOWN", 0.5) * float64(time.Second)))
		r.begin(e)
	case "killall":
		for _, e := range r.entries {
			e.cmd.Process.Kill()
		}
		time.Sleep(time.Second)
		for _, e := range r.entries {
			<-e.exited
			r.begin(e)
		}
	case "term":
		r.term(e)
		time.Sleep(500 * time.Millisecond)
		r.begin(e)
	case "freeze":
		d := time.Duration((0.4 + rng.Float64()*3.6) * float64(time.Second))
		r.rec.add("SIGSTOP %s for %v", e.name, d)
		e.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(d)
		e.cmd.Process.Signal(syscall.SIGCONT)
	case "lost", "lostlate":
		r.setGate(func(_ *entry, w http.ResponseWriter, q *http.Request) bool {
			if q.URL.Path != names.AppendPath || rand.Float64() > 0.35 {
				return false
			}
			body, _ := io.ReadAll(q.Body)
			again := q.Clone(context.Background())
			again.Body = io.NopCloser(bytes.NewReader(body))
			if mode == "lost" {
				r.store.ServeHTTP(httptest.NewRecorder(), again)
			} else {
				go func() {
					time.Sleep(time.Second + time.Duration(rand.Int64N(int64(5*time.Second))))
					r.store.ServeHTTP(httptest.NewRecorder(), again)
				}()
			}
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		})
		time.Sleep(4500 * time.Millisecond)
		r.setGate(nil)
	case "away", "awaybusy", "down":
		away := some(0.35)
		r.setGate(func(e *entry, w http.ResponseWriter, q *http.Request) bool {
			switch {
			case mode != "down" && !away[e]:
				return false
			case mode == "away":
				<-q.Context().Done()
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(503)
			return true
		})
		time.Sleep(time.Duration((2 + 6*rng.Float64()) * float64(time.Second)))
		r.setGate(nil)
	case "slow":
		r.setGate(func(*entry, http.ResponseWriter, *http.Request) bool {
			time.Sleep(240 * time.Millisecond)
			return false
		})
		time.Sleep(4500 * time.Millisecond)
		r.setGate(nil)
	case "late":
		late := func() bool { return rand.Float64() < 0.06 }
		r.late.Store(&late)
		time.Sleep(5500 * time.Millisecond)
		r.late.Store(nil)
	case "cut":
		var list []*executor
		for _, x := range r.executors {
			if rng.Float64() < 0.17 {
				list = append(list, x)
			}
		}
		set := func(on bool) {
			for _, x := range list {
				x.mu.Lock()
				x.silent = on
				x.mu.Unlock()
			}
		}
		set(true)
		time.Sleep(time.Duration((0.5 + 5*rng.Float64()) * float64(time.Second)))
		set(false)
	case "drain":
		x := r.executors[rng.IntN(len(r.executors))]
		if !x.left {
			go x.drain(time.Duration((2 + 6*rng.Float64()) * float64(time.Second)))
			if y, err := r.addExecutor(fmt.Sprintf("i-%s-n%d", x.zone, rng.IntN(1e6)), x.zone, 64000, x.labels...); err == nil {
				y.unguarded = x.unguarded
			}
		}
		time.Sleep(200 * time.Millisecond)
	case "crash":
		for _, x := range r.executors {
			if rng.Float64() < 0.14 {
				go x.restart(time.Duration((0.2+4*rng.Float64())*float64(time.Second)), nil)
			}
		}
		time.Sleep(4500 * time.Millisecond)
	}
	r.rec.add("end of disruption %s", mode)
}
