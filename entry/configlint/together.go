package configlint

import (
	"cmp"
	"fmt"
	"slices"

	"lovagespread.example/catalog"
	"lovagespread.example/entry/settings"
)

// warnTogether reports limits of an entry that contradict those of the services.
func warnTogether(s *settingsText, services *servicesText) {
	for i := range services.catalog.Services {
		service := &services.catalog.Services[i]
		if service.Timeout > s.JobIDs.Lifetime {
			services.services[i].Add("timeout",
				fmt.Sprintf("%s is longer than job_ids.lifetime %s in %s: a job fails when its ID expires", service.Timeout, s.JobIDs.Lifetime, s.file),
				"raise job_ids.lifetime at every entry, or lower timeout")
		}
	}
	warnStopTimeout(s, services)
	warnConnections(s, services)
}

// warnStopTimeout reports a stop timeout that ends a planned stop while a task may
// still run: it may have started just before the stop, or while the balancer still
// sent callers here.
func warnStopTimeout(s *settingsText, services *servicesText) {
	longest := slices.MaxFunc(services.catalog.Services, func(a, b catalog.Service) int { return cmp.Compare(a.Timeout, b.Timeout) })
	if needed := longest.Timeout + settings.BalancerDelay; s.Limits.StopTimeout < needed && s.Limits.StopTimeout > settings.BalancerDelay {
		s.root.Table("limits").Add("stop_timeout",
			fmt.Sprintf("%s is shorter than a task of %s may run: timeout %s, and %s for the balancer; the outcomes of such tasks are unknown after a stop",
				s.Limits.StopTimeout, longest.Name, longest.Timeout, settings.BalancerDelay),
			fmt.Sprintf("raise it to %s or more", needed))
	}
}

// warnConnections reports a limit of connections below the slots of an endpoint.
// Each running task needs a connection.
func warnConnections(s *settingsText, services *servicesText) {
	most := slices.MaxFunc(services.catalog.Services, func(a, b catalog.Service) int { return cmp.Compare(a.Slots, b.Slots) })
	if s.Limits.ConnectionsPerEndpoint < most.Slots {
		s.root.Table("limits").Add("connections_per_endpoint",
			fmt.Sprintf("%d is below the %d slots of %s: one entry cannot use all of them", s.Limits.ConnectionsPerEndpoint, most.Slots, most.Name),
			fmt.Sprintf("raise it to %d or more, or lower the slots", most.Slots))
	}
}

// warnCallers reports teams without callers, and callers without a team. It does
// nothing if the callers are unknown.
func warnCallers(s *settingsText, services *servicesText, facts *Facts) {
	callers, known := facts.Callers[s.file]
	if !known || len(services.catalog.Teams) == 0 { // without teams, those in force stay
		return
	}
	for i := range services.catalog.Teams {
		if !slices.Contains(callers, services.catalog.Teams[i].Name) {
			services.teams[i].Add("name", "has no token in "+s.Tokens.CallersFile+": no caller can belong to this team",
				"correct the spelling, add a token, or remove the team")
		}
	}
	reported := make(map[string]bool)
	for _, name := range callers {
		if _, ok := services.catalog.Team(name); !ok && !reported[name] {
			reported[name] = true
			s.root.Table("tokens").Add("callers_file", "has a token for "+name+", which is not a [[team]] of "+services.file+": it gets weight 1 and no limit",
				"correct the spelling, or add a [[team]]")
		}
	}
}
