package fleet

import "go.uber.org/zap"

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
