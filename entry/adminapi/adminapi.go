// Package adminapi defines the JSON bodies of an entry's administration API.
//
//	GET  /v1/status                  this entry, its members and its configuration version
//	GET  /v1/jobs/{label}/decisions  decisions about a job, and their reasons
//	POST /v1/stop                    begin a planned stop of this entry
//
// The label of a job identifies it in the log. It is not a job ID and gives no
// access to the job.
package adminapi

import "lovagespread.example/entry/explain"

// Status is the state of one entry and of the members it knows.
type Status struct {
	Entry         Entry         `json:"entry"`
	Ready         bool          `json:"ready"`
	Reason        string        `json:"reason,omitempty" doc:"Why the entry is not ready, and what to do about it"`
	Configuration Configuration `json:"configuration"`
	OpenJobs      int           `json:"open_jobs"`
	Evacuation    Evacuation    `json:"evacuation" doc:"State of the failure domain of this entry"`
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
	Ended         bool   `json:"ended,omitempty" doc:"True if the process is known to have ended"`
	Successor     string `json:"successor,omitempty" doc:"Incarnation that took over its jobs"`
}

// Configuration is the configuration in force.
type Configuration struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest" doc:"Hexadecimal"`
}

// Evacuation is the state of a failure domain as one of its entries sees it.
type Evacuation struct {
	Phase   string `json:"phase" enum:"in_service,draining,evacuated,returning"`
	Running int    `json:"running" doc:"Attempts of this entry in flight in the failure domain"`
}

// Load is the load of one service at this entry.
type Load struct {
	Service string `json:"service"`
	Running int    `json:"running" doc:"Attempts in flight"`
}

// Endpoint is one endpoint of a service.
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

// Decisions are the decisions about one job that the entry holds in memory, oldest
// first.
type Decisions struct {
	Decisions []explain.Decision `json:"decisions"`
}
