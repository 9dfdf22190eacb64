package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
)

// setDirectory is a message that updates the configuration if it is newer, and
// the endpoints if they are given.
type setDirectory struct{ directory Directory }

func (m setDirectory) handle(l *Loop) {
	d := m.directory
	changed := d.Endpoints != nil
	if d.Configuration != nil && d.Version > l.directory.Version {
		l.directory.Version = d.Version
		l.directory.Configuration = d.Configuration
		changed = true // it may name other services
		l.log.Info("configuration_in_force", zap.Uint64("version", d.Version), zap.Int("queues", len(d.Configuration.Queues)))
	}
	if d.Endpoints != nil {
		l.directory.Endpoints = d.Endpoints
	}
	if changed {
		l.assignEndpoints()
	}
	l.publish()
}

// peerDirectory is a message with the directory of another entry. Its endpoints
// are used only while this entry has read none itself.
type peerDirectory struct{ directory Directory }

func (m peerDirectory) handle(l *Loop) {
	if len(l.directory.Endpoints) > 0 {
		m.directory.Endpoints = nil
	}
	if e := m.directory.Evacuations; e != nil {
		peerEvacuations{*e}.handle(l)
	}
	setDirectory(m).handle(l)
}

// InvalidDirectoryError reports a directory of another entry that no correct entry sends.
// No part of it is used.
type InvalidDirectoryError struct{ Reason string }

func (e *InvalidDirectoryError) Error() string {
	return "the directory of another entry is not valid: " + e.Reason + "; check that it runs a supported version"
}

// validate returns an *InvalidDirectoryError for a directory of another entry that holds
// what no record of the platform describes.
func (d *Directory) validate() error {
	if d.Configuration != nil && d.Configuration.Version != d.Version {
		return &InvalidDirectoryError{fmt.Sprintf("version %d of the configuration is told as %d", d.Configuration.Version, d.Version)}
	}
	if d.Evacuations != nil && d.Evacuations.Revision < 0 {
		return &InvalidDirectoryError{fmt.Sprintf("revision %d of evacuations", d.Evacuations.Revision)}
	}
	if d.Evacuations != nil && slices.Contains(d.Evacuations.Domains, "") {
		return &InvalidDirectoryError{"an evacuated failure domain has no name"}
	}
	ids := make(map[leased.EndpointID]bool, len(d.Endpoints))
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		if reason := invalidEndpoint(e); reason != "" || ids[e.ID] {
			return &InvalidDirectoryError{fmt.Sprintf("endpoint %q: %s", e.ID, cmp.Or(reason, "it is listed twice"))}
		}
		ids[e.ID] = true
	}
	return nil
}

// invalidEndpoint returns why no record describes an endpoint, or "".
func invalidEndpoint(e *leased.Endpoint) string {
	_, addressErr := ParseAddress(e.Address)
	switch {
	case e.ID == "" || e.Address == "" || e.Service == "" || e.FailureDomain == "":
		return "its ID, address, service or failure domain is missing"
	case addressErr != nil:
		return addressErr.Error()
	case e.Capacity.MilliCores <= 0 || e.Capacity.MemoryMiB < 0 || e.Capacity.Accelerators < 0 ||
		max(e.Capacity.MilliCores, e.Capacity.MemoryMiB, e.Capacity.Accelerators) > leased.MaxDemand:
		return fmt.Sprintf("capacity %+v", e.Capacity)
	case e.Cold < 0 || e.Cold > leased.MaxJobTime || e.Remaining < 0 || e.Remaining > leased.MaxJobTime:
		return fmt.Sprintf("cold start of %v, %v left", e.Cold, e.Remaining)
	case e.Born < 0:
		return fmt.Sprintf("start %d", e.Born)
	}
	return ""
}
