package catalog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagespread.example/catalog/tomlcheck"
)

// Check tells whether a catalog may come into force, however it was built. It
// returns nil or a *tomlcheck.Problems that lists every problem. from names
// the origin of the catalog in errors.
func Check(from string, c *Catalog) error {
	k := &checker{from: from}
	for i, s := range c.Services {
		k.service(i, s)
	}
	for i, t := range c.Teams {
		k.team(i, t)
	}
	for i, d := range c.Drains {
		k.drain(i, d)
	}
	k.keyNumbers(c.KeyNumbers)
	checkServices(c.Services, k.report("service"))
	checkTeams(c.Teams, k.report("team"))
	return k.problems.Err()
}

type checker struct {
	from     string
	problems tomlcheck.Problems
}

func (k *checker) add(key, what, remedy string) {
	k.problems.Add(tomlcheck.Problem{File: k.from, Key: key, What: what, Remedy: remedy})
}

func (k *checker) report(list string) reporter {
	return func(index int, key string, element int, what, remedy string) {
		path := fmt.Sprintf("%s[%d].%s", list, index, key)
		if element != whole {
			path += fmt.Sprintf("[%d]", element)
		}
		k.add(path, what, remedy)
	}
}

func (k *checker) service(index int, s Service) {
	at := fmt.Sprintf("service[%d].", index)
	k.name(at+"name", s.Name)
	k.number(at+"slots", float64(s.Slots), slotsRange)
	k.duration(at+"run_time", s.RunTime, MaxRunTime)
	k.duration(at+"timeout", s.Timeout, MaxTimeout)
	if s.Timeout < s.RunTime {
		k.add(at+"timeout", "is shorter than run_time", timeoutRemedy)
	}
	k.number(at+"milli_cores", float64(s.Needs.MilliCores), milliCoresRange)
	k.number(at+"memory", float64(s.Needs.MemoryMiB), memoryRange)
	k.number(at+"accelerators", float64(s.Needs.Accelerators), acceleratorsRange)
}

func (k *checker) team(index int, t Team) {
	at := fmt.Sprintf("team[%d].", index)
	k.name(at+"name", t.Name)
	k.number(at+"weight", float64(t.Weight), weightRange)
	k.number(at+"tasks_per_second", t.TasksPerSecond, rateRange)
	k.number(at+"burst", float64(t.Burst), burstRange)
}

func (k *checker) drain(index int, d Drain) {
	at := fmt.Sprintf("drain[%d].", index)
	k.name(at+"name", d.Name)
	if !slices.Contains(Scopes, d.Scope) {
		k.add(at+"scope", fmt.Sprintf("unknown scope %q", d.Scope), "use endpoint, rack or failure_domain")
	}
	if d.Scope == ScopeRack {
		k.name(at+"failure_domain", d.FailureDomain)
	} else if d.FailureDomain != "" {
		k.add(at+"failure_domain", "belongs to a rack only", "remove it")
	}
}

func (k *checker) keyNumbers(numbers []int) {
	for i, number := range numbers {
		at := fmt.Sprintf("key_numbers[%d]", i)
		k.number(at, float64(number), keyNumberRange)
		if slices.Index(numbers, number) < i {
			k.add(at, fmt.Sprintf("key %d twice", number), "name each key once, the signing key last")
		}
	}
}

func (k *checker) name(key, name string) {
	if !ValidName(name) {
		k.add(key, fmt.Sprintf("%q is not a valid name", strings.ToValidUTF8(name, "?")), NameRemedy)
	}
}

func (k *checker) number(key string, number float64, bounds tomlcheck.Range) {
	if !bounds.Contains(number) {
		k.add(key, fmt.Sprintf("%v is out of range", number), "use a number "+bounds.String())
	}
}

func (k *checker) duration(key string, d, most time.Duration) {
	if d < minTime || d > most {
		k.add(key, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("use a duration from %s to %s", minTime, most))
	}
}
