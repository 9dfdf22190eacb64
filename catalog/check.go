package catalog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagespread.example/catalog/tomlcheck"
)

// Check validates a catalog before it comes into force, whether it was parsed
// or built by changes. It returns nil or a *tomlcheck.Problems that lists every
// problem. origin names the source of the catalog in errors.
func Check(origin string, c *Catalog) error {
	k := &checker{origin: origin}
	for i, s := range c.Services {
		k.service(i, s)
	}
	for i, t := range c.Teams {
		k.team(i, t)
	}
	for i, d := range c.Drains {
		k.drain(i, d)
	}
	for i, domain := range c.Evacuated {
		k.name(fmt.Sprintf("evacuated[%d]", i), domain)
	}
	k.keyNumbers(c.KeyNumbers)
	checkServices(c.Services, k.reporter("service"))
	checkTeams(c.Teams, k.reporter("team"))
	return k.problems.Err()
}

type checker struct {
	origin   string
	problems tomlcheck.Problems
}

func (k *checker) add(key, what, remedy string) {
	k.problems.Add(tomlcheck.Problem{File: k.origin, Key: key, What: what, Remedy: remedy})
}

func (k *checker) reporter(list string) reporter {
	return func(index int, key string, element int, what, remedy string) {
		path := fmt.Sprintf("%s[%d].%s", list, index, key)
		if element != wholeKey {
			path += fmt.Sprintf("[%d]", element)
		}
		k.add(path, what, remedy)
	}
}

func (k *checker) service(index int, s Service) {
	prefix := fmt.Sprintf("service[%d].", index)
	k.name(prefix+"name", s.Name)
	k.number(prefix+"slots", float64(s.Slots), slotsRange)
	k.duration(prefix+"run_time", s.RunTime, MaxRunTime)
	k.duration(prefix+"timeout", s.Timeout, MaxTimeout)
	if s.Timeout < s.RunTime {
		k.add(prefix+"timeout", "is shorter than run_time", timeoutRemedy)
	}
	k.number(prefix+"milli_cores", float64(s.Needs.MilliCores), milliCoresRange)
	k.number(prefix+"memory", float64(s.Needs.MemoryMiB), memoryRange)
	k.number(prefix+"accelerators", float64(s.Needs.Accelerators), acceleratorsRange)
}

func (k *checker) team(index int, t Team) {
	prefix := fmt.Sprintf("team[%d].", index)
	k.name(prefix+"name", t.Name)
	k.number(prefix+"weight", float64(t.Weight), weightRange)
	k.number(prefix+"tasks_per_second", t.TasksPerSecond, rateRange)
	k.number(prefix+"burst", float64(t.Burst), burstRange)
}

func (k *checker) drain(index int, d Drain) {
	prefix := fmt.Sprintf("drain[%d].", index)
	k.name(prefix+"name", d.Name)
	if !slices.Contains(Scopes, d.Scope) {
		k.add(prefix+"scope", fmt.Sprintf("unknown scope %q", d.Scope), "use endpoint, rack or failure_domain")
	}
	if d.Scope == ScopeRack {
		k.name(prefix+"failure_domain", d.FailureDomain)
	} else if d.FailureDomain != "" {
		k.add(prefix+"failure_domain", "applies to scope rack only", "remove it")
	}
}

func (k *checker) keyNumbers(numbers []int) {
	for i, number := range numbers {
		key := fmt.Sprintf("key_numbers[%d]", i)
		k.number(key, float64(number), keyNumberRange)
		if slices.Index(numbers, number) < i {
			k.add(key, fmt.Sprintf("key %d twice", number), "name each key once, the signing key last")
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

func (k *checker) duration(key string, d, maximum time.Duration) {
	if d < minTime || d > maximum {
		k.add(key, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("use a duration from %s to %s", minTime, maximum))
	}
}
