package catalog

import (
	"time"

	"lovagespread.example/catalog/tomlcheck"
)

// Limits and defaults of the services file.
const (
	MaxNameBytes = 128

	DefaultSlots   = 1
	MaxSlots       = 4096
	DefaultRunTime = 200 * time.Millisecond
	MaxRunTime     = time.Hour
	DefaultTimeout = 10 * time.Second
	MaxTimeout     = time.Hour
	minTime        = time.Millisecond

	DefaultWeight = 1
	MaxWeight     = 1_000_000
)

// Valid ranges of numbers.
var (
	slotsRange        = tomlcheck.Range{Min: 1, Max: MaxSlots}
	milliCoresRange   = tomlcheck.Range{Max: 1_000_000}
	memoryRange       = tomlcheck.Range{Max: 1 << 30} // mebibytes
	acceleratorsRange = tomlcheck.Range{Max: 1024}
	weightRange       = tomlcheck.Range{Min: 1, Max: MaxWeight}
	rateRange         = tomlcheck.Range{Max: 1e9} // task starts per second
	burstRange        = tomlcheck.Range{Max: 1e9} // tasks
	keyNumberRange    = tomlcheck.Range{Min: 1, Max: 255}
)

// urgencyRemedy is the remedy for keys that try to declare urgency.
const urgencyRemedy = "remove it: urgency is inferred from depends_on and from traffic"

var serviceRemedies = map[string]string{
	"priority": urgencyRemedy, "urgency": urgencyRemedy, "importance": urgencyRemedy,
	"class": urgencyRemedy, "criticality": urgencyRemedy, "deadline": urgencyRemedy,
	"weight":      "remove it: weights belong to a [[team]]",
	"cpu":         "use milli_cores, in thousandths of a core",
	"cores":       "use milli_cores, in thousandths of a core",
	"memory_mib":  `use memory with its unit, as in memory = "512MiB"`,
	"run_time_ms": `use run_time with its unit, as in run_time = "200ms"`,
	"timeout_ms":  `use timeout with its unit, as in timeout = "10s"`,
}

var teamRemedies = map[string]string{
	"priority": "remove it: shares under contention follow from weight",
	"urgency":  urgencyRemedy,
}

// ParseServices parses the text of a services file. file names it in errors. The
// version of the returned catalog is 0. The error is a *tomlcheck.Problems that
// lists every problem.
func ParseServices(file string, text []byte) (*Catalog, error) {
	doc := tomlcheck.Parse(file, text)
	if doc.Failed() {
		return nil, doc.Err()
	}
	root := doc.Root()
	services := root.Tables("service")
	teams := root.Tables("team")
	root.RejectUnknown(nil)

	c := &Catalog{}
	for _, table := range services {
		c.Services = append(c.Services, parseService(table))
	}
	for _, table := range teams {
		c.Teams = append(c.Teams, parseTeam(table))
	}
	if len(services) == 0 && !doc.Failed() {
		doc.Add(0, "service", "no service", "add a [[service]] table for each service")
	}
	checkServices(c.Services, tableReporter(services))
	checkTeams(c.Teams, tableReporter(teams))
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func parseService(t *tomlcheck.Table) Service {
	s := Service{
		Name:       parseName(t),
		DependsOn:  t.Strings("depends_on"),
		Idempotent: t.Bool("idempotent"),
		Slots:      t.Int("slots", tomlcheck.Optional, DefaultSlots, slotsRange),
		RunTime:    t.Duration("run_time", tomlcheck.Optional, DefaultRunTime, minTime, MaxRunTime),
		Timeout:    t.Duration("timeout", tomlcheck.Optional, DefaultTimeout, minTime, MaxTimeout),
		Needs: Resources{
			MilliCores:   t.Int("milli_cores", tomlcheck.Optional, 0, milliCoresRange),
			MemoryMiB:    t.MiB("memory", 0, memoryRange),
			Accelerators: t.Int("accelerators", tomlcheck.Optional, 0, acceleratorsRange),
		},
	}
	t.RejectUnknown(serviceRemedies)
	if s.Timeout < s.RunTime {
		t.Add("timeout", "is shorter than run_time", timeoutRemedy)
	}
	return s
}

func parseTeam(t *tomlcheck.Table) Team {
	team := Team{
		Name:           parseName(t),
		Weight:         t.Int("weight", tomlcheck.Optional, DefaultWeight, weightRange),
		TasksPerSecond: t.Float("tasks_per_second", 0, rateRange),
		Burst:          t.Int("burst", tomlcheck.Optional, 0, burstRange),
	}
	t.RejectUnknown(teamRemedies)
	if team.TasksPerSecond == 0 && team.Burst > 0 {
		t.Add("burst", "has no effect without tasks_per_second", "add tasks_per_second or remove burst")
	}
	return team
}

func parseName(t *tomlcheck.Table) string {
	name := t.String("name", tomlcheck.Required)
	if name != "" && !ValidName(name) {
		t.Add("name", "is not a valid name", NameRemedy)
	}
	return name
}

// NameRemedy describes the names that ValidName accepts.
const NameRemedy = "use 1 to 128 letters, digits, '-', '_' or '.'"

const timeoutRemedy = "raise timeout or lower run_time"

// ValidName reports whether name is valid for a service, a team, an entry, an
// endpoint, a rack or a failure domain.
func ValidName(name string) bool {
	if len(name) == 0 || len(name) > MaxNameBytes {
		return false
	}
	for _, r := range name {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}
