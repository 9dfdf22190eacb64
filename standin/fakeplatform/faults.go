package fakeplatform

import (
	"encoding/json"
	"net/http"
	"time"
)

// ListFault is a fault of the VM list.
type ListFault string

// Faults of the VM list.
const (
	ListNormal   ListFault = ""
	ListStale    ListFault = "stale"    // the list does not change from the time of the switch on
	ListEmpty    ListFault = "empty"    // no VMs
	ListShrunken ListFault = "shrunken" // only the first KeepVMs VMs
)

// Faults are the fault switches. The zero value is a platform without faults.
type Faults struct {
	Down        bool      `json:"down,omitempty"`         // each request breaks its connection without a reply
	Hang        bool      `json:"hang,omitempty"`         // requests get no reply until the caller cancels them
	SlowMS      int64     `json:"slow_ms,omitempty"`      // additional time of each request, in milliseconds
	LoseReplies int       `json:"lose_replies,omitempty"` // number of next appends that take effect, but get no reply
	List        ListFault `json:"list,omitempty"`         // fault of the VM list
	KeepVMs     int       `json:"keep_vms,omitempty"`     // number of VMs in the list, for ListShrunken

	frozenAt time.Time
}

// SetFaults replaces all switches.
func (p *Platform) SetFaults(f Faults) {
	p.update(func(current *Faults) {
		f.frozenAt = current.frozenAt
		*current = f
	})
}

// Faults returns the switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetDown switches an outage on or off.
func (p *Platform) SetDown(down bool) {
	p.update(func(f *Faults) { f.Down = down })
}

// SetSlow makes each request take longer by delay.
func (p *Platform) SetSlow(delay time.Duration) {
	p.update(func(f *Faults) { f.SlowMS = delay.Milliseconds() })
}

// LoseReplies makes the next n appends take effect without a reply.
func (p *Platform) LoseReplies(n int) {
	p.update(func(f *Faults) { f.LoseReplies = n })
}

// SetListFault sets the fault of the VM list. keep is the number of VMs that
// ListShrunken keeps.
func (p *Platform) SetListFault(fault ListFault, keep int) {
	p.update(func(f *Faults) { f.List, f.KeepVMs = fault, keep })
}

func (p *Platform) update(change func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.faults.List
	change(&p.faults)
	if before != ListStale && p.faults.List == ListStale {
		p.faults.frozenAt = time.Now()
	}
}

// consumeLostReply reports whether the reply to an append is lost, and counts it.
func (p *Platform) consumeLostReply() bool {
	if p.faults.LoseReplies == 0 {
		return false
	}
	p.faults.LoseReplies--
	return true
}

// applyFaults returns a handler that delays or breaks a request before next
// processes it.
func (p *Platform) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.Faults()
		if f.Hang {
			<-r.Context().Done()
		}
		if f.Down || f.Hang {
			panic(http.ErrAbortHandler)
		}
		if !sleep(r, time.Duration(f.SlowMS)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits for d. It returns false if the caller cancels the request first.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
