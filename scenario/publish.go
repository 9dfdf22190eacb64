package scenario

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
)

// publishServices publishes the services file in the input. base= is the
// version that the change is based on, id= is the ID of the change. A change
// with the same ID and base is a repetition of the same change.
func publishServices(env *environment, a *args) string {
	parsed, err := catalog.ParseServices("services", []byte(a.input))
	if err != nil {
		a.fail("%v", err)
	}
	for _, s := range parsed.Services {
		env.idempotent[s.Name] = s.Idempotent
	}
	env.services = parsed
	return env.publish(a)
}

// drain drains an endpoint, or with domain:NAME a whole failure domain.
func drain(env *environment, a *args) string {
	return env.publishBody(a, &change.Drain{Drain: parseDrain(a.word("an endpoint or domain:NAME"))})
}

// undrain ends a drain.
func undrain(env *environment, a *args) string {
	return env.publishBody(a, &change.Undrain{Drain: parseDrain(a.word("an endpoint or domain:NAME"))})
}

// evacuate requests the evacuation of a failure domain.
func evacuate(env *environment, a *args) string {
	return env.publishBody(a, &change.Evacuate{Domain: a.word("a failure domain")})
}

// returnDomain removes the request to evacuate a failure domain.
func returnDomain(env *environment, a *args) string {
	return env.publishBody(a, &change.Return{Domain: a.word("a failure domain")})
}

// raiseFormat puts the newest record format in use.
func raiseFormat(env *environment, a *args) string {
	return env.publishBody(a, &change.RaiseFormat{Format: change.MaxFormat})
}

func parseDrain(word string) catalog.Drain {
	if domain, ok := strings.CutPrefix(word, domainPrefix); ok {
		return catalog.Drain{Scope: catalog.ScopeFailureDomain, Name: domain}
	}
	return catalog.Drain{Scope: catalog.ScopeEndpoint, Name: word}
}

// republish publishes the current services file again as a new version.
func republish(env *environment, a *args) string { return env.publish(a) }

// publish appends a change that replaces the services and prints the outcome
// that its author sees.
func (env *environment) publish(a *args) string {
	return env.publishBody(a, &change.ReplaceServices{Services: env.services.Services, Teams: env.services.Teams})
}

func (env *environment) publishBody(a *args, body change.Body) string {
	env.changeCount++
	base, err := strconv.ParseUint(a.text("base", strconv.FormatUint(env.newestVersion(), 10)), 10, 64)
	if err != nil {
		a.fail("%v", err)
	}
	record, err := change.EncodeChange(change.Change{
		ID:     a.text("id", fmt.Sprintf("change-%d", env.changeCount)),
		Base:   base,
		Author: "scenario",
		Time:   time.Now(),
		Body:   body,
	})
	if err != nil {
		a.fail("%v", err)
	}
	_, err = env.platformClient().Append(context.Background(), logservice.StreamConfiguration, [][]byte{record})
	return describeAppend(err)
}

func describeAppend(err error) string {
	var unknownOutcome *logservice.UnknownOutcomeError
	switch {
	case err == nil:
		return outputf("published")
	case errors.As(err, &unknownOutcome):
		return outputf("no reply: may have taken effect")
	}
	return outputf("not published")
}

// newestVersion returns the highest version in force at any entry.
func (env *environment) newestVersion() uint64 {
	newest := uint64(0)
	for _, e := range env.entries {
		newest = max(newest, e.ConfigurationVersion())
	}
	return newest
}
