package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var zones = []string{"lodz-a", "piotrkow-b", "kutno-c"}

// smallDeployment starts what the sheet of rsz.toml describes: 7 entries in three zones,
// and 16 executors of 64 cores in each zone.
func smallDeployment(maxAttempts, executors int, labels func(i int) []string) (*rig, error) {
	r, err := newRig(maxAttempts)
	if err != nil {
		return r, err
	}
	for _, zone := range zones {
		for i := range executors {
			if _, err := r.addExecutor(fmt.Sprintf("i-%s-%02d", zone, i), zone, 64000, append(labels(i), fmt.Sprintf("r-%s-%d", zone, i/8))...); err != nil {
				return r, err
			}
		}
	}
	if err := r.addEntries(zones, 3, 2, 2); err != nil {
		return r, err
	}
	return r, r.beginAll()
}

// metric reads a figure of an entry from its metrics page (deploy file: 9102/metrics).
func (r *rig) metric(e *entry, name string) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":9102/metrics", nil)
	resp, err := r.client.Do(q)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return n
		}
	}
	return 0
}

func seedOf() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}

// equalJob returns a stored job of one step of equal tasks, as the wire page shows it.
func equalJob(rng *rand.Rand, count, cpu int, took time.Duration, fails bool, more string) *job {
	id := newID(rng)
	return &job{
		id: id, work: func(string) work { return work{cpu: cpu, mem: 64, time: took, fails: fails} },
		body: fmt.Sprintf(`{"spec":"spec of %s","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d%s}]}`, id, count, cpu, took.Milliseconds(), more),
	}
}

// awaitFailing waits until the first runs of all four tasks of a job that can never be
// done are active in a zone and fail in 0.15 to 0.45 s, for 3 s at most.
func (r *rig) awaitFailing(zone string) {
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		n := make(map[string]int)
		for _, x := range r.executors {
			if x.zone != zone {
				continue
			}
			x.mu.Lock()
			for _, a := range x.active {
				if left := time.Until(a.ends); a.fails && a.run&0xffff == 1 && left > 150*time.Millisecond && left < 450*time.Millisecond {
					n[jobOf(a.task)]++
				}
			}
			x.mu.Unlock()
		}
		for _, count := range n {
			if count >= 4 {
				return
			}
		}
	}
}

// budget: single entries are killed while 5% of the jobs can never be done.
func budget() (*rig, *verdict) {
	const maxAttempts = 2
	v := &verdict{}
	r, err := smallDeployment(maxAttempts, 16, func(int) []string { return []string{"a"} })
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	const traffic = 60 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		kills := []time.Duration{6 * time.Second, 15 * time.Second, 24 * time.Second, 33 * time.Second, 42 * time.Second, 51 * time.Second}
		began := time.Now()
		for _, at := range kills {
			time.Sleep(time.Until(began.Add(at)))
			var victim *entry
			most := 0.0
			for _, e := range r.entries {
				if held := r.metric(e, "lovage_endpoints_held"); held > most && time.Since(e.since) > 5*time.Second {
					victim, most = e, held
				}
			}
			if victim == nil {
				continue
			}
			if !r.trouble {
				r.rec.add("TROUBLE=0: %s, which holds %v executors, is left alone", victim.name, most)
				continue
			}
			r.awaitFailing(victim.zone)
			r.rec.add("%s holds %v executors", victim.name, most)
			r.kill(victim)
			time.Sleep(500 * time.Millisecond) // the platform starts it again
			if err := r.begin(victim); err != nil {
				v.err = err
			}
		}
	}()
	began := time.Now()
	var submitted []chan struct{}
	for n := 0; time.Since(began) < traffic; n++ {
		j := equalJob(rng, 2, 27000, 200*time.Millisecond, false, "")
		if n%20 == 0 {
			j = equalJob(rng, 4, 27000, time.Duration(300+rng.IntN(400))*time.Millisecond, true, "")
		}
		r.add(j)
		submitRng := rand.New(rand.NewPCG(rng.Uint64(), 4))
		c := make(chan struct{})
		submitted = append(submitted, c)
		go func() { defer close(c); r.submit(j, submitRng, 6) }()
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / 100)))
	}
	<-done
	for _, c := range submitted {
		<-c
	}
	time.Sleep(10 * time.Second)
	v.broken = append(v.broken, r.budgetBroken(maxAttempts)...)
	v.notes = append(v.notes, r.counts())
	return r, v
}

// holderIn returns the entry of a zone that holds most executors.
func (r *rig) holderIn(zone string) *entry {
	var holder *entry
	most := 0.0
	for _, e := range r.entries {
		if zone != "" && e.zone != zone {
			continue
		}
		if held := r.metric(e, "lovage_endpoints_held"); held > most {
			holder, most = e, held
		}
	}
	return holder
}

// awaitRestarted waits, for 12 s at most, until n tasks that were started anew after the
// loss of their first holder are active and end in 0.15 s to most.
func (r *rig) awaitRestarted(n int, most time.Duration) {
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		count := 0
		for _, x := range r.executors {
			x.mu.Lock()
			for _, a := range x.active {
				if left := time.Until(a.ends); a.run&0xffff == 17 && left > 150*time.Millisecond && left < most {
					count++
				}
			}
			x.mu.Unlock()
		}
		if count >= n {
			return
		}
	}
}

// herdKill kills the processes of all entries at once. They start again a second later.
func (r *rig) herdKill() error {
	for _, e := range r.entries {
		r.rec.add("SIGKILL %s", e.name)
		e.cmd.Process.Kill()
	}
	time.Sleep(time.Second)
	for _, e := range r.entries {
		<-e.exited
		if err := r.begin(e); err != nil {
			return err
		}
	}
	return nil
}

// twice: all entries are killed at once, twice some seconds apart, and twice once more, while one run in
// ten fails.
func twice() (*rig, *verdict) {
	const maxAttempts = 4
	const failShare = 0.1
	v := &verdict{}
	r, err := smallDeployment(maxAttempts, 16, func(int) []string { return []string{"a"} })
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(5 * time.Second)
		if !r.trouble {
			return
		}
		for n := range 4 { // two pairs
			if n == 2 {
				time.Sleep(10 * time.Second)
			}
			if n%2 == 1 {
				r.awaitRestarted(12, 500*time.Millisecond)
			}
			if v.err = r.herdKill(); v.err != nil {
				return
			}
		}
	}()
	r.traffic(rng, 11, time.Now().Add(36*time.Second), func(int) *job {
		j := equalJob(rng, 4, 27000, 1800*time.Millisecond, false, "")
		own := rand.New(rand.NewPCG(rng.Uint64(), 5))
		usual := j.work
		j.work = func(task string) work {
			r.mu.Lock()
			defer r.mu.Unlock()
			w := usual(task)
			w.fails = own.Float64() < failShare
			return w
		}
		return j
	})
	<-done
	time.Sleep(30 * time.Second)
	states := make(map[string]int)
	for i, j := range r.order {
		if !j.acked.IsZero() {
			_, state := r.state(j, r.entries[i%len(r.entries)])
			states[state]++
			if state != "completed" {
				r.rec.add("state   %s: %s", j.id, state)
			}
		}
	}
	v.broken = append(v.broken, r.twiceBroken()...)
	v.notes = append(v.notes, r.counts(), fmt.Sprint("states at the end ", states))
	return r, v
}

// traffic hands jobs in at a rate until a time, and waits for the answers.
func (r *rig) traffic(rng *rand.Rand, perSecond int, until time.Time, next func(n int) *job) {
	began := time.Now()
	var submitted []chan struct{}
	for n := 0; time.Now().Before(until); n++ {
		j := next(n)
		r.add(j)
		submitRng := rand.New(rand.NewPCG(rng.Uint64(), 4))
		c := make(chan struct{})
		submitted = append(submitted, c)
		go func() { defer close(c); r.submit(j, submitRng, 6) }()
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / time.Duration(perSecond))))
	}
	for _, c := range submitted {
		<-c
	}
}

// route: executors crash and start again under their ids, as ones of another kind.
func route() (*rig, *verdict) {
	v := &verdict{}
	kind := func(i int) []string { return []string{[]string{"a", "a", "b"}[i%3]} }
	r, err := smallDeployment(2, 16, kind)
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(4 * time.Second)
		var some []*executor
		for _, x := range r.executors {
			if x.labels[0] == "b" && len(some) < 6 { // 6 of 48
				some = append(some, x)
			}
		}
		for n := range 18 {
			x := some[n%len(some)]
			if r.trouble {
				x.restart(70*time.Millisecond, []string{map[bool]string{true: "b", false: "a"}[x.labels[0] == "a"], x.labels[1]})
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	r.traffic(rng, 110, time.Now().Add(33*time.Second), func(n int) *job {
		needs := "b"
		if n%11 < 6 {
			needs = "a"
		}
		j := equalJob(rng, 2, 27000, 200*time.Millisecond, false, fmt.Sprintf(`,"requirements":%q`, needs))
		j.needs = needs
		if n%2 == 0 { // it need not be stored
			j.body = notStored(j.body)
		}
		return j
	})
	<-done
	time.Sleep(8 * time.Second)
	for task, list := range r.byTask() {
		for _, s := range list {
			if j := r.jobs[jobOf(task)]; j != nil && s.labels[0] != j.needs {
				v.broken = append(v.broken, fmt.Sprintf("ROUTE: task %s, whose step has the requirement %q, is started at %.3f on %s, which has the labels %v since %.3f", task, j.needs, r.rec.since(s.at), s.executor, s.labels, r.rec.since(time.UnixMilli(s.born))))
			}
		}
	}
	sort.Strings(v.broken)
	v.notes = append(v.notes, r.counts())
	return r, v
}

// pending: five of seven entries are killed at once while jobs wait; a queue is asked for
// its jobs at an entry that is left.
func pending() (*rig, *verdict) {
	v := &verdict{}
	r, err := smallDeployment(2, 1, func(int) []string { return []string{"a"} })
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	r.traffic(rng, 30, time.Now().Add(3*time.Second), func(int) *job { return equalJob(rng, 1, 27000, 3*time.Second, false, "") })
	time.Sleep(7 * time.Second)
	sorted := append([]*entry{}, r.entries...)
	shards := make(map[*entry]float64)
	for _, e := range sorted {
		shards[e] = r.metric(e, "lovage_shards_owned")
	}
	sort.SliceStable(sorted, func(i, j int) bool { return shards[sorted[i]] > shards[sorted[j]] })
	victims, left := sorted[:5], sorted[5:]
	for _, e := range r.entries {
		r.rec.add("%s owns %v shards", e.name, shards[e])
	}
	ask := func(e *entry, phase string) {
		sent := time.Now()
		status, m := r.call(http.MethodGet, e, "", "", 3*time.Second)
		answered := time.Now()
		n, ok := m["pending"].(float64)
		waiting := r.waitingJobs(sent.Add(-5*time.Second), answered)
		r.rec.add("GET     %s at %s (%s): %d %v; %d jobs that were accepted over 5 s before have not begun", r.prefix, e.name, phase, status, m, waiting)
		if status == http.StatusOK && ok && 2*n < float64(waiting) {
			v.broken = append(v.broken, fmt.Sprintf("MIXED: at %.3f %s gives %v jobs as pending, %d that were accepted over 5 s before have not begun", r.rec.since(answered), e.name, n, waiting))
		}
	}
	for range 5 {
		for _, e := range left {
			ask(e, "before")
		}
		time.Sleep(200 * time.Millisecond)
	}
	if r.trouble {
		for _, e := range victims {
			r.rec.add("SIGKILL %s", e.name)
			e.cmd.Process.Kill()
		}
		go func() {
			time.Sleep(3500 * time.Millisecond)
			for _, e := range victims {
				<-e.exited
				r.begin(e)
			}
		}()
	}
	for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, e := range left {
			ask(e, "after")
		}
	}
	time.Sleep(time.Second)
	v.notes = append(v.notes, r.counts())
	return r, v
}

// waitingJobs counts the jobs that were accepted before a time and of which no task has
// started at another one.
func (r *rig) waitingJobs(acceptedBefore, at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	begun := make(map[string]bool)
	for _, s := range r.starts {
		if s.at.Before(at) {
			begun[jobOf(s.task)] = true
		}
	}
	n := 0
	for _, j := range r.order {
		if !j.acked.IsZero() && j.acked.Before(acceptedBefore) && !begun[j.id] {
			n++
		}
	}
	return n
}

// lost: the store's writes_per_s changes in the settings files, and the entries are
// stopped and started in turn.
func lost() (*rig, *verdict) {
	v := &verdict{}
	r, err := smallDeployment(2, 4, func(int) []string { return []string{"a"} })
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	r.traffic(rng, 20, time.Now().Add(5*time.Second), func(int) *job { return equalJob(rng, 2, 27000, 300*time.Millisecond, false, "") })
	time.Sleep(4 * time.Second)
	ask := func(phase string) {
		states := make(map[string]int)
		for i, j := range r.order {
			if j.acked.IsZero() {
				continue
			}
			e := r.entries[i%len(r.entries)]
			status, state := r.state(j, e)
			states[fmt.Sprint(status, " ", state)]++
			if status == http.StatusGone {
				r.rec.add("GET     %s at %s: 410", j.id, e.name)
				v.broken = append(v.broken, fmt.Sprintf("LOST: GET of %s, accepted at %.3f, is answered 410 at %.3f by %s", j.id, r.rec.since(j.acked), time.Since(r.rec.began).Seconds(), e.name))
			}
		}
		r.rec.add("states %s: %v", phase, states)
		v.notes = append(v.notes, fmt.Sprintf("states %s: %v", phase, states))
	}
	ask("before")
	if r.trouble {
		r.writes = 1200
		r.rec.add("the settings files change: writes_per_s = 1200 instead of 600")
	} else {
		r.rec.add("TROUBLE=0: the settings files stay as they are")
	}
	if v.err = r.writeSettings(zones); v.err != nil {
		return r, v
	}
	for _, e := range r.entries {
		e.cmd.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(time.Second)
	for _, e := range r.entries {
		r.term(e)
		time.Sleep(500 * time.Millisecond)
		if v.err = r.begin(e); v.err != nil {
			return r, v
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(8 * time.Second) // all machines are in touch
	ask("after")
	v.notes = append(v.notes, r.counts())
	return r, v
}

// outage: the store resets all connections for a short time while 5% of the jobs can never
// be done.
func outage() (*rig, *verdict) {
	const maxAttempts = 2
	v := &verdict{}
	r, err := smallDeployment(maxAttempts, 16, func(int) []string { return []string{"a"} })
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	length := time.Duration(number("OUTAGE", 1.5) * float64(time.Second))
	go func() {
		time.Sleep(8 * time.Second)
		if !r.trouble {
			return
		}
		r.rec.add("the store is down: it resets all connections")
		r.setGate(func(*entry, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
		time.Sleep(length)
		r.setGate(nil)
		r.rec.add("the store is back")
	}()
	end := time.Now().Add(18 * time.Second)
	bestEffort := make(chan struct{})
	go func() { // jobs that need not be stored; the executors are in use all the while
		defer close(bestEffort)
		rng := rand.New(rand.NewPCG(seedOf(), 2))
		r.traffic(rng, 90, end.Add(4*time.Second), func(int) *job {
			j := equalJob(rng, 2, 27000, 200*time.Millisecond, false, "")
			j.body = notStored(j.body)
			return j
		})
	}()
	r.traffic(rng, 100, end, func(n int) *job {
		if n%20 == 0 {
			return equalJob(rng, 4, 27000, 900*time.Millisecond, true, "")
		}
		return equalJob(rng, 2, 27000, 200*time.Millisecond, false, "")
	})
	<-bestEffort
	time.Sleep(8 * time.Second)
	v.broken = append(v.broken, r.budgetBroken(maxAttempts)...)
	v.notes = append(v.notes, r.counts())
	return r, v
}

// turnedAway: the store turns two entries away, several times, while one run in ten fails.
// It is another way to what twice shows.
func turnedAway() (*rig, *verdict) {
	const maxAttempts = 4
	const failShare = 0.1
	v := &verdict{}
	r, err := smallDeployment(maxAttempts, 16, func(int) []string { return []string{"a"} })
	if err != nil {
		return r, &verdict{err: err}
	}
	rng := rand.New(rand.NewPCG(seedOf(), 1))
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(5 * time.Second)
		if !r.trouble {
			return
		}
		for n := range 5 {
			if n > 0 {
				r.awaitRestarted(8, 700*time.Millisecond)
			}
			sorted := append([]*entry{}, r.entries...)
			shards := make(map[*entry]float64)
			for _, e := range sorted {
				shards[e] = r.metric(e, "lovage_shards_owned")
			}
			sort.SliceStable(sorted, func(i, j int) bool { return shards[sorted[i]] > shards[sorted[j]] })
			away := map[*entry]bool{sorted[0]: true, sorted[1]: true}
			r.rec.add("the store turns %s and %s away (503)", sorted[0].name, sorted[1].name)
			r.setGate(func(e *entry, w http.ResponseWriter, _ *http.Request) bool {
				if away[e] {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return away[e]
			})
			time.Sleep(4 * time.Second)
			r.setGate(nil)
			r.rec.add("the store serves all entries again")
		}
	}()
	r.traffic(rng, 11, time.Now().Add(40*time.Second), func(int) *job {
		j := equalJob(rng, 4, 27000, 1800*time.Millisecond, false, "")
		own := rand.New(rand.NewPCG(rng.Uint64(), 5))
		usual := j.work
		j.work = func(task string) work {
			r.mu.Lock()
			defer r.mu.Unlock()
			w := usual(task)
			w.fails = own.Float64() < failShare
			return w
		}
		return j
	})
	<-done
	time.Sleep(25 * time.Second)
	v.broken = append(v.broken, r.twiceBroken()...)
	v.notes = append(v.notes, r.counts())
	return r, v
}
