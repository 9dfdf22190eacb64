// Package adminapi holds the JSON bodies of an entry's administration API.
//
//	GET  /v1/status                  this entry, its members and versions
//	GET  /v1/jobs/{label}/decisions  why a job went where it did
//	POST /v1/stop                    planned stop of this entry
//
// The label of a job is what the log shows; it is not a job ID.
package adminapi

import "lovagespread.example/entry/explain"

// Status is what one entry knows.
type Status struct {
	Entry         Entry         `json:"entry"`
	Ready         bool          `json:"ready"`
	Reason        string        `json:"reason,omitempty" doc:"Why the entry is not ready, and what to do"`
	Configuration Configuration `json:"configuration"`
	OpenJobs      int           `json:"open_jobs"`
	Loads         []Load        `json:"loads"`
	Others        []Entry       `json:"others" doc:"Other entries"`
	Endpoints     []Endpoint    `json:"endpoints"`
}

// Entry is one entry process.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address" doc:"Peer listener, host:port"`
	Incarnation   string `json:"incarnation,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state" enum:"live,suspect,leaving,gone,unheard"`
	Ended         bool   `json:"ended,omitempty" doc:"It is certain that it does not run any more"`
	Successor     string `json:"successor,omitempty" doc:"Incarnation that answers for its jobs"`
}

// Configuration is the configuration in force.
type Configuration struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest" doc:"Hexadecimal"`
}

// Load is the load of one service at this entry.
type Load struct {
	Service string `json:"service"`
	Running int    `json:"running" doc:"Attempts in flight"`
}

// Endpoint is one executor.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Service       string `json:"service"`
	Slots         int    `json:"slots"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Worker        string `json:"worker"`
	State         string `json:"state" enum:"live,suspect,leaving"`
}

// Decisions are the kept decisions about one job, oldest first.
type Decisions struct {
	Decisions []explain.Decision `json:"decisions"`
}
