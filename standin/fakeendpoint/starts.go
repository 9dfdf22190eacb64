package fakeendpoint

import (
	"cmp"
	"slices"
	"sync"
)

// TaskKey names one task, whatever its attempt.
type TaskKey struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// Starts records every task start of a set of endpoints. It is safe for
// concurrent use.
type Starts struct {
	mu        sync.Mutex
	total     int
	byJob     map[TaskKey]startCount
	byRequest map[TaskKey]startCount // Job is Payload.Request, Index is Payload.Task
}

type startCount struct {
	service string
	count   int
}

// NewStarts returns an empty record.
func NewStarts() *Starts {
	return &Starts{
		byJob:     make(map[TaskKey]startCount),
		byRequest: make(map[TaskKey]startCount),
	}
}

func (s *Starts) record(service string, key TaskKey, payload Payload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	incrementStart(s.byJob, key, service)
	if payload.Request != "" {
		incrementStart(s.byRequest, TaskKey{Job: payload.Request, Index: payload.Task}, service)
	}
}

func incrementStart(starts map[TaskKey]startCount, key TaskKey, service string) {
	c := starts[key]
	c.service = service
	c.count++
	starts[key] = c
}

// Count returns how often a task was started.
func (s *Starts) Count(key TaskKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byJob[key].count
}

// CountByRequest returns how often a task of a caller's request was started,
// whatever its job IDs.
func (s *Starts) CountByRequest(key TaskKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRequest[key].count
}

// Repeated is a task that was started more than once.
type Repeated struct {
	TaskKey
	Service string `json:"service"`
	Count   int    `json:"count"`
}

// StartReport sums up the starts. Tasks counts each task once.
type StartReport struct {
	Starts int `json:"starts"`
	Tasks  int `json:"tasks"`
	// Repeated lists tasks started more than once by job ID and index.
	Repeated []Repeated `json:"repeated"`
	// RepeatedRequests lists tasks started more than once by the caller's
	// request and position, also where the job IDs differ.
	RepeatedRequests []Repeated `json:"repeated_requests"`
	// StartedRequests gives the number of tasks started of each request.
	StartedRequests map[string]int `json:"started_requests"`
}

// Report returns a report of all starts so far.
func (s *Starts) Report() StartReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make(map[string]int)
	for key := range s.byRequest {
		requests[key.Job]++
	}
	return StartReport{
		Starts:           s.total,
		Tasks:            len(s.byJob),
		Repeated:         repeatedTasks(s.byJob),
		RepeatedRequests: repeatedTasks(s.byRequest),
		StartedRequests:  requests,
	}
}

func repeatedTasks(starts map[TaskKey]startCount) []Repeated {
	list := []Repeated{}
	for key, c := range starts {
		if c.count > 1 {
			list = append(list, Repeated{TaskKey: key, Service: c.service, Count: c.count})
		}
	}
	slices.SortFunc(list, func(a, b Repeated) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return list
}
