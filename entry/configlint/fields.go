package configlint

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/configdiff"
	"lovagespread.example/logservice/platformapi"
)

// memory formats mebibytes as in the services file.
func memory(mib int) string { return strconv.Itoa(mib) + "MiB" }

// rate formats task starts per second.
func rate(perSecond float64) string {
	if perSecond == 0 {
		return "no limit"
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// serviceChanges returns the keys in which two services of one name differ.
func serviceChanges(before, after catalog.Service) []configdiff.FieldChange {
	var l configdiff.Fields
	harm := configdiff.Other
	if after.Idempotent {
		harm = configdiff.MayRunTwice
	}
	l.Add("idempotent", strconv.FormatBool(before.Idempotent), strconv.FormatBool(after.Idempotent), harm)
	configdiff.Limit(&l, "slots", before.Slots, after.Slots, true, strconv.Itoa)
	configdiff.Limit(&l, "timeout", before.Timeout, after.Timeout, true, time.Duration.String)
	configdiff.Limit(&l, "milli_cores", before.Needs.MilliCores, after.Needs.MilliCores, false, strconv.Itoa)
	configdiff.Limit(&l, "memory", before.Needs.MemoryMiB, after.Needs.MemoryMiB, false, memory)
	configdiff.Limit(&l, "accelerators", before.Needs.Accelerators, after.Needs.Accelerators, false, strconv.Itoa)
	l.Add("run_time", before.RunTime.String(), after.RunTime.String(), configdiff.Other)
	if !slices.Equal(before.DependsOn, after.DependsOn) {
		l.Add("depends_on", fmt.Sprint(before.DependsOn), fmt.Sprint(after.DependsOn), configdiff.Other)
	}
	return l
}

// teamChanges returns the keys in which two teams of one name differ. A rate of 0
// is no limit, and the burst counts only with a rate.
func teamChanges(before, after catalog.Team) []configdiff.FieldChange {
	var l configdiff.Fields
	configdiff.Limit(&l, "weight", before.Weight, after.Weight, true, strconv.Itoa)
	rateHarm, burstHarm := configdiff.Other, configdiff.Other
	if after.TasksPerSecond > 0 {
		if before.TasksPerSecond == 0 || after.TasksPerSecond < before.TasksPerSecond {
			rateHarm = configdiff.LoweredLimit
		}
		if after.Burst < before.Burst {
			burstHarm = configdiff.LoweredLimit
		}
	}
	l.Add("tasks_per_second", rate(before.TasksPerSecond), rate(after.TasksPerSecond), rateHarm)
	l.Add("burst", strconv.Itoa(before.Burst), strconv.Itoa(after.Burst), burstHarm)
	return l
}

// compare compares the entry with the platform's list, which is all that is known
// of the settings in force. An entry that is not listed is new.
func (s *settingsText) compare(vms []platformapi.VM) []configdiff.Difference {
	if len(vms) == 0 {
		return nil
	}
	i := slices.IndexFunc(vms, func(vm platformapi.VM) bool { return vm.Role == platformapi.RoleEntry && vm.Name == s.Name })
	if i < 0 {
		return []configdiff.Difference{{What: "entry", Name: s.Name, Change: "added", Harm: configdiff.Added}}
	}
	var l configdiff.Fields
	if reachable(s.Listen.Peer) {
		l.Add("listen.peer", vms[i].Address, s.Listen.Peer, configdiff.Address)
	}
	l.Add("failure_domain", vms[i].FailureDomain, s.FailureDomain, configdiff.Address)
	l.Add("region", vms[i].Region, s.Region, configdiff.Address)
	if len(l) == 0 {
		return nil
	}
	return []configdiff.Difference{configdiff.Changed("entry", s.Name, l)}
}
