package fakeendpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lovagespread.example/logservice/endpointapi"
)

// maxTaskBytes bounds the body of a task request.
const maxTaskBytes = 8 << 20

// throttleRate is the rate to which a throttle request slows a task; 1 is full
// speed.
const throttleRate = 0.5

// Handler returns a handler that serves the endpoint protocol.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", e.serveTask)
	mux.HandleFunc("POST /v1/tasks/{id}/stop", e.serveStop)
	mux.HandleFunc("POST /v1/tasks/{id}/throttle", e.serveThrottle)
	mux.HandleFunc("POST /v1/heartbeat", e.serveHeartbeat)
	return mux
}

func (e *Endpoint) serveTask(w http.ResponseWriter, r *http.Request) {
	e.messages.tasks.Add(1)
	var req endpointapi.TaskRequest
	if !readBody(w, r, &req) {
		return
	}
	e.waitWhilePaused()
	if e.Faults().BreakAfterRead {
		breakConnection(w)
		return
	}
	payload := parsePayload(req.Payload)
	t, refusal := e.start(&req, payload)
	if refusal != nil {
		e.messages.refusals.Add(1)
		writeJSON(w, endpointapi.StatusRefused, refusal)
		return
	}
	end := t.run()
	load := e.finish(t, payload, &req)
	e.writeResponse(w, &req, end, load, time.Since(t.started))
}

func (e *Endpoint) writeResponse(w http.ResponseWriter, req *endpointapi.TaskRequest, end outcome, load endpointapi.Load, ran time.Duration) {
	runMS := float64(ran) / float64(time.Millisecond)
	switch {
	case end.aborted || e.Faults().LoseReply:
		breakConnection(w)
	case end.detail != "":
		e.messages.failures.Add(1)
		writeJSON(w, endpointapi.StatusFailed, endpointapi.Failure{
			TaskID: req.TaskID, Detail: end.detail, RunMS: runMS, Load: load,
		})
	default:
		writeJSON(w, http.StatusOK, endpointapi.TaskResponse{
			TaskID: req.TaskID, Result: e.result(req), RunMS: runMS, Load: load,
		})
	}
}

func (e *Endpoint) result(req *endpointapi.TaskRequest) json.RawMessage {
	raw, err := json.Marshal(Result{Payload: req.Payload, Endpoint: e.opts.Name})
	if err != nil {
		panic(err) // the payload was decoded from JSON
	}
	return raw
}

func (e *Endpoint) serveStop(w http.ResponseWriter, r *http.Request) {
	e.messages.stops.Add(1)
	e.waitWhilePaused()
	e.forEachAttempt(r.PathValue("id"), func(t *task) {
		t.end(outcome{detail: "stopped on request"})
	})
	writeJSON(w, http.StatusOK, endpointapi.HeartbeatResponse{Load: e.Load()})
}

func (e *Endpoint) serveThrottle(w http.ResponseWriter, r *http.Request) {
	e.messages.throttles.Add(1)
	e.waitWhilePaused()
	e.forEachAttempt(r.PathValue("id"), func(t *task) { t.limitRate(throttleRate) })
	writeJSON(w, http.StatusOK, endpointapi.HeartbeatResponse{Load: e.Load()})
}

func (e *Endpoint) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	e.messages.heartbeats.Add(1)
	var req endpointapi.HeartbeatRequest
	if !readBody(w, r, &req) {
		return
	}
	e.waitWhilePaused()
	leaseEnd := time.Now().Add(leaseDuration(req.LeaseMS))
	for _, t := range e.find(func(t *task) bool { return t.entry == req.Entry }) {
		t.renew(leaseEnd)
	}
	writeJSON(w, http.StatusOK, endpointapi.HeartbeatResponse{Load: e.Load()})
}

func (e *Endpoint) forEachAttempt(id string, f func(*task)) {
	for _, t := range e.find(func(t *task) bool { return t.id == id }) {
		f(t)
	}
}

func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTaskBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(w, "send the JSON body of the endpoint protocol: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// breakConnection closes the connection without a response.
func breakConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }
