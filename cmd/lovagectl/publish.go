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

func showPublication(in *invocation, p publication) error {
	return in.show(p, func(w io.Writer) {
		if !p.Accepted {
			fmt.Fprintf(w, "the change on version %d has no problem; nothing was published\n", p.Base)
			return
		}
		fmt.Fprintf(w, "version %d is accepted\tchange %s\t%.3f s\n", p.Version, p.ChangeID, p.Seconds)
		if p.InForce != nil {
			there := p.InForce.Entries - len(p.InForce.Missing)
			fmt.Fprintf(w, "in force at %d of %d entries\t\t%.3f s\n", there, p.InForce.Entries, p.InForce.Seconds)
		}
	})
}

// always is a change that does not depend on the version in force.
func always(body change.Body) func(*catalog.Catalog) change.Body {
	return func(*catalog.Catalog) change.Body { return body }
}

func readServices(file string) (*catalog.Catalog, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "name a readable services text")
	}
	return catalog.ParseServices(file, text)
}

func publish(in *invocation) error {
	var d draft
	d.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	c, err := readServices(args[0])
	if err != nil {
		return err
	}
	return d.publish(in, args[0], func(current *catalog.Catalog) change.Body {
		return change.Difference(current, c)
	})
}

func putTeam(in *invocation) error {
	var d draft
	d.register(in.flags)
	weight := in.flags.Int("weight", catalog.DefaultWeight, "share under contention, relative to other teams")
	rate := in.flags.Float64("tasks-per-second", 0, "sustained task starts a second; 0 means no limit")
	burst := in.flags.Int("burst", 0, "tasks above the sustained rate, at once")
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	team := catalog.Team{Name: args[0], Weight: *weight, TasksPerSecond: *rate, Burst: *burst}
	return d.publish(in, in.name, always(&change.PutTeam{Team: team}))
}

func removeTeam(in *invocation) error {
	var d draft
	d.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	return d.publish(in, in.name, always(&change.RemoveTeam{Name: args[0]}))
}

func drain(in *invocation) error {
	return publishDrain(in, func(d catalog.Drain) change.Body { return &change.Drain{Drain: d} })
}

func undrain(in *invocation) error {
	return publishDrain(in, func(d catalog.Drain) change.Body { return &change.Undrain{Drain: d} })
}

func publishDrain(in *invocation, body func(catalog.Drain) change.Body) error {
	var d draft
	d.register(in.flags)
	scope := in.flags.String("scope", string(catalog.ScopeEndpoint), "what NAME is: endpoint, rack or failure_domain")
	domain := in.flags.String("failure-domain", "", "failure domain of a rack")
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	target := catalog.Drain{Scope: catalog.Scope(*scope), Name: args[0], FailureDomain: *domain}
	return d.publish(in, in.name, always(body(target)))
}

func setKeys(in *invocation) error {
	var d draft
	d.register(in.flags)
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
	return d.publish(in, in.name, always(&change.SetKeyNumbers{Numbers: numbers}))
}

func raiseFormat(in *invocation) error {
	var d draft
	d.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	format, err := strconv.Atoi(args[0])
	if err != nil || format < change.FirstFormat || format > change.MaxFormat {
		return usagef("format %q: write a number from %d to %d", args[0], change.FirstFormat, change.MaxFormat)
	}
	return d.publish(in, in.name, always(&change.RaiseFormat{Format: format}))
}
