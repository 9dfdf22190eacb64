package catalog

import "time"

// Resources are the resources that one task needs on the worker that hosts its
// endpoint.
type Resources struct {
	MilliCores   int `json:"milli_cores,omitempty"`  // thousandths of a processor core
	MemoryMiB    int `json:"memory_mib,omitempty"`   // mebibytes
	Accelerators int `json:"accelerators,omitempty"` // whole devices
}

// Fits reports whether r is enough for need.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores &&
		need.MemoryMiB <= r.MemoryMiB &&
		need.Accelerators <= r.Accelerators
}

// Service is one entry of the services file.
type Service struct {
	Name       string        `json:"name"`
	DependsOn  []string      `json:"depends_on,omitempty"` // names of services that this one calls while it runs
	Idempotent bool          `json:"idempotent,omitempty"` // a task may run more than once without harm
	Slots      int           `json:"slots"`                // tasks that run concurrently on one endpoint
	RunTime    time.Duration `json:"run_time_ns"`          // initial estimate of the run time of a task
	Timeout    time.Duration `json:"timeout_ns"`           // lease of a task: the task is abandoned after this time
	Needs      Resources     `json:"needs"`                // of one task, unless the task declares its own
}

// Team is a tenant, whose tasks share a weight and a rate limit.
type Team struct {
	Name           string  `json:"name"`
	Weight         int     `json:"weight"`                     // share under contention, relative to other teams
	TasksPerSecond float64 `json:"tasks_per_second,omitempty"` // sustained rate of task starts; 0 means no limit
	Burst          int     `json:"burst,omitempty"`            // tasks that may start at once above the sustained rate
}

// Catalog is one version of the configuration. It is immutable once built.
type Catalog struct {
	Version  uint64    `json:"version"`
	Format   int       `json:"format,omitempty"` // newest record format in use; 0 stands for 1
	Services []Service `json:"services,omitempty"`
	Teams    []Team    `json:"teams,omitempty"`
	Drains   []Drain   `json:"drains,omitempty"`
	// Evacuated are the failure domains whose evacuation operators have
	// requested, in the order of the requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// KeyNumbers are the job-ID keys in use, given by their positions in the
	// settings, counted from 1. The last one signs new IDs. If empty, all keys
	// in the settings are in use.
	KeyNumbers []int `json:"key_numbers,omitempty"`
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i], true
		}
	}
	return Service{}, false
}

// Team returns the team with the given name.
func (c *Catalog) Team(name string) (Team, bool) {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return c.Teams[i], true
		}
	}
	return Team{}, false
}
