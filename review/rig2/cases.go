package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagespread.example/membership/cells"
)

// Bounds of the small deployment, as in the settings files of the entries.
const (
	grace        = 6 * time.Second
	contact      = 3 * time.Second
	visible      = 3 * time.Second
	finishTime   = 14 * time.Second
	lossSlack    = 200 * time.Millisecond
	restartDelay = time.Second // until a killed process is started again
)

func init() {
	cases["stop"] = playStop
	cases["snapshot"] = playSnapshot
	cases["completed"] = playCompleted
	cases["pending"] = playPending
	cases["reborn"] = playReborn
	cases["cut"] = playCut
}

func setup(format string, args ...any) error {
	return errors.Join(errSetup, fmt.Errorf(format, args...))
}

// until waits for a condition. It returns false if it does not hold in time.
func until(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// task returns the name of a task.
func task(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// playStop: an entry gets SIGTERM while a caller waits there for a job that waits for
// capacity.
func playStop(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a"}, timeoutMS: 20_000, maxAttempts: 3}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	// An entry that holds no executor, so that its stop changes nothing else.
	var stopped *entry
	var others []*entry
	for _, e := range r.entries {
		if stopped == nil && !strings.Contains(e.log(), "endpoint_held") {
			stopped = e
			continue
		}
		others = append(others, e)
	}
	if stopped == nil {
		return verdict{}, setup("each entry holds executors")
	}
	// All room is in use for 9 s: 6 executors with room for two tasks each.
	var fillers sync.WaitGroup
	for n := range 12 {
		fillers.Add(1)
		go func() {
			defer fillers.Done()
			r.submit(others[n%len(others)], jobID(), jobBody{Spec: "filler", BestEffort: true, Steps: []step{{Count: 1, CPU: 14_000, MemMB: 64, EstimateMS: 9_000}}}, 15*time.Second)
		}()
	}
	time.Sleep(time.Second)
	id := jobID()
	const patience = 12 * time.Second
	sent := time.Now()
	answers := make(chan reply, 1)
	go func() {
		answers <- r.submit(stopped, id, jobBody{Spec: "waits", BestEffort: true, Steps: []step{{Count: 1, CPU: 14_000, MemMB: 64, EstimateMS: 500}}}, patience)
	}()
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	got := <-answers
	ended := time.Now()
	fillers.Wait()
	starts, ends := r.rec.startsOf(task(id, 0, 0)), r.rec.endsOf(task(id, 0, 0))
	text := fmt.Sprintf("%v, %.2f s after it was sent, %.2f s after SIGTERM; the executors began its task %d times, ends %+v", got, ended.Sub(sent).Seconds(), ended.Sub(stoppedAt).Seconds(), len(starts), ends)
	lost := got.status == 0 && ended.Sub(sent) < patience-lossSlack && ended.Sub(sent) > lossSlack && ended.Sub(stoppedAt) <= grace+time.Second && len(starts) == 0
	if !trouble && got.status == 0 {
		return verdict{}, setup("without the stop: %s", text)
	}
	return verdict{trouble && lost, text}, nil
}

// shards is the number of partitions that the entries use at 800 writes a second.
const shards = 8

// shardOf returns the shard of a job, as the entries' logs name it.
func shardOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % shards)
}

// idIn returns a job ID that belongs to a shard.
func idIn(shard int) string {
	for {
		if id := jobID(); shardOf(id) == shard {
			return id
		}
	}
}

// ownerOf returns the entry that was the last to take a shard, by the logs.
func (r *rig) ownerOf(shard int) *entry {
	var owner *entry
	var newest string
	for _, e := range r.entries {
		for _, line := range strings.Split(e.log(), "\n") {
			m := shardTaken.FindStringSubmatch(line)
			if m == nil || m[1] != fmt.Sprint(shard) {
				continue
			}
			if at := stamp(line); at >= newest {
				newest, owner = at, e
			}
		}
	}
	return owner
}

// playSnapshot: the owner of a large stored job is killed and started again.
func playSnapshot(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a", "a", "a"}, timeoutMS: 1500, maxAttempts: 3}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	const wide = 9_990
	large := jobID()
	shard := shardOf(large)
	if got := r.submit(r.entries[0], large, jobBody{Spec: "large", Steps: []step{
		{Count: wide, CPU: 50, MemMB: 16, EstimateMS: 1_000, Checkpointing: true},
		{Count: 1, CPU: 1_000, MemMB: 16, EstimateMS: 300_000, After: []int{0}},
	}}, 4*time.Second); got.status != 200 {
		return verdict{}, setup("the large job: %v", got)
	}
	if !until(40*time.Second, func() bool { return len(r.rec.startsOf(task(large, 1, 0))) > 0 }) {
		return verdict{}, setup("the first step of the large job has not ended in 40 s")
	}
	time.Sleep(2 * time.Second)
	killed := time.Now()
	if trouble {
		owner := r.ownerOf(shard)
		if owner == nil {
			return verdict{}, setup("no entry says that it owns shard %d", shard)
		}
		owner.kill()
		time.Sleep(restartDelay)
		if err := owner.start(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(killed.Add(23 * time.Second)))
	// A small job, whose task fails once, 12 s later.
	small := idIn(shard)
	if got := r.submit(r.entries[1], small, jobBody{Spec: "small", Steps: []step{{Count: 1, CPU: 1_000, MemMB: 16, EstimateMS: 12_000, failFirst: 1}}}, 1500*time.Millisecond); got.status != 200 {
		return verdict{}, setup("the small job: %v", got)
	}
	trafficEnded := time.Now()
	var idleSince time.Time
	longest := time.Duration(0)
	last := reply{}
	done := false
	for time.Since(trafficEnded) < 45*time.Second {
		time.Sleep(500 * time.Millisecond)
		last = r.state(r.entries[2], small)
		if last.state == "completed" || last.state == "failed" {
			done = true
			break
		}
		if time.Since(trafficEnded) < finishTime || r.isRunning(small) || !r.hasRoom() {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	cancelled := reply{}
	if !done {
		cancelled = r.cancel(r.entries[3], small)
	}
	text := fmt.Sprintf("the small job, accepted with 200 and seen last as %v, had nothing running for %.1f s, with room free; starts %d, ends %+v; its cancel: %v",
		last, longest.Seconds(), len(r.rec.startsOf(task(small, 0, 0))), r.rec.endsOf(task(small, 0, 0)), cancelled)
	return verdict{longest >= 3*time.Second, text}, nil
}

// isRunning reports whether a task of a job runs on any executor.
func (r *rig) isRunning(job string) bool {
	for _, x := range r.executors {
		if tasks, _ := x.running(job); len(tasks) > 0 {
			return true
		}
	}
	return false
}

// hasRoom reports whether less than half of the room is in use, which is room enough for a
// small job twice over.
func (r *rig) hasRoom() bool {
	used, all := 0, 0
	for _, x := range r.executors {
		_, u := x.running("-")
		used += u.cpu
		all += x.capacity.cpu
	}
	return 2*used < all
}

// playCompleted: a task ends while the store is down. Its executor is lost and the entries
// are killed before the store is back.
func playCompleted(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a", "a"}, timeoutMS: 1500, maxAttempts: 3}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + 2*time.Second)
	id := jobID()
	name := task(id, 0, 0)
	if got := r.submit(r.entries[0], id, jobBody{Spec: "books a truck", Steps: []step{{Count: 1, CPU: 14_000, MemMB: 64, EstimateMS: 600}}}, 1500*time.Millisecond); got.status != 200 {
		return verdict{}, setup("the job: %v", got)
	}
	if !until(3*time.Second, func() bool { return len(r.rec.startsOf(name)) > 0 }) {
		return verdict{}, setup("the task has not started")
	}
	time.Sleep(100 * time.Millisecond) // the start is reported
	downAt := time.Now()
	if trouble {
		r.store.setDown(true)
	}
	if !until(3*time.Second, func() bool { return len(r.rec.endsOf(name)) > 0 }) {
		return verdict{}, setup("the task has not ended")
	}
	var shown time.Duration
	for n := 0; n < 12 && shown == 0; n++ {
		if got := r.state(r.entries[n%len(r.entries)], id); got.status == 200 && got.state == "completed" {
			shown = r.rec.now()
		}
	}
	if trouble {
		for _, x := range r.executors {
			if x.id == r.rec.startsOf(name)[0].executor {
				x.lose()
			}
		}
		for _, e := range r.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range r.entries {
			<-e.done
		}
		time.Sleep(restartDelay)
		for _, e := range r.entries {
			if err := e.start(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(time.Until(downAt.Add(4500 * time.Millisecond)))
		r.store.setDown(false)
	}
	calmFrom := r.rec.now() + contact
	until(20*time.Second, func() bool { return len(r.rec.startsOf(name)) > 1 })
	for _, e := range r.entries[:3] {
		r.state(e, id)
	}
	if shown == 0 {
		return verdict{false, "the job was not shown as completed"}, nil
	}
	broken := false
	text := fmt.Sprintf("shown as completed at %.3f s; machines are in touch again from %.3f s on; starts:", shown.Seconds(), calmFrom.Seconds())
	for _, s := range r.rec.startsOf(name) {
		text += fmt.Sprintf(" %.3f s on %s", s.at.Seconds(), s.executor)
		if s.at > shown+time.Second && s.at > calmFrom {
			broken = true
		}
	}
	return verdict{broken, text}, nil
}

// playPending: many users submit jobs at once that require a label, more than the executors
// with that label can run.
func playPending(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a", "b", "b"}, timeoutMS: 1500, maxAttempts: 3}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	// 6 executors with the label have room for 12 tasks. The usual traffic is 3 jobs a
	// second for 4 s; with the burst it is 1.75 times as much.
	count := 12
	if trouble {
		count = 21
	}
	type accepted struct {
		id string
		at time.Duration
	}
	var jobs []accepted
	for n := range count {
		id := jobID()
		got := r.submit(r.entries[n%len(r.entries)], id, jobBody{Spec: "labelled", Steps: []step{{Count: 1, CPU: 14_000, MemMB: 64, EstimateMS: 25_000, Requirements: "b"}}}, 1500*time.Millisecond)
		if got.status == 200 {
			jobs = append(jobs, accepted{id, r.rec.now()})
		}
		time.Sleep(4*time.Second/time.Duration(count) - 10*time.Millisecond)
	}
	time.Sleep(visible + 2*time.Second + 500*time.Millisecond)
	wrong, asked := 0, 0
	text := ""
	for range 3 {
		for _, e := range r.entries {
			sent := r.rec.now()
			got := r.pending(e)
			waiting := 0
			for _, j := range jobs {
				if sent-j.at > visible+2*time.Second && len(r.rec.startsOf(task(j.id, 0, 0))) == 0 {
					waiting++
				}
			}
			if got.status != 200 {
				continue
			}
			asked++
			if 2*got.pending < waiting {
				wrong++
			}
			text = fmt.Sprintf("the last one: pending %d while %d jobs wait that no executor has begun", got.pending, waiting)
		}
		time.Sleep(time.Second)
	}
	for _, j := range jobs {
		if len(r.rec.startsOf(task(j.id, 0, 0))) == 0 {
			got := r.state(r.entries[0], j.id)
			text += fmt.Sprintf("; a job without a start is shown as %q", got.state)
			break
		}
	}
	if asked == 0 {
		return verdict{}, setup("no entry has answered")
	}
	return verdict{wrong > 0, fmt.Sprintf("%d of %d answers give under half of the pending jobs; %s", wrong, asked, text)}, nil
}

// setLate makes all executors leave a share of the orders unanswered and carry them out late.
func (r *rig) setLate(share float64) {
	r.rec.printf("executors leave %.3f of the orders unanswered and carry them out 2 to 12 s later", share)
	for _, x := range r.executors {
		x.mu.Lock()
		x.lateShare = share
		x.mu.Unlock()
	}
}

// playReborn: executors carry some orders out late, and one of them crashes meanwhile and is
// back under its id.
func playReborn(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a", "a", "a"}, timeoutMS: 1500, maxAttempts: 3}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	if trouble {
		r.setLate(0.055)
	}
	began := time.Now()
	const jobs, wide = 32, 32
	var ids []string
	for n := range jobs {
		id := jobID()
		if got := r.submit(r.entries[n%len(r.entries)], id, jobBody{Spec: "long", Steps: []step{{Count: wide, CPU: 250, MemMB: 64, EstimateMS: 7_000}}}, 1500*time.Millisecond); got.status == 200 {
			ids = append(ids, id)
		}
	}
	time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
	if trouble {
		// The executor with the most unanswered starts.
		worst, most := r.executors[0], -1
		for _, x := range r.executors {
			x.mu.Lock()
			if n := x.unanswered[names["start"]]; n > most {
				worst, most = x, n
			}
			x.mu.Unlock()
		}
		worst.crash(4500 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(5500 * time.Millisecond)))
	if trouble {
		r.setLate(0)
	}
	time.Sleep(time.Until(began.Add(16 * time.Second)))
	twice := ""
	count := 0
	for _, id := range ids {
		for n := range wide {
			if overlap := r.overlap(task(id, 0, n)); overlap != "" {
				count++
				twice = overlap
			}
		}
	}
	if len(ids) == 0 {
		return verdict{}, setup("no job was accepted")
	}
	return verdict{count > 0, fmt.Sprintf("%d of %d tasks had two runs at the same time; the last one: %s", count, len(ids)*wide, twice)}, nil
}

// overlap describes two runs of a task at the same time, on executors that are up.
func (r *rig) overlap(name string) string {
	type interval struct {
		startEvent
		to time.Duration
	}
	var runs []interval
	for _, s := range r.rec.startsOf(name) {
		to := r.rec.now()
		for _, e := range r.rec.endsOf(name) {
			if e.executor == s.executor && e.run == s.run && e.at >= s.at {
				to = min(to, e.at)
			}
		}
		for _, before := range runs {
			if before.at < to && s.at < before.to {
				return fmt.Sprintf("%s: run %d on %s from %.3f to %.3f s and run %d on %s from %.3f to %.3f s", name,
					before.run, before.executor, before.at.Seconds(), before.to.Seconds(), s.run, s.executor, s.at.Seconds(), to.Seconds())
			}
		}
		runs = append(runs, interval{s, to})
	}
	return ""
}

// playCut: a zone is cut off while tasks of stored jobs, whose owners and holders are in other
// zones, run on its executors.
func playCut(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 2, labels: []string{"a", "a"}, timeoutMS: 20_000, maxAttempts: 3, proxied: true}); err != nil {
		return verdict{}, err
	}
	// Who holds the executors of the zone during the cut depends on the incarnations of the
	// entries. It must be an entry that has jobs from before.
	zone := ""
	for try := 0; zone == ""; try++ {
		if try == 8 {
			return verdict{}, setup("no zone fits after %d starts", try)
		}
		if try > 0 {
			if err := r.restartAll(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(contact)
		zone = r.zoneToCut()
	}
	again, tasks, example, err := r.cutOnce(zone, trouble)
	if err != nil {
		return verdict{}, err
	}
	return verdict{again > 0, fmt.Sprintf("%s cut off: %d of %d tasks were started again after they had ended done; the last one: %s", zone, again, tasks, example)}, nil
}

// restartAll starts all entries again, before there is any traffic.
func (r *rig) restartAll() error {
	for _, e := range r.entries {
		e.kill()
		_ = os.Remove(e.logPath)
	}
	for n, e := range r.entries {
		if r.network != nil {
			r.network.Ended(n)
		}
		if err := e.start(); err != nil {
			return err
		}
		if r.network != nil {
			r.network.Started(n)
		}
	}
	return r.waitReady(15 * time.Second)
}

var seenPattern = regexp.MustCompile(`"event":"entry_seen","entry":"([^"]+)".*?"incarnation":(\d+)`)

// zoneToCut returns a zone whose executors will be held, while it is cut off, by an entry that
// holds those of its own zone already, where an owner keeps a shard; empty: there is none.
func (r *rig) zoneToCut() string {
	incarnations := make(map[string]uint64)
	for _, e := range r.entries {
		for _, m := range seenPattern.FindAllStringSubmatch(e.log(), -1) {
			n, _ := strconv.ParseUint(m[2], 10, 64)
			incarnations[m[1]] = max(incarnations[m[1]], n)
		}
	}
	for _, zone := range zones {
		var roster *cells.Roster
		began := time.Now()
		for _, e := range r.entries {
			member := cells.Entry{Name: e.name, Address: e.ip, FailureDomain: e.zone, Incarnation: cells.Incarnation(incarnations[e.name]), Weight: 0.4, Interval: time.Second}
			switch {
			case e.zone == zone:
			case roster == nil:
				roster = cells.New(member, began)
			default:
				roster.ReceiveHeartbeat(began.Add(4*time.Second), member)
			}
		}
		during := roster.View(began.Add(4 * time.Second))
		holder, ok := during.Holder(cells.All(zone, 1)[0])
		for _, e := range r.entries {
			if ok && e.name == holder.Name && strings.Contains(e.log(), `"endpoint_held"`) && r.keepsShard(e.zone, during) {
				return zone
			}
		}
	}
	return ""
}

// keepsShard reports whether an owner of a zone goes on owning a shard during a cut.
func (r *rig) keepsShard(zone string, during *cells.View) bool {
	for shard := range shards {
		before := r.ownerOf(shard)
		if after, ok := during.Owner(shard, shards); ok && before != nil && before.zone == zone && after.Name == before.name {
			return true
		}
	}
	return false
}

// cutOnce cuts a zone off once. It returns how many tasks were started again, of how many.
func (r *rig) cutOnce(cutOff string, trouble bool) (again, tasks int, example string, err error) {
	const (
		cutLength = 5500 * time.Millisecond
		runTime   = 1500 * time.Millisecond
		wanted    = 8
	)
	var background sync.WaitGroup
	defer background.Wait()
	run := func(e *entry, count, cpu, ms int) {
		background.Add(1)
		go func() {
			defer background.Done()
			r.submit(e, jobID(), jobBody{Spec: "background", BestEffort: true, Steps: []step{{Count: count, CPU: cpu, MemMB: 64, EstimateMS: ms, AntiAffinity: 1}}}, 20*time.Second)
		}()
	}
	// Callers of the zone keep its two executors at work, with room left. Those of the other
	// zones are full for a while.
	var others []*entry
	for _, zone := range zones {
		if zone == cutOff {
			run(r.entryIn(zone), 2, 4_000, 13_000)
		} else {
			run(r.entryIn(zone), 2, 28_000, 3_500)
			others = append(others, r.entryIn(zone))
		}
	}
	time.Sleep(800 * time.Millisecond)
	var ids []string
	for shard := 0; len(ids) < wanted; shard = (shard + 1) % shards {
		owner := r.ownerOf(shard)
		if owner == nil {
			return 0, 0, "", setup("no entry says that it owns shard %d", shard)
		}
		if owner.zone != cutOff {
			ids = append(ids, idIn(shard))
		}
	}
	for n, id := range ids {
		body := jobBody{Spec: "books a truck", Steps: []step{{Count: 1, CPU: 5_000, MemMB: 64, EstimateMS: int(runTime.Milliseconds())}}}
		if got := r.submit(others[n%len(others)], id, body, 1500*time.Millisecond); got.status != 200 {
			return 0, 0, "", setup("a job: %v", got)
		}
	}
	if !until(3*time.Second, func() bool { return len(r.rec.startsOf(task(ids[0], 0, 0))) > 0 }) {
		return 0, 0, "", setup("no task has started")
	}
	time.Sleep(runTime - 300*time.Millisecond)
	if trouble {
		r.cutZone(cutOff, true)
	}
	time.Sleep(cutLength)
	if trouble {
		r.cutZone(cutOff, false)
	}
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		r.state(others[0], id)
		name := task(id, 0, 0)
		twice := ""
		for _, s := range r.rec.startsOf(name) {
			for _, e := range r.rec.endsOf(name) {
				if e.how == "done" && e.at < s.at && e.noted > 0 && !e.lapsed {
					twice = fmt.Sprintf("%s ended done at %.3f s on %s (run %d, taken note of at %.3f s, no lease had lapsed) and was started again at %.3f s on %s (run %d)",
						name, e.at.Seconds(), e.executor, e.run, e.noted.Seconds(), s.at.Seconds(), s.executor, s.run)
				}
			}
		}
		if twice != "" {
			again, example = again+1, twice
		}
	}
	return again, len(ids), example, nil
}

// entryIn returns the first entry of a zone.
func (r *rig) entryIn(zone string) *entry {
	for _, e := range r.entries {
		if e.zone == zone {
			return e
		}
	}
	return nil
}

func init() { cases["racks"] = playRacks }

// playRacks: many users submit jobs at once whose tasks require a rack.
func playRacks(r *rig, trouble bool) (verdict, error) {
	if err := r.start(options{entriesPerZone: 3, labels: []string{"a", "a", "a", "a"}, timeoutMS: 1500, maxAttempts: 3}); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	// 4 executors a rack have room for 8 tasks. Each job has 4 tasks of 2 s, so all racks run 3
	// jobs a second. The usual traffic is 2.5 jobs a second; from 2 s to 6 s it is 1.8 times that.
	const rate, length = 2.5, 8 * time.Second
	var ids []string
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		gap := time.Duration(float64(time.Second) / rate)
		if now := time.Since(began); trouble && now >= 2*time.Second && now < 6*time.Second {
			gap = gap * 10 / 18
		}
		next := time.Now().Add(gap)
		id := jobID()
		body := jobBody{Spec: "in a rack", Steps: []step{{Count: 4, CPU: 14_000, MemMB: 64, EstimateMS: 2_000, Requirements: "rack-" + zones[n%3]}}}
		if got := r.submit(r.entries[n%len(r.entries)], id, body, 1500*time.Millisecond); got.status == 200 {
			ids = append(ids, id)
		}
		time.Sleep(time.Until(next))
	}
	trafficEnded := time.Now()
	idleSince := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	open := ids
	for len(open) > 0 && time.Since(trafficEnded) < 40*time.Second {
		time.Sleep(500 * time.Millisecond)
		var rest []string
		for n, id := range open {
			got := r.state(r.entries[n%len(r.entries)], id)
			if got.state == "completed" || got.state == "failed" {
				continue
			}
			rest = append(rest, id)
			if r.isRunning(id) || !r.hasRoom() {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			longest[id] = max(longest[id], time.Since(idleSince[id]))
		}
		open = rest
	}
	worst := time.Duration(0)
	stuck := 0
	for _, d := range longest {
		worst = max(worst, d)
		if d >= 3*time.Second {
			stuck++
		}
	}
	return verdict{stuck > 0, fmt.Sprintf("%d of %d accepted jobs had nothing running for 3 s and more while under half of the room was in use, the longest for %.1f s; %d are open 40 s after the last one was sent", stuck, len(ids), worst.Seconds(), len(open))}, nil
}
