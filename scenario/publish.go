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

// publishServices publishes the services text in the input. base= is the
// version that the change is based on, id= names the change: the same id with
// the same base is the same change, sent again.
func publishServices(w *world, a *args) string {
	parsed, err := catalog.ParseServices("services", []byte(a.input))
	if err != nil {
		a.fail("%v", err)
	}
	for _, s := range parsed.Services {
		w.idempotent[s.Name] = s.Idempotent
	}
	w.services = parsed
	return w.publish(a)
}

// drain takes endpoints out of use: an endpoint, or a whole failure domain
// named domain:NAME.
func drain(w *world, a *args) string {
	return w.publishBody(a, &change.Drain{Drain: drainOf(a.word("an endpoint or domain:NAME"))})
}

// undrain undoes a drain.
func undrain(w *world, a *args) string {
	return w.publishBody(a, &change.Undrain{Drain: drainOf(a.word("an endpoint or domain:NAME"))})
}

func drainOf(word string) catalog.Drain {
	if domain, ok := strings.CutPrefix(word, domainPrefix); ok {
		return catalog.Drain{Scope: catalog.ScopeFailureDomain, Name: domain}
	}
	return catalog.Drain{Scope: catalog.ScopeEndpoint, Name: word}
}

// republish publishes the current services text again, as a new version.
func republish(w *world, a *args) string { return w.publish(a) }

// publish appends a change that replaces the services and shows what its
// author knows of it.
func (w *world) publish(a *args) string {
	return w.publishBody(a, &change.ReplaceServices{Services: w.services.Services, Teams: w.services.Teams})
}

func (w *world) publishBody(a *args, body change.Body) string {
	w.changes++
	base, err := strconv.ParseUint(a.text("base", strconv.FormatUint(w.newestVersion(), 10)), 10, 64)
	if err != nil {
		a.fail("%v", err)
	}
	record, err := change.EncodeChange(change.Change{
		ID:     a.text("id", fmt.Sprintf("change-%d", w.changes)),
		Base:   base,
		Author: "scenario",
		Time:   time.Now(),
		Body:   body,
	})
	if err != nil {
		a.fail("%v", err)
	}
	_, err = w.platformClient().Append(context.Background(), logservice.StreamConfiguration, [][]byte{record})
	return appendResult(err)
}

func appendResult(err error) string {
	var unknown *logservice.UnknownOutcomeError
	switch {
	case err == nil:
		return ok("published")
	case errors.As(err, &unknown):
		return ok("no reply: may have taken effect")
	}
	return ok("not published")
}

// newestVersion returns the newest version in force at any entry.
func (w *world) newestVersion() uint64 {
	newest := uint64(0)
	for _, e := range w.entries {
		newest = max(newest, e.ConfigurationVersion())
	}
	return newest
}
