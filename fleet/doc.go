// Package fleet implements the entry process for fleets of leased endpoints.
// These endpoints run tasks under leases and fencing tokens, and their callers
// choose the job IDs.
//
// Main components:
//
//   - Loop is a single goroutine that owns the control state: the core of
//     package leased and the roster of package membership/cells. Other
//     goroutines read its immutable Snapshot.
//   - Service serves callers. It submits a job to the holder of a cell, and to
//     another holder if the first one is lost.
//   - Each call to another entry has an epoch (epochs.go, callset.go). An entry that
//     gives up calls notifies the other one by its heartbeats (withdrawals.go).
//   - peers.go, server.go and heartbeats.go communicate with other entries: by
//     Twirp for jobs, tasks and snapshots, and by UDP datagrams for heartbeats
//     and free capacity.
//
// Endpoints are reached through the interface in ports.go, and the platform's
// records and the log of stored jobs through the interfaces of packages follow
// and keep. Adapters implement them.
package fleet
