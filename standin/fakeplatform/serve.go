package fakeplatform

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"lovagespread.example/logservice/platformapi"
)

const (
	maxBodyBytes = 1 << 30
	maxReadWait  = time.Minute
)

func (p *Platform) authorize(next http.Handler) http.Handler {
	want := []byte("Bearer " + p.opts.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if p.opts.Token != "" && subtle.ConstantTimeCompare(got, want) == 0 {
			writeError(w, http.StatusUnauthorized, "wrong token")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request platformapi.AppendRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if problem := checkBatch(request.Records); problem != "" {
		writeError(w, http.StatusBadRequest, problem)
		return
	}
	if !p.admitAppend() {
		writeError(w, http.StatusTooManyRequests, "too many appends per second")
		return
	}
	// The append continues if the caller disconnects, as a synced write does.
	time.Sleep(p.opts.AppendDelay)
	first, lost := p.append(r.PathValue("stream"), request.Records)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, platformapi.AppendResponse{FirstOffset: first})
}

func checkBatch(records [][]byte) string {
	if len(records) == 0 || len(records) > platformapi.MaxBatchRecords {
		return fmt.Sprintf("a batch has 1 to %d records", platformapi.MaxBatchRecords)
	}
	for _, record := range records {
		if len(record) > platformapi.MaxRecordBytes {
			return fmt.Sprintf("a record has at most %d bytes", platformapi.MaxRecordBytes)
		}
	}
	return ""
}

func (p *Platform) admitAppend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate.allow(time.Now())
}

func (p *Platform) append(stream string, records [][]byte) (first int64, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
	return p.stream(stream).append(time.Now(), records), p.consumeLostReply()
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	request, err := parseRead(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	deadline := time.Now().Add(request.wait)
	for {
		response, changed := p.read(request)
		left := time.Until(deadline)
		if len(response.Records) > 0 || left <= 0 {
			writeJSON(w, http.StatusOK, response)
			return
		}
		if !waitForChange(r, changed, left) {
			return
		}
	}
}

// waitForChange waits until changed is closed or the time has passed. It returns
// false if the caller disconnects.
func waitForChange(r *http.Request, changed <-chan struct{}, left time.Duration) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	return true
}

type readRequest struct {
	stream string
	from   int64
	limit  int
	wait   time.Duration
}

func parseRead(r *http.Request) (readRequest, error) {
	query := r.URL.Query()
	request := readRequest{stream: r.PathValue("stream"), limit: platformapi.MaxReadRecords}
	var err error
	if text := query.Get("from"); text != "" {
		if request.from, err = strconv.ParseInt(text, 10, 64); err != nil {
			return request, err
		}
	}
	if text := query.Get("limit"); text != "" {
		if request.limit, err = strconv.Atoi(text); err != nil {
			return request, err
		}
	}
	if text := query.Get("wait"); text != "" {
		if request.wait, err = time.ParseDuration(text); err != nil {
			return request, err
		}
	}
	if request.from < 0 || request.limit < 1 || request.wait < 0 {
		return request, fmt.Errorf("from and wait must not be negative, and limit must be positive")
	}
	request.limit = min(request.limit, platformapi.MaxReadRecords)
	request.wait = min(request.wait, maxReadWait)
	return request, nil
}

func (p *Platform) read(request readRequest) (platformapi.ReadResponse, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(request.stream)
	s.expire(time.Now(), p.opts)
	return platformapi.ReadResponse{
		Records: s.read(request.from, request.limit),
		Oldest:  s.oldest,
		Next:    s.next(),
	}, s.changed
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	list := p.vmList()
	if domain := r.URL.Query().Get("endpoints_in"); domain != "" {
		list.VMs = lo.Filter(list.VMs, func(vm platformapi.VM, _ int) bool {
			return vm.Role == platformapi.RoleEntry || vm.FailureDomain == domain
		})
	}
	tag := entityTag(list.VMs)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// entityTag returns the ETag of a list, which depends on its VMs but not on its
// time.
func entityTag(vms []platformapi.VM) string {
	data, err := json.Marshal(vms)
	if err != nil {
		return ""
	}
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
}

func (p *Platform) vmList() platformapi.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-p.opts.ListLag)
	if p.faults.List == ListStale {
		asOf = p.faults.frozenAt.Add(-p.opts.ListLag)
	}
	list := platformapi.VMList{AsOf: asOf, VMs: p.vms.at(asOf)}
	switch p.faults.List {
	case ListEmpty:
		list.VMs = nil
	case ListShrunken:
		list.VMs = list.VMs[:min(p.faults.KeepVMs, len(list.VMs))]
	}
	return list
}

func (p *Platform) serveUsage(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	usages := p.usage.at(time.Now().Add(-p.opts.ListLag))
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, platformapi.UsageReport{Usages: usages})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

func writeError(w http.ResponseWriter, status int, detail string) {
	writeJSON(w, status, platformapi.ErrorBody{Error: detail})
}
