package endpointcontract

import (
	"net/http"
	"net/url"
	"testing/synctest"
	"time"

	"lovagespread.example/logservice/endpointapi"
)

var cases = []struct {
	name string
	run  func(*harness)
}{
	{"a task runs and returns its own ID", taskRuns},
	{"an attempt sent twice runs twice", duplicateAttemptsRun},
	{"a full endpoint refuses without starting", refusesWhenFull},
	{"a freed slot is reused", slotIsFreed},
	{"a leaving endpoint refuses new tasks and finishes running ones", leavingRefuses},
	{"a task of another service is refused", refusesUnknownService},
	{"a task without a lease is refused", refusesExpiredLease},
	{"a task whose lease expires is stopped", leaseExpires},
	{"a heartbeat renews only the leases of its entry", heartbeatRenews},
	{"a stopped task fails and frees its slot", stopEndsTask},
	{"a throttled task takes longer but completes", throttleSlowsTask},
}

func taskRuns(h *harness) {
	req := h.request("a", 0, time.Second)
	r := h.runTask(req)
	if r.status != http.StatusOK || r.response.TaskID != req.TaskID {
		h.Fatalf("reply %+v, want status 200 and task %s", r, req.TaskID)
	}
	if r.response.RunMS != 1000 {
		h.Errorf("run_ms is %v, want 1000", r.response.RunMS)
	}
	if want := (endpointapi.Load{Slots: h.Slots}); r.response.Load != want {
		h.Errorf("load %+v, want %+v", r.response.Load, want)
	}
	h.wantStarts("a", 1)
}

func duplicateAttemptsRun(h *harness) {
	req := h.request("a", 0, time.Second)
	first, second := h.startTask(req), h.startTask(req)
	for _, r := range []reply{<-first, <-second} {
		if r.status != http.StatusOK {
			h.Errorf("status %d, want 200", r.status)
		}
	}
	h.wantStarts("a", 2)
}

func (h *harness) fill() []<-chan reply {
	var running []<-chan reply
	for range h.Slots {
		running = append(running, h.startTask(h.request("fill", 0, time.Second)))
	}
	return running
}

func (h *harness) wantRefused(job string, r reply, code endpointapi.RefusalCode) {
	h.Helper()
	if r.status != endpointapi.StatusRefused || !r.refusal.NotStarted || r.refusal.Code != code {
		h.Errorf("reply %+v, want a refusal with code %s and not_started", r, code)
	}
	if want := h.request(job, 0, 0).TaskID; r.refusal.TaskID != want {
		h.Errorf("the refusal names task %q, want %q", r.refusal.TaskID, want)
	}
	h.wantStarts(job, 0)
}

func refusesWhenFull(h *harness) {
	running := h.fill()
	r := h.runTask(h.request("late", 0, time.Second))
	h.wantRefused("late", r, endpointapi.RefusedFull)
	if r.refusal.Load.Running != h.Slots {
		h.Errorf("load %+v, want %d running", r.refusal.Load, h.Slots)
	}
	for _, done := range running {
		if r := <-done; r.status != http.StatusOK {
			h.Errorf("status %d of a running task, want 200", r.status)
		}
	}
}

func slotIsFreed(h *harness) {
	for _, done := range h.fill() {
		<-done
	}
	if r := h.runTask(h.request("next", 0, time.Second)); r.status != http.StatusOK {
		h.Errorf("status %d, want 200", r.status)
	}
}

func leavingRefuses(h *harness) {
	running := h.startTask(h.request("a", 0, time.Second))
	h.Leave()
	r := h.runTask(h.request("late", 0, time.Second))
	h.wantRefused("late", r, endpointapi.RefusedLeaving)
	if !r.refusal.Load.Leaving {
		h.Errorf("load %+v does not have Leaving set", r.refusal.Load)
	}
	if r := <-running; r.status != http.StatusOK {
		h.Errorf("status %d of a running task, want 200", r.status)
	}
}

func refusesUnknownService(h *harness) {
	req := h.request("a", 0, time.Second)
	req.Service = "another-" + h.Service
	h.wantRefused("a", h.runTask(req), endpointapi.RefusedUnknownService)
}

func refusesExpiredLease(h *harness) {
	req := h.request("a", 0, time.Second)
	req.LeaseMS = 0
	h.wantRefused("a", h.runTask(req), endpointapi.RefusedLeaseExpired)
}

func (h *harness) wantFailed(r reply, runMS float64) {
	h.Helper()
	if r.status != endpointapi.StatusFailed || r.failure.Detail == "" {
		h.Errorf("reply %+v, want a failure with its detail", r)
	}
	if r.failure.RunMS != runMS {
		h.Errorf("run_ms is %v, want %v", r.failure.RunMS, runMS)
	}
}

func leaseExpires(h *harness) {
	r := h.runTask(h.request("a", 0, time.Hour))
	h.wantFailed(r, float64(lease.Milliseconds()))
	if r.failure.Load.Running != 0 {
		h.Errorf("load %+v, want nothing running", r.failure.Load)
	}
}

func heartbeatRenews(h *harness) {
	const runTime = lease + lease/2
	ownTask := h.startTask(h.request("mine", 0, runTime))
	other := h.request("other", 0, runTime)
	other.Entry = "entry-2"
	otherTask := h.startTask(other)
	time.Sleep(lease / 2)
	status, body := h.post("/v1/heartbeat", endpointapi.HeartbeatRequest{Entry: entryName, LeaseMS: 2 * lease.Milliseconds()})
	var response endpointapi.HeartbeatResponse
	h.decode(body, &response)
	if status != http.StatusOK || response.Load.Running != 2 {
		h.Errorf("heartbeat: status %d, %+v, want 200 and two running", status, response)
	}
	if r := <-ownTask; r.status != http.StatusOK {
		h.Errorf("renewed task: status %d, want 200", r.status)
	}
	h.wantFailed(<-otherTask, float64(lease.Milliseconds()))
}

func stopEndsTask(h *harness) {
	req := h.request("a", 0, lease/2)
	running := h.startTask(req)
	time.Sleep(time.Second)
	if status, _ := h.post("/v1/tasks/"+url.PathEscape(req.TaskID)+"/stop", struct{}{}); status != http.StatusOK {
		h.Errorf("stop: status %d, want 200", status)
	}
	r := <-running
	h.wantFailed(r, 1000)
	if r.failure.Load.Running != 0 {
		h.Errorf("load %+v, want nothing running", r.failure.Load)
	}
}

func throttleSlowsTask(h *harness) {
	req := h.request("a", 0, 2*time.Second)
	running := h.startTask(req)
	if status, _ := h.post("/v1/tasks/"+url.PathEscape(req.TaskID)+"/throttle", struct{}{}); status != http.StatusOK {
		h.Errorf("throttle: status %d, want 200", status)
	}
	synctest.Wait()
	r := <-running
	if r.status != http.StatusOK || r.response.RunMS <= 2000 {
		h.Errorf("reply %+v, want status 200 after more than 2 s", r)
	}
}
