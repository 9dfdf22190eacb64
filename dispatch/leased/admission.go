package leased

import (
	"time"

	"lovagespread.example/dispatch/admission"
)

// taskCoresGain is the weight of the newest step in the average demand of a task.
const taskCoresGain = 0.02

// admissionControl decides which jobs are rejected while capacity is short.
type admissionControl struct {
	controller *admission.Controller
	runTimes   *admission.RunTimes
	disabled   bool
	// onlyInEvacuations limits its decisions to the time of an evacuation. It
	// observes the demand all the time.
	onlyInEvacuations bool
	taskCores         float64 // moving average of the cores of a task; each step counts once
	active            bool    // the order of the queue is that of a shortage
}

func newAdmissionControl() admissionControl {
	return admissionControl{controller: admission.New(), runTimes: admission.NewRunTimes()}
}

// AdmissionStatus is the state of admission control.
type AdmissionStatus struct {
	Short     bool
	Demand    float64 // observed demand ÷ capacity
	Threshold float64 // price below which jobs are rejected; 0 without a shortage
}

func (c *Core) admissionStatus() AdmissionStatus {
	a := c.admission.controller
	status := AdmissionStatus{Short: c.short(), Demand: a.Shortage()}
	if status.Short {
		status.Threshold = a.Threshold()
	}
	return status
}

// short reports whether capacity is short and admission control may reject jobs.
func (c *Core) short() bool {
	return c.admission.controller.Short() && !(c.admission.onlyInEvacuations && c.evacuations.Idle())
}

// SharedInterval is the interval at which holders announce their SharedLoad. It is
// longer than that of the heartbeats: a SharedLoad takes up to 14 bytes, which would
// be more than 5% of the size of each datagram.
const SharedInterval = 240 * time.Millisecond

// SharedLoad returns what this holder announces about its demand, backlog and
// capacity, or false if it announces nothing. The caller must announce the result to
// the other holders.
func (c *Core) SharedLoad() (admission.SharedLoad, bool) {
	if c.admission.disabled {
		return admission.SharedLoad{}, false
	}
	own := c.admission.controller.Announce(c.now)
	return own, own.Capacity > 0
}

// receiveSharedLoads records what other holders have announced about their demand.
func (c *Core) receiveSharedLoads(list []FreeCapacity) {
	if c.admission.disabled {
		return
	}
	for i := range list {
		if f := &list[i]; f.Shared != nil {
			c.admission.controller.Receive(c.now.Add(-f.Age), f.Holder, f.Shared)
		}
	}
}

// admit observes a submitted job and returns why it is rejected, or nil.
func (c *Core) admit(j *job) *admission.Rejection {
	if c.admission.disabled {
		return nil
	}
	offered := c.admissionJob(j)
	c.admission.observeCores(j)
	if !c.leftByOutage(j) {
		c.admission.controller.Arrive(c.now, &offered)
	}
	if !c.short() {
		return nil
	}
	return c.admission.controller.Offer(c.admissionState(), &offered)
}

func (a *admissionControl) observeCores(j *job) {
	for s := range j.Steps {
		cores := float64(j.Steps[s].Demand.MilliCores) / 1000
		if a.taskCores == 0 {
			a.taskCores = cores
		}
		a.taskCores += (cores - a.taskCores) * taskCoresGain
	}
}

// updateAdmission updates the threshold, and in a shortage rejects the waiting
// jobs that exceed the capacity. It returns whether capacity is short.
func (c *Core) updateAdmission() bool {
	if c.admission.disabled || c.fixedOrder {
		return false
	}
	state := c.admissionState()
	c.admission.controller.Update(state)
	short := c.short()
	if short && !c.admission.active && c.waiting.newestFirst {
		c.waiting.setFreshOrder(false, byLatestStart)
	}
	c.admission.active = short
	if short {
		c.rejectExcess(state)
	}
	return short
}

// rejectExcess rejects the waiting jobs that, or in place of which better ones,
// can no longer be answered in time.
func (c *Core) rejectExcess(state admission.State) {
	var jobs []admission.Job
	var late []*job
	c.waiting.walk(func(j *job) bool {
		switch {
		case j.class == lateClass && !j.begun && !j.Stored:
			late = append(late, j)
		case j.class != lateClass:
			jobs = append(jobs, c.admissionJob(j))
		}
		return true
	})
	for _, r := range c.admission.controller.Plan(state, jobs) {
		c.finish(c.jobs[JobID(r.Job)], Rejected, r.Error(), r.RetryAfter)
	}
	for _, j := range late {
		c.rejectWorthless(j, state)
	}
}

// rejectWorthless rejects a late job if its answer would come when it has no value
// any more, behind all work that waits.
func (c *Core) rejectWorthless(j *job, state admission.State) {
	wait := time.Duration(state.Backlog / max(1, state.Capacity) * float64(time.Second))
	end := c.now.Add(wait + c.expectedRunTime(j))
	if end.After(j.valueUntil()) {
		offered := c.admissionJob(j)
		r := c.admission.controller.Reject(&offered)
		c.finish(j, Rejected, r.Error(), r.RetryAfter)
	}
}

// admissionState returns the capacity that serves the queue, and its backlog. Idle
// cores that other holders have announced take tasks, too.
func (c *Core) admissionState() admission.State {
	state := admission.State{Now: c.now}
	for _, e := range c.endpointList {
		if !c.countsForAdmission(e) {
			continue
		}
		state.Capacity += c.admission.usableCores(e.Capacity.MilliCores) / e.slowness()
		if e.usable(c.now) {
			state.Free += c.admission.usableCores(e.free().MilliCores)
		}
	}
	state.OwnCapacity = state.Capacity
	for i := range c.announced {
		a := &c.announced[i]
		hasLoad := c.admission.controller.HasLoad(c.now, a.Holder)
		for _, free := range a.Free {
			cores := c.admission.usableCores(free)
			state.Free += cores
			state.Capacity += cores
			if !hasLoad {
				state.OwnCapacity += cores
			}
		}
	}
	c.waiting.walk(func(j *job) bool {
		if (!j.Stored || j.class != lateClass) && !c.leftByOutage(j) {
			work := c.waitingWork(j)
			state.Backlog += work
			state.BacklogByBand[admission.Band(j.Priority)] += work
		}
		return true
	})
	return state
}

// usableCores returns how many cores tasks of the average demand can use: an
// endpoint of 64 cores runs two tasks of 27 cores, and 10 cores stay idle.
func (a *admissionControl) usableCores(milliCores int) float64 {
	cores := float64(milliCores) / 1000
	if a.taskCores <= 0 || cores < a.taskCores {
		return cores
	}
	return float64(int(cores/a.taskCores+usableRounding)) * a.taskCores
}

// usableRounding tolerates the rounding of an average of equal demands.
const usableRounding = 1e-6

// waitingWork returns the expected core-seconds of a job's tasks that have not
// started.
func (c *Core) waitingWork(j *job) float64 {
	var work float64
	for s := range j.tasks {
		work += float64(waitingTasks(j, s)) * c.taskWork(j, s)
	}
	return work
}

// taskWork returns the expected core-seconds of a task of a step.
func (c *Core) taskWork(j *job, step int) float64 {
	return float64(j.Steps[step].Demand.MilliCores) / 1000 * c.admission.runTimes.Expected(j.Queue, j.Steps[step].Estimate).Seconds()
}

func waitingTasks(j *job, step int) int {
	n := 0
	for i := range j.tasks[step] {
		if j.tasks[step][i].state == waitingTask {
			n++
		}
	}
	return n
}

// admissionJob describes a job to the admission control.
func (c *Core) admissionJob(j *job) admission.Job {
	a := admission.Job{
		ID: string(j.ID), Queue: j.Queue, Priority: j.Priority, Span: c.expectedRunTime(j), Arrived: j.arrived, LatestStart: j.latestStart,
		Protected: j.begun || j.Resubmitted || j.Stored || j.delegated,
	}
	a.Correction = c.admission.runTimes.Correction(j.Queue)
	for s := range j.Steps {
		work, waiting := c.taskWork(j, s), waitingTasks(j, s)
		a.Work += float64(j.Steps[s].Tasks) * work
		a.Remaining += float64(j.remaining[s]) * work
		a.Waiting += float64(waiting) * work
		a.Cores += float64(waiting*j.Steps[s].Demand.MilliCores) / 1000
		a.Tasks += waiting
	}
	return a
}
