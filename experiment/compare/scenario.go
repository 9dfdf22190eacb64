package compare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch"
)

// Sizes of the users' installations, which the scenarios model.
const (
	executors      = 48 // endpoints of a service
	slots          = 8  // of an endpoint
	workersPerRack = 8
	teamCount      = 130
	floodTeam      = "team-000"
)

// phase is a period with a constant offered load.
type phase struct {
	until time.Duration
	load  float64 // offered work as a share of the slots' capacity
}

// Scenario is a workload with the faults that occur during it.
type Scenario struct {
	Name     string
	Duration time.Duration
	Entries  int
	// Overlap lets every entry use every slot, so that entries compete for
	// slots.
	Overlap bool
	// Resubmit makes callers submit again after their timeout.
	Resubmit bool
	// RetryWindow is how long after its first submission a caller submits again
	// after rejections.
	RetryWindow time.Duration

	profiles       []*jobProfile
	phases         []phase
	flood          float64                      // extra load that floodTeam offers
	modifyJob      func(rng *rand.Rand, j *Job) // applied to each generated job
	scheduleFaults func(s *sim, rng *rand.Rand) // optional
	capacity       catalog.Resources            // of each worker
}

func (s *Scenario) teams() []catalog.Team {
	list := make([]catalog.Team, teamCount)
	for i := range list {
		list[i] = catalog.Team{Name: teamName(i), Weight: 1}
	}
	return list
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// endpointSpecs returns the endpoints, one for each service on every worker.
func (s *Scenario) endpointSpecs() (list []dispatch.Endpoint) {
	for _, profile := range s.profiles {
		for i := range executors {
			list = append(list, dispatch.Endpoint{
				Name:     fmt.Sprintf("%s-%02d", profile.service.Name, i),
				Address:  fmt.Sprintf("10.0.%d.%d:1", i/workersPerRack, i%workersPerRack),
				Service:  profile.service.Name,
				Slots:    slots,
				Rack:     fmt.Sprintf("rack-%d", i/workersPerRack),
				Worker:   fmt.Sprintf("worker-%02d", i),
				Capacity: s.capacity,
			})
		}
	}
	return list
}

// generate draws the jobs of a run in the order of arrival.
func (s *Scenario) generate(rng *rand.Rand) []Job {
	var jobs []Job
	for _, profile := range s.profiles {
		fullLoadRate := float64(executors*slots) / profile.meanWork.Seconds() // jobs per second at load 1
		jobs = append(jobs, s.arrivals(rng, profile, fullLoadRate, s.anyTeam)...)
		if s.flood > 0 {
			jobs = append(jobs, s.floodArrivals(rng, profile, fullLoadRate)...)
		}
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return jobs
}

// anyTeam draws a team other than the flooding team, which has no part in the
// regular load.
func (s *Scenario) anyTeam(rng *rand.Rand) string { return teamName(1 + rng.IntN(teamCount-1)) }

func (s *Scenario) arrivals(rng *rand.Rand, profile *jobProfile, fullLoadRate float64, team func(*rand.Rand) string) (jobs []Job) {
	at, i := time.Duration(0), 0
	for i < len(s.phases) {
		rate := fullLoadRate * s.phases[i].load
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= s.phases[i].until {
			at = s.phases[i].until
			i++
			continue
		}
		jobs = append(jobs, s.newJob(rng, profile, at, team(rng)))
	}
	return jobs
}

func (s *Scenario) floodArrivals(rng *rand.Rand, profile *jobProfile, fullLoadRate float64) []Job {
	floodOnly := Scenario{profiles: s.profiles, phases: []phase{{s.Duration, s.flood}}, modifyJob: s.modifyJob}
	return floodOnly.arrivals(rng, profile, fullLoadRate, func(*rand.Rand) string { return floodTeam })
}

// newJob draws a job that arrives at the given time.
func (s *Scenario) newJob(rng *rand.Rand, profile *jobProfile, at time.Duration, team string) Job {
	j := profile.job(rng)
	j.Arrival = at
	j.Team = team
	if s.modifyJob != nil {
		s.modifyJob(rng, &j)
	}
	j.Ideal = idealRun(j.Tasks, executors*slots) + 2*oneWay
	j.CallerTimeout = baseCallerTimeout + idealFactor*j.Ideal
	return j
}

func (s *Scenario) injectFaults(run *sim, rng *rand.Rand) {
	if s.scheduleFaults != nil {
		s.scheduleFaults(run, rng)
	}
}

// constantLoad returns a scenario with a constant load.
func constantLoad(name string, load float64) *Scenario {
	return &Scenario{
		Name: name, Duration: runDuration, Entries: 1, profiles: jobProfiles(),
		phases: []phase{{runDuration, load}},
	}
}

const runDuration = 15 * time.Second

// Load80 is the users' regular mix of jobs at 80% load.
func Load80() *Scenario { return constantLoad("load80", 0.8) }

// Entries3 is Load80 with three entries that share the endpoints.
func Entries3() *Scenario {
	s := Load80()
	s.Name, s.Entries = "entries3", 3
	return s
}

// Overlapping is Entries3 in which each entry uses all slots as its own.
func Overlapping() *Scenario {
	s := Entries3()
	s.Name, s.Overlap = "overlapping", true
	return s
}

// Burst offers 120% load for six seconds and then lets the system recover.
func Burst() *Scenario {
	s := constantLoad("burst", 0)
	s.phases = []phase{{4 * time.Second, 0.7}, {10 * time.Second, 1.2}, {runDuration, 0.6}}
	return s
}

// Overload offers the given load for the whole run.
func Overload(load float64) *Scenario {
	s := constantLoad(fmt.Sprintf("overload%.0f", load*100), load)
	return s
}

// Metastable offers 200% load for four seconds. Callers submit jobs again that
// were rejected or timed out.
func Metastable() *Scenario {
	s := constantLoad("metastable", 0)
	s.phases = []phase{{4 * time.Second, 0.7}, {8 * time.Second, 2}, {runDuration, 0.7}}
	s.Resubmit = true
	s.RetryWindow = 5 * time.Second
	return s
}

// FalseDeclarations is Burst in which a fifth of the teams declare a run time of
// 1 ms for every task.
func FalseDeclarations() *Scenario {
	s := Burst()
	s.Name = "liars"
	s.modifyJob = func(_ *rand.Rand, j *Job) {
		j.Misdeclared = misdeclares(j.Team)
		if !j.Misdeclared {
			return
		}
		for i := range j.Tasks {
			j.Tasks[i].Declared = time.Millisecond
		}
	}
	return s
}

func misdeclares(team string) bool { return team < teamName(teamCount/5) }

// Flood adds the flooding team, which offers 150% load to the 60% load of all
// other teams together.
func Flood() *Scenario {
	s := constantLoad("flood", 0.6)
	s.flood = 1.5
	return s
}

// FloodBase is Flood without the flooding team.
func FloodBase() *Scenario {
	s := Flood()
	s.Name, s.flood = "flood_base", 0
	return s
}

// Cancellations lets callers cancel half of the jobs that arrive in every third
// second.
func Cancellations() *Scenario {
	s := constantLoad("cancellations", 0.9)
	s.modifyJob = func(rng *rand.Rand, j *Job) {
		if int(j.Arrival/time.Second)%3 == 0 && rng.IntN(2) == 0 {
			j.CancelAt = time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
		}
	}
	return s
}

// Faults combines stragglers, black holes, poison tasks and the loss of a rack
// at 70% load.
func Faults() *Scenario {
	s := constantLoad("faults", 0.7)
	s.modifyJob = poison
	s.scheduleFaults = func(run *sim, rng *rand.Rand) {
		run.at(4*time.Second, func() { run.injectFault(rng, straggler, 2) })
		run.at(6*time.Second, func() { run.injectFault(rng, blackHole, 2) })
		run.at(8*time.Second, func() { run.failRack("rack-3") })
	}
	return s
}

// Stragglers slows down some endpoints of every service.
func Stragglers() *Scenario {
	s := constantLoad("stragglers", 0.7)
	s.scheduleFaults = func(run *sim, rng *rand.Rand) {
		run.at(4*time.Second, func() { run.injectFault(rng, straggler, 3) })
	}
	return s
}

// BlackHoles makes some endpoints of every service fail every task immediately.
func BlackHoles() *Scenario {
	s := constantLoad("blackholes", 0.7)
	s.scheduleFaults = func(run *sim, rng *rand.Rand) {
		run.at(4*time.Second, func() { run.injectFault(rng, blackHole, 3) })
	}
	return s
}

// RackLoss makes a rack unreachable in the middle of the run.
func RackLoss() *Scenario {
	s := constantLoad("rackloss", 0.7)
	s.scheduleFaults = func(run *sim, _ *rand.Rand) {
		run.at(8*time.Second, func() { run.failRack("rack-3") })
	}
	return s
}

const poisonShare = 0.001

func poison(rng *rand.Rand, j *Job) {
	if rng.Float64() < poisonShare {
		j.Tasks[rng.IntN(len(j.Tasks))].Poison = true
	}
}

// injectFault sets a fault on perService healthy endpoints of each service.
func (s *sim) injectFault(rng *rand.Rand, f fault, perService int) {
	for i := range s.scenario.profiles {
		for n := 0; n < perService; {
			e := s.endpointList[i*executors+rng.IntN(executors)]
			if e.fault == healthy {
				e.fault = f
				n++
			}
		}
	}
}

// Delays until the membership detects unreachable endpoints.
const (
	suspectAfter = time.Second
	removeAfter  = 5 * time.Second
)

// failRack makes the endpoints of a rack unreachable permanently.
func (s *sim) failRack(rack string) {
	inRack := func(e *endpoint) bool { return e.spec.Rack == rack }
	for _, e := range s.endpointList {
		if inRack(e) {
			e.fault = unreachable
		}
	}
	s.after(suspectAfter, func() { s.setRackState(inRack, dispatch.EndpointSuspect) })
	s.after(removeAfter, func() { s.setRackState(inRack, dispatch.EndpointLeaving) })
}

func (s *sim) setRackState(inRack func(*endpoint) bool, state dispatch.EndpointState) {
	s.setEndpoints(func(e *endpoint) dispatch.EndpointState {
		if inRack(e) {
			return state
		}
		return dispatch.EndpointLive
	})
}
