package catalog

import "time"

// Resources is what one task needs of the worker that hosts its endpoint.
type Resources struct {
	MilliCores   int // thousandths of a processor core
	MemoryMiB    int // mebibytes
	Accelerators int // whole devices
}

// Fits reports whether need can be met out of r.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores &&
		need.MemoryMiB <= r.MemoryMiB &&
		need.Accelerators <= r.Accelerators
}

// Service is one entry of the services text.
type Service struct {
	Name       string
	DependsOn  []string      // names of services that this one calls while it runs
	Idempotent bool          // a task may run more than once without harm
	Slots      int           // tasks at once on one endpoint
	RunTime    time.Duration // prior for the run time of a task
	Timeout    time.Duration // lease of a task: it is given up after this long
	Needs      Resources     // of one task, unless the task declares its own
}

// Team is a tenant of the platform.
type Team struct {
	Name           string
	Weight         int     // share under contention, relative to other teams
	TasksPerSecond float64 // sustained task starts; 0 means no limit
	Burst          int     // tasks above the sustained rate, at once
}

// Catalog is one version of the configuration. It is immutable once built.
type Catalog struct {
	Version  uint64
	Services []Service
	Teams    []Team
}

// Service returns the service of the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i], true
		}
	}
	return Service{}, false
}
