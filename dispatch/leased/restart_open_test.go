package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// deadlineJob is a job with a task of 27,000 millicores whose caller waits for 1.5 s.
func deadlineJob(id leased.JobID) leased.Job {
	job := singleTaskJob(id)
	job.CallerTimeout = 1500 * time.Millisecond
	return job
}

// Guards against a delegate that runs a task beyond the deadline of its job: the
// connection between the two holders is silent, although heartbeats arrive, so that the
// delegate gets the cancellation only when its ping has failed, after 3.5 s. The caller
// submits the job to another entry 1.3 s after its deadline.
func TestDelegatedRunEndsWithItsCallersDeadline(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.shareFreeCapacity()
	sim.runUntil(200 * time.Millisecond)
	other := singleTaskJob("other")
	other.Steps[0].Demand.MilliCores = 60_000
	sim.submitJob(0, other, longRun)
	submittedAt := sim.now
	job := deadlineJob("j")
	sim.submitJob(0, job, longRun)
	if len(sim.delegations) != 1 {
		t.Fatal("the task was not delegated")
	}
	sim.addEndpoints(2, 1)
	sim.cancelDelay = 3500*time.Millisecond - job.CallerTimeout
	sim.runUntil(submittedAt + job.CallerTimeout + 1300*time.Millisecond)
	if a := sim.answers["j"]; a.Verdict != leased.Abandoned {
		t.Fatalf("answer %+v, want abandoned at its deadline", a)
	}
	sim.submitJob(2, job, longRun)
	sim.runUntil(submittedAt + 4*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a request that a partition has held up for seconds, from an entry that
// has not been heard since: its caller has submitted the job to another entry.
func TestHeldUpRequestOfUnheardEntryStartsNothing(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.runUntil(200 * time.Millisecond)
	sentAt := sim.now
	sim.step(0, &leased.CallerContact{Caller: 7, HeardAt: simStart.Add(sentAt)})
	job := deadlineJob("j")
	sim.runUntil(sentAt + job.CallerTimeout + 1300*time.Millisecond)
	sim.submitJob(1, job, 900*time.Millisecond)
	sim.runUntil(sentAt + 3*time.Second) // the partition ends
	sim.caller = 7
	ticket := sim.submitJob(0, job, 900*time.Millisecond)
	// The cancellation follows on the same connection, before the next heartbeat.
	sim.after(time.Millisecond, func() { sim.step(0, &leased.Cancel{Ticket: ticket}) })
	sim.runUntil(sentAt + 5*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a copy of a Start that got no reply and is executed seconds later, by
// the next incarnation of the endpoint under the same ID. It has seen no token, and its
// clock has started anew, so that the end of the lease is far ahead.
func TestLateCopyOfStartAtNextIncarnation(t *testing.T) {
	for name, stopsLost := range map[string]bool{"confirmed by another copy": false, "never confirmed, Stop lost": true} {
		t.Run(name, func(t *testing.T) { lateCopyAtNextIncarnation(t, stopsLost) })
	}
}

func lateCopyAtNextIncarnation(t *testing.T, unconfirmed bool) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(200 * time.Millisecond)
	var first *leased.Start
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		if first == nil && len(out.Starts) > 0 {
			start := out.Starts[0]
			first = &start
		}
	}
	if unconfirmed {
		sim.unreachable["e00"], sim.unreachable["e01"] = true, true
	}
	sim.lossRate = 1 // the first copy
	job := singleTaskJob("j")
	job.Steps[0].Estimate, job.CallerTimeout = longRun, 4*longRun
	sim.submitJob(0, job, longRun)
	sim.lossRate = 0
	other := leased.EndpointID("e01")
	if first.Endpoint == other {
		other = "e00"
	}
	sim.unreachable[other] = false
	sim.runUntil(400 * time.Millisecond)
	sim.stopsLost = unconfirmed
	sim.unreachable[first.Endpoint] = false
	sim.downTime = 2 * time.Second
	sim.crashEndpoint(first.Endpoint)
	sim.runUntil(4 * time.Second)
	if run, active := sim.endpoints[other].RunOf(first.Task); !active || run <= first.Run {
		t.Fatalf("run %d, active %t on the other endpoint, want a later run", run, active)
	}
	late := *first
	late.Until = sim.now + maxLease // on the clock of the next incarnation
	e := sim.endpoints[first.Endpoint]
	r := e.Start(sim.now, &late)
	sim.advanceEndpoint(first.Endpoint)
	sim.wantNoDoubleRuns()
	if r.Result == leased.StartAccepted {
		t.Errorf("the late copy of run %d was executed", first.Run)
	}
}

// Guards against a lease that lasts longer than one lease and the margin from the
// request on: the clock of an endpoint without runs is read only when one is started, and
// a clock that is 2% slow is 1.2 s behind the estimate after a minute.
func TestLeaseDoesNotGrowWithTheAgeOfTheClockReading(t *testing.T) {
	const idle = time.Minute
	w := newRestartWorld(&restartLayout{cells: [][]int{{0, 0}}, tasks: 1, slowClocks: true}, script{})
	w.log = func(format string, args ...any) { t.Logf(format, args...) }
	w.calls = append(w.calls, &restartCall{world: w, job: restartJob("j", 1, 27_000, restartRunTime)})
	w.addEndpoint(0)
	w.addEndpoint(0)
	holder := &restartHolder{cells: []bool{true}}
	holder.core = w.newCore(0)
	w.holders = append(w.holders, holder)
	w.every(leased.TickInterval, func() { w.step(0, &leased.Tick{}) })
	w.every(restartHeartbeat, w.sendHeartbeats)
	w.assign(0)
	w.at(idle, func() {
		w.endpoints[0].cutUntil[0] = idle + 3*time.Second // requests are executed late
		w.calls[0].submit(0)
	})
	w.runUntil(idle + 6*time.Second)
	if w.violation != "" {
		t.Errorf("%v after the Start: %s", w.now-idle, w.violation)
	}
}

// Guards against a job that is returned by a holder that waits for an earlier run of it:
// the next holder takes the job for a new one. Here the delegate has not received the
// cancellation of the earlier run, the caller has submitted the job again after 1.3 s,
// and its holder then gives up its cell.
func TestReturnedJobKeepsTheDoubtAboutItsRuns(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.shareFreeCapacity()
	sim.runUntil(200 * time.Millisecond)
	other := singleTaskJob("other")
	other.Steps[0].Demand.MilliCores = 60_000
	sim.submitJob(0, other, longRun)
	job := singleTaskJob("j")
	job.Movable = true
	ticket := sim.submitJob(0, job, longRun)
	if len(sim.delegations) != 1 {
		t.Fatal("the task was not delegated")
	}
	sim.addEndpoints(2, 1)
	sim.runUntil(300 * time.Millisecond)
	cancelledAt := sim.now
	sim.cancelDelay = 2 * time.Second
	sim.step(0, &leased.Cancel{Ticket: ticket})
	sim.runUntil(cancelledAt + 1300*time.Millisecond)
	returned := 0
	sim.moved = func(core int, a leased.Answer) {
		returned++
		again := sim.submissions[a.Ticket].job
		again.Movable, again.Resubmitted = false, a.EarlierRuns // as the caller's entry does
		sim.after(2*networkDelay, func() { sim.submitJob(2, again, longRun) })
	}
	sim.submitJob(0, job, longRun)
	sim.runUntil(cancelledAt + 1400*time.Millisecond)
	sim.holderOf["e00"] = 2
	sim.announce()
	sim.runUntil(cancelledAt + 3*time.Second)
	if returned != 1 {
		t.Fatalf("the job was returned %d times, want once", returned)
	}
	sim.wantNoDoubleRuns()
}
