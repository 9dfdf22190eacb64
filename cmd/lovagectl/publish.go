package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"strconv"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
)

func showPublished(in *invocation, p publishReport) error {
	return in.show(p, func(w io.Writer) {
		if !p.Accepted {
			fmt.Fprintf(w, "the change on version %d has no problem; nothing was published\n", p.Base)
			return
		}
		fmt.Fprintf(w, "version %d is accepted\tchange %s\t%.3f s\n", p.Version, p.ChangeID, p.Seconds)
		if p.InForce != nil {
			inForce := p.InForce.Entries - len(p.InForce.Missing)
			fmt.Fprintf(w, "in force at %d of %d entries\t\t%.3f s\n", inForce, p.InForce.Entries, p.InForce.Seconds)
		}
	})
}

// fixedBody returns a function that makes the same change on every version.
func fixedBody(body change.Body) func(*catalog.Catalog) change.Body {
	return func(*catalog.Catalog) change.Body { return body }
}

func readServices(file string) (*catalog.Catalog, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "name a readable services file")
	}
	return catalog.ParseServices(file, text)
}

func publish(in *invocation) error {
	var flags publishFlags
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	wanted, err := readServices(args[0])
	if err != nil {
		return err
	}
	return flags.publish(in, args[0], func(current *catalog.Catalog) change.Body {
		return change.Difference(current, wanted)
	})
}

func putTeam(in *invocation) error {
	var flags publishFlags
	flags.register(in.flags)
	weight := in.flags.Int("weight", catalog.DefaultWeight, "share under contention, relative to other teams")
	rate := in.flags.Float64("tasks-per-second", 0, "sustained task starts per second; 0 means no limit")
	burst := in.flags.Int("burst", 0, "task starts above the sustained rate that are allowed at once")
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	team := catalog.Team{Name: args[0], Weight: *weight, TasksPerSecond: *rate, Burst: *burst}
	return flags.publish(in, in.name, fixedBody(&change.PutTeam{Team: team}))
}

func removeTeam(in *invocation) error {
	var flags publishFlags
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	return flags.publish(in, in.name, fixedBody(&change.RemoveTeam{Name: args[0]}))
}

func drain(in *invocation) error {
	return publishDrain(in, func(d catalog.Drain) change.Body { return &change.Drain{Drain: d} })
}

func undrain(in *invocation) error {
	return publishDrain(in, func(d catalog.Drain) change.Body { return &change.Undrain{Drain: d} })
}

func publishDrain(in *invocation, body func(catalog.Drain) change.Body) error {
	var flags publishFlags
	flags.register(in.flags)
	scope := in.flags.String("scope", string(catalog.ScopeEndpoint), "kind of NAME: endpoint, rack or failure_domain")
	domain := in.flags.String("failure-domain", "", "failure domain of the rack; only with -scope rack")
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	target := catalog.Drain{Scope: catalog.Scope(*scope), Name: args[0], FailureDomain: *domain}
	return flags.publish(in, in.name, fixedBody(body(target)))
}

func setKeys(in *invocation) error {
	var flags publishFlags
	flags.register(in.flags)
	args, err := in.parse(1, math.MaxUint8)
	if err != nil {
		return err
	}
	numbers := make([]int, len(args))
	for i, arg := range args {
		if numbers[i], err = strconv.Atoi(arg); err != nil {
			return usagef("key number %q: write a number from 1 to 255", arg)
		}
	}
	return flags.publish(in, in.name, fixedBody(&change.SetKeyNumbers{Numbers: numbers}))
}

func raiseFormat(in *invocation) error {
	var flags publishFlags
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	format, err := strconv.Atoi(args[0])
	if err != nil || format < change.FirstFormat || format > change.MaxFormat {
		return usagef("format %q: write a number from %d to %d", args[0], change.FirstFormat, change.MaxFormat)
	}
	return flags.publish(in, in.name, fixedBody(&change.RaiseFormat{Format: format}))
}
