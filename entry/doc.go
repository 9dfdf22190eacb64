// Package entry is the system's own process: it serves callers, speaks to
// endpoints and other entries, and runs the decisions of package dispatch.
//
// # Parts
//
//   - control: the goroutine that owns dispatch.Core with its ledger and the
//     membership tracker; it publishes immutable snapshots.
//   - jobs: what a caller can do; routes a job ID to its owner. callerhttp
//     serves it to callers, peerserver to other entries.
//   - endpointclient: sends tasks, renews leases; reports one outcome for each
//     attempt. wire proves what was written.
//   - peerclient, heartbeat, forward, succession: the conversation with other
//     entries.
//   - configuration, vmlist, outcomes: what the platform keeps.
//   - adminhttp, metrics, observe, explain, decisionlog: what operators see.
//
// # Goroutines
//
// The control goroutine never waits for I/O. Each HTTP request, each attempt
// of a task and each exchange with a peer has a goroutine of its own, which
// sends the control goroutine typed messages and reads its snapshot.
package entry
