// Package fleet is the entry process for fleets of leased endpoints: those
// that run tasks under leases and fencing tokens, and whose callers choose
// the job IDs.
//
// Its parts:
//
//   - Loop, one goroutine, owns the control state: the decisions of package
//     leased and the roster of package membership/cells. Others read its
//     immutable Snapshot.
//   - Service serves callers: it finds the holder of a cell, hands the job
//     over, and hands it to the next one if that holder is lost.
//   - peers.go, server.go and heartbeats.go speak to other entries: twirp for jobs,
//     tasks and snapshots, datagrams for heartbeats and free room.
//
// What lies outside is reached through the interfaces in ports.go; an adapter
// implements them.
package fleet
