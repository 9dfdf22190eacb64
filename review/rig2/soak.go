package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = playSoak }

// soakJob is what the clients know of a job.
type soakJob struct {
	id         string
	body       jobBody
	mu         sync.Mutex
	accepted   time.Duration // 0: not
	attempts   int
	rejected   int
	cancelAck  time.Duration
	cancelSent bool
	completed  time.Duration // first shown so; 0: not
	last       reply
}

// playSoak plays random jobs under random disruptions, and checks TWICE, ORDER, BUDGET, LOST,
// REFUSED, UNASKED and MIXED as far as they are easy to check. SOAK chooses the disruptions.
func playSoak(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a", "b", "a"}, timeoutMS: 4000, maxAttempts: 3, proxied: true}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	kinds := strings.Split(os.Getenv("SOAK"), ",")
	began := time.Now()
	const length = 45 * time.Second
	var jobs []*soakJob
	var mu sync.Mutex
	var wait sync.WaitGroup
	stop := make(chan struct{})
	if trouble {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Since(began) < length-5*time.Second {
				r.disturb(kinds[rand.IntN(len(kinds))])
				time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
			}
		}()
	}
	for time.Since(began) < length {
		j := randomJob()
		mu.Lock()
		jobs = append(jobs, j)
		mu.Unlock()
		wait.Add(1)
		go func() { defer wait.Done(); r.live(j, stop) }()
		if os.Getenv("FAST") == "1" && time.Since(began) < 12*time.Second {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		time.Sleep(time.Duration(20+rand.IntN(90)) * time.Millisecond)
	}
	time.Sleep(18 * time.Second)
	r.store.mu.Lock()
	r.store.lost, r.store.down, r.store.slow = 0, false, 0
	r.store.mu.Unlock()
	time.Sleep(14 * time.Second)
	close(stop)
	wait.Wait()
	var problems []string
	if n := r.rec.problems(); n > 0 {
		problems = append(problems, fmt.Sprintf("%d in the record", n))
	}
	for _, j := range jobs {
		problems = append(problems, r.judge(j)...)
	}
	sort.Strings(problems)
	for _, p := range problems {
		r.rec.printf("PROBLEM %s", p)
	}
	accepted := 0
	for _, j := range jobs {
		if j.accepted > 0 {
			accepted++
		}
	}
	return verdict{len(problems) > 0, fmt.Sprintf("%d jobs, %d accepted, %d problems %.600s", len(jobs), accepted, len(problems), strings.Join(problems, "; "))}, nil
}

func randomJob() *soakJob {
	j := &soakJob{id: jobID()}
	j.body = jobBody{Spec: strings.Repeat("<a&b>\"\\\u2028é\x01😀", rand.IntN(100)) + j.id, BestEffort: rand.Float64() < 0.25}
	steps := 1
	if rand.Float64() < 0.35 {
		steps = 2
	}
	for s := range steps {
		st := step{Count: 1 + rand.IntN(5), CPU: 1000 + rand.IntN(9000), MemMB: 64, EstimateMS: 50 + rand.IntN(1200)}
		if rand.Float64() < 0.1 {
			st.EstimateMS = 3000
		}
		if rand.Float64() < 0.15 {
			st.failFirst = 1 + rand.IntN(2)
		}
		if rand.Float64() < 0.1 {
			st.Requirements = "b"
		}
		if rand.Float64() < 0.3 {
			st.Checkpointing = true
		}
		if rand.Float64() < 0.12 {
			st.AntiAffinity = 1 + rand.IntN(2)
		}
		if rand.Float64() < 0.1 {
			st.MemMB = 30_000 + rand.IntN(90_000)
		}
		if rand.Float64() < 0.15 {
			st.Affinity = "rack-" + zones[rand.IntN(3)]
		}
		if s > 0 {
			st.After = []int{s - 1}
		}
		j.body.Steps = append(j.body.Steps, st)
	}
	return j
}

// live is the client of a job.
func (r *rig) live(j *soakJob, stop chan struct{}) {
	any := func() *entry { return r.entries[rand.IntN(len(r.entries))] }
	patience := 1500 * time.Millisecond
	if j.body.BestEffort {
		patience = 4 * time.Second
	}
	for {
		got := r.submit(any(), j.id, j.body, patience)
		j.mu.Lock()
		j.attempts++
		if got.status == 200 {
			j.accepted = r.rec.now()
			j.last = got
			if j.body.BestEffort {
				j.completed = r.rec.now()
			}
			j.mu.Unlock()
			break
		}
		if got.status == 503 || got.status == 429 || got.status == 404 {
			j.rejected++
			j.mu.Unlock()
			return
		}
		j.mu.Unlock()
		if j.attempts > 6 {
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
	if j.body.BestEffort {
		return
	}
	if rand.Float64() < 0.1 {
		go func() {
			time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
			r.submit(any(), j.id, j.body, patience)
		}()
	}
	if rand.Float64() < 0.12 {
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		j.mu.Lock()
		j.cancelSent = true
		j.mu.Unlock()
		for {
			got := r.cancel(any(), j.id)
			if got.status == 200 || got.status == 410 {
				j.mu.Lock()
				j.cancelAck = r.rec.now()
				if got.status == 410 {
					j.last = got
				}
				j.mu.Unlock()
				break
			}
			select {
			case <-stop:
				return
			case <-time.After(700 * time.Millisecond):
			}
		}
	}
	for {
		select {
		case <-stop:
			got := r.state(any(), j.id)
			for n := 0; n < 4 && got.status != 200 && got.status != 410; n++ {
				got = r.state(any(), j.id)
			}
			j.mu.Lock()
			j.last = got
			j.mu.Unlock()
			return
		case <-time.After(time.Duration(300+rand.IntN(2500)) * time.Millisecond):
		}
		got := r.state(any(), j.id)
		j.mu.Lock()
		if got.status == 200 && got.state == "completed" && j.completed == 0 {
			j.completed = r.rec.now()
		}
		if got.status == 410 && r.rec.now()-j.accepted > visible {
			r.rec.printf("PROBLEM LOST %s: 410", j.id)
		}
		j.mu.Unlock()
	}
}

func (r *rig) disturb(kind string) {
	e := r.entries[rand.IntN(len(r.entries))]
	x := r.executors[rand.IntN(len(r.executors))]
	r.rec.printf("disturb %s %s %s", kind, e.name, x.id)
	restart := func(e *entry) {
		<-e.done
		time.Sleep(500 * time.Millisecond)
		_ = e.start()
		for n := range r.entries {
			if r.entries[n] == e && r.network != nil {
				r.network.Started(n)
			}
		}
	}
	back := func(d time.Duration, f func()) { time.Sleep(d); f() }
	set := func(f func(s *store)) { r.store.mu.Lock(); f(r.store); r.store.mu.Unlock() }
	switch kind {
	case "kill":
		e.signal(syscall.SIGKILL)
		restart(e)
	case "killall":
		for _, e := range r.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range r.entries {
			<-e.done
		}
		time.Sleep(700 * time.Millisecond)
		for _, e := range r.entries {
			_ = e.start()
		}
		time.Sleep(4 * time.Second)
	case "term":
		e.signal(syscall.SIGTERM)
		restart(e)
	case "freeze":
		e.signal(syscall.SIGSTOP)
		back(time.Duration(300+rand.IntN(4000))*time.Millisecond, func() { e.signal(syscall.SIGCONT) })
	case "down":
		set(func(s *store) { s.down = true })
		back(time.Duration(500+rand.IntN(4000))*time.Millisecond, func() { set(func(s *store) { s.down = false }) })
	case "lost", "latestore":
		set(func(s *store) { s.lost, s.late = 0.35, kind == "latestore" })
		back(4500*time.Millisecond, func() { set(func(s *store) { s.lost = 0 }) })
	case "slow":
		set(func(s *store) { s.slow = 240 * time.Millisecond })
		back(4500*time.Millisecond, func() { set(func(s *store) { s.slow = 0 }) })
	case "drain":
		x.drain(time.Duration(rand.IntN(4000)) * time.Millisecond)
	case "zonecut":
		zone := zones[rand.IntN(len(zones))]
		r.cutZone(zone, true)
		back(time.Duration(1000+rand.IntN(4500))*time.Millisecond, func() { r.cutZone(zone, false) })
		time.Sleep(2 * time.Second)
	case "nodecut":
		set := func(on bool) {
			for a, from := range r.entries {
				for b, to := range r.entries {
					if (from == e) != (to == e) {
						r.network.Direction(a, b).SetSilent(on)
					}
				}
			}
		}
		set(true)
		back(time.Duration(1000+rand.IntN(4500))*time.Millisecond, func() { set(false) })
		time.Sleep(time.Second)
	case "workercut":
		set := func(on bool) {
			for _, d := range x.doors {
				d.cut.Store(on)
			}
		}
		set(true)
		back(time.Duration(500+rand.IntN(5000))*time.Millisecond, func() { set(false) })
	case "storecut":
		z := r.storeDoors[zones[rand.IntN(len(zones))]]
		z.cut.Store(true)
		back(time.Duration(1000+rand.IntN(8000))*time.Millisecond, func() { z.cut.Store(false) })
	case "reset":
		for range 6 {
			if a, b := rand.IntN(len(r.entries)), rand.IntN(len(r.entries)); a != b {
				r.network.Reset(a, b)
			}
		}
	case "crash":
		x.crash(time.Duration(1500+rand.IntN(3000)) * time.Millisecond)
	case "hang":
		x.mu.Lock()
		x.hangs = true
		x.mu.Unlock()
		back(time.Duration(500+rand.IntN(4000))*time.Millisecond, func() { x.mu.Lock(); x.hangs = false; x.mu.Unlock() })
	case "lateorders":
		for _, x := range r.executors {
			x.mu.Lock()
			x.lateShare = 0.06
			x.mu.Unlock()
		}
		back(4500*time.Millisecond, func() {
			for _, x := range r.executors {
				x.mu.Lock()
				x.lateShare = 0
				x.mu.Unlock()
			}
		})
	}
}

func (r *rig) judge(j *soakJob) []string {
	var out []string
	problem := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)+" job "+j.id) }
	starts := 0
	failedCause := false
	stepDone := make([]time.Duration, len(j.body.Steps))
	for s, st := range j.body.Steps {
		for i := range st.Count {
			name := task(j.id, s, i)
			ss, ee := r.rec.startsOf(name), r.rec.endsOf(name)
			starts += len(ss)
			type interval struct{ from, to time.Duration }
			var runs []interval
			var firstDone time.Duration
			failed, crashed := 0, 0
			for _, e := range ee {
				if e.how == "done" && (firstDone == 0 || e.at < firstDone) {
					firstDone = e.at
				}
				if e.how == "failed" {
					failed++
				}
				if e.how == "crashed" {
					crashed++
				}
			}
			if failed >= 3 || crashed >= 2 {
				failedCause = true
			}
			for _, b := range ss {
				to := time.Hour
				for _, e := range ee {
					if e.executor == b.executor && e.run == b.run && e.at >= b.at && e.at < to {
						to = e.at
					}
				}
				runs = append(runs, interval{b.at, to})
				if s > 0 && (stepDone[s-1] == 0 || b.at < stepDone[s-1]) {
					problem("ORDER %s starts at %.3f", name, b.at.Seconds())
				}
				if j.cancelAck > 0 && b.at > j.cancelAck+3*time.Second {
					problem("UNASKED %s starts at %.3f, cancelled at %.3f", name, b.at.Seconds(), j.cancelAck.Seconds())
				}
				if !j.body.BestEffort && j.completed > 0 && b.at > j.completed+time.Second {
					problem("TWICE-shown %s starts at %.3f, shown completed at %.3f", name, b.at.Seconds(), j.completed.Seconds())
				}
				for _, e := range ee {
					if !j.body.BestEffort && e.how == "done" && e.at < b.at && e.noted > 0 && !e.lapsed {
						problem("TWICE %s starts at %.3f after done at %.3f on %s noted %.3f", name, b.at.Seconds(), e.at.Seconds(), e.executor, e.noted.Seconds())
					}
				}
			}
			for a := range runs {
				for b := range a {
					if runs[a].from < runs[b].to && runs[b].from < runs[a].to {
						problem("TWICE-overlap %s %.3f-%.3f and %.3f-%.3f", name, runs[a].from.Seconds(), runs[a].to.Seconds(), runs[b].from.Seconds(), runs[b].to.Seconds())
					}
				}
			}
			if !j.body.BestEffort {
				noted := 0
				for _, e := range ee {
					if e.how == "failed" && e.noted > 0 && !e.lapsed {
						noted++
						after := 0
						for _, b := range ss {
							if b.at > e.at {
								after++
							}
						}
						if noted >= 3 && after > 0 {
							problem("BUDGET %s", name)
						}
					}
				}
			}
			if firstDone == 0 {
				stepDone[s] = time.Hour
			}
			stepDone[s] = max(stepDone[s], firstDone)
		}
	}
	if j.accepted == 0 && j.attempts > 0 && j.rejected == j.attempts && starts > 0 {
		problem("REFUSED %d starts", starts)
	}
	if j.accepted > 0 && !j.body.BestEffort {
		switch {
		case j.last.status != 200:
			if !(j.cancelSent && j.last.status == 410) {
				problem("LOST last state %v", j.last)
			}
		case j.last.state == "completed":
			if stepDone[len(stepDone)-1] == time.Hour {
				problem("MIXED completed too early")
			}
		case j.last.state == "failed":
			if !failedCause {
				problem("LOST failed without cause")
			}
		case j.last.state == "cancelled":
			if !j.cancelSent {
				problem("LOST cancelled without cause")
			}
		default:
			problem("LOST still %s at the end", j.last.state)
		}
	}
	return out
}
