package fakeendpoint

import (
	"cmp"
	"slices"
	"sync"
)

// TaskKey identifies one task. All attempts of a task have the same key.
type TaskKey struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// Starts records the task starts of a set of endpoints. It is safe for concurrent
// use.
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
// summed over the job IDs of the request.
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

// StartReport summarizes the starts. Tasks counts each task once.
type StartReport struct {
	Starts int `json:"starts"`
	Tasks  int `json:"tasks"`
	// Repeated lists the tasks that were started more than once, identified by job
	// ID and index.
	Repeated []Repeated `json:"repeated"`
	// RepeatedRequests lists the tasks that were started more than once, identified
	// by the caller's request and position, even if their job IDs differ.
	RepeatedRequests []Repeated `json:"repeated_requests"`
	// StartedRequests holds the number of started tasks of each request.
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
