package configlint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/tomlcheck"
	"lovagespread.example/logservice/platformapi"
)

// endpointsByService groups the endpoints of the list.
func endpointsByService(vms []platformapi.VM) map[string][]*platformapi.VM {
	byService := make(map[string][]*platformapi.VM)
	for i := range vms {
		if vms[i].Role == platformapi.RoleEndpoint {
			byService[vms[i].Service] = append(byService[vms[i].Service], &vms[i])
		}
	}
	return byService
}

// warnDeployment compares the services with the endpoints that the platform lists.
func (s *servicesText) warnDeployment(vms []platformapi.VM) {
	byService := endpointsByService(vms)
	if len(byService) == 0 {
		return
	}
	var unknown []string
	for name := range byService {
		if _, ok := s.catalog.Service(name); !ok {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		s.root.Add("service", fmt.Sprintf("the platform lists %d endpoints of %q, which is not in the file: they get no task", len(byService[name]), name),
			"add a [[service]] of this name, correct the spelling, or remove the endpoints")
	}
	for i := range s.catalog.Services {
		service, table := &s.catalog.Services[i], s.services[i]
		endpoints := byService[service.Name]
		if len(endpoints) == 0 {
			table.Add("name", "the platform lists no endpoint of this service: its jobs are rejected", "correct the spelling, or start endpoints")
			continue
		}
		warnSlots(service, table, endpoints)
		warnNeeds(service, table, endpoints)
	}
}

// warnSlots reports slots that differ from those in the list, which the entries
// use.
func warnSlots(service *catalog.Service, table *tomlcheck.Table, endpoints []*platformapi.VM) {
	different := 0
	for _, vm := range endpoints {
		if vm.Slots != service.Slots {
			different++
		}
	}
	if different > 0 {
		table.Add("slots", fmt.Sprintf("%d contradicts the platform's list, in which %d of %d endpoints have another number, which is used", service.Slots, different, len(endpoints)),
			"write the number of the endpoints, or change them")
	}
}

// warnNeeds reports tasks that are too large for every worker, and slots that no
// worker has the resources to fill. Workers of unknown capacity have no limit.
func warnNeeds(service *catalog.Service, table *tomlcheck.Table, endpoints []*platformapi.VM) {
	most := 0
	for _, vm := range endpoints {
		capacity := catalog.Resources{MilliCores: vm.MilliCores, MemoryMiB: vm.MemoryMiB, Accelerators: vm.Accelerators}
		if vm.Worker == "" || capacity == (catalog.Resources{}) {
			return
		}
		most = max(most, tasksThatFit(capacity, service.Needs, vm.Slots))
	}
	listed := slices.MaxFunc(endpoints, func(a, b *platformapi.VM) int { return cmp.Compare(a.Slots, b.Slots) }).Slots
	const remedy = "lower milli_cores, memory or accelerators, or add a larger worker"
	switch {
	case listed <= 0:
	case most == 0:
		table.Add("name", "needs more than any of its workers has: no task is ever started", remedy)
	case most < listed:
		table.Add("slots", fmt.Sprintf("at most %d tasks fit on a worker at once, for %d slots", most, listed), remedy+", or lower the slots")
	}
}

// tasksThatFit returns how many tasks with the given needs fit into a capacity, at
// most limit.
func tasksThatFit(capacity, needs catalog.Resources, limit int) int {
	for _, r := range [][2]int{{capacity.MilliCores, needs.MilliCores}, {capacity.MemoryMiB, needs.MemoryMiB}, {capacity.Accelerators, needs.Accelerators}} {
		if r[1] > 0 {
			limit = min(limit, r[0]/r[1])
		}
	}
	return max(limit, 0)
}

// warnDeployment compares the settings with the platform's list and with the keys
// in force.
func (s *settingsText) warnDeployment(facts *Facts) {
	if domains := failureDomains(facts.VMs); len(domains) > 0 && !slices.Contains(domains, s.FailureDomain) {
		s.root.Add("failure_domain", "no VM of the platform's list is in this failure domain", "correct the spelling, or use one of "+strings.Join(domains, ", "))
	}
	s.warnUnlistedPeers(facts.VMs)
	if facts.Current == nil {
		return
	}
	for _, number := range facts.Current.KeyNumbers {
		if number > len(s.JobIDs.KeyFiles) {
			s.root.Table("job_ids").Add("key_files", fmt.Sprintf("has %d files, but version %d uses key %d", len(s.JobIDs.KeyFiles), facts.Current.Version, number),
				"add the file of that key, or run lovagectl set-keys")
		}
	}
}

// warnUnlistedPeers reports addresses of peers that no entry in the list has.
func (s *settingsText) warnUnlistedPeers(vms []platformapi.VM) {
	listed := make(map[string]bool)
	for i := range vms {
		if vms[i].Role == platformapi.RoleEntry {
			listed[vms[i].Address] = true
		}
	}
	if len(listed) == 0 {
		return
	}
	for i, address := range s.Peers.Addresses {
		if !listed[address] && reachable(address) && address != s.Listen.Peer {
			s.root.Table("peers").AddElement("addresses", i, "is not the address of an entry in the platform's list", "use the peer listener of a listed entry")
		}
	}
}

// failureDomains returns the failure domains of the list, sorted.
func failureDomains(vms []platformapi.VM) []string {
	var domains []string
	for i := range vms {
		if domain := vms[i].FailureDomain; domain != "" {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// inForceWarnings reports drains and evacuations in force that cover no VM of the
// list.
func inForceWarnings(facts *Facts) []tomlcheck.Problem {
	if facts.Current == nil || len(facts.VMs) == 0 {
		return nil
	}
	var found []tomlcheck.Problem
	add := func(key, what, remedy string) {
		found = append(found, tomlcheck.Problem{File: fmt.Sprintf("version %d", facts.Current.Version), Key: key, What: what, Remedy: remedy})
	}
	for i, drain := range facts.Current.Drains {
		covers := func(vm platformapi.VM) bool {
			return vm.Role == platformapi.RoleEndpoint &&
				drain.Covers(catalog.Location{Endpoint: vm.Name, Rack: vm.Rack, FailureDomain: vm.FailureDomain})
		}
		if !slices.ContainsFunc(facts.VMs, covers) {
			add(fmt.Sprintf("drain[%d]", i), fmt.Sprintf("the drain of %s %s covers no endpoint of the platform's list", drain.Scope, drain.Name),
				"correct the name, or run lovagectl undrain")
		}
	}
	domains := failureDomains(facts.VMs)
	for i, domain := range facts.Current.Evacuated {
		if !slices.Contains(domains, domain) {
			add(fmt.Sprintf("evacuated[%d]", i), "no VM of the platform's list is in the evacuated failure domain "+domain, "correct the name, or run lovagectl return")
		}
	}
	return found
}
