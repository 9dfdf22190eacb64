// Package entry is the entry process: it serves callers, communicates with
// endpoints and other entries, and runs the decision logic of package dispatch.
//
// # Components
//
//   - control: the goroutine that owns dispatch.Core with its ledger, and the
//     membership tracker; it publishes immutable snapshots.
//   - jobs: the operations that a caller can perform on jobs; routes each
//     request to the owner of its job ID. callerhttp serves them to callers,
//     peerserver to other entries.
//   - endpointclient: sends tasks, renews leases and reports one outcome for
//     each attempt. wire records whether a request was written.
//   - peerclient, heartbeat, forward, succession: communication with other
//     entries.
//   - configuration, vmlist, outcomes: data stored by the platform.
//   - adminhttp, metrics, observe, explain, decisionlog: the administration API,
//     metrics and logs for operators.
//
// # Goroutines
//
// The control goroutine never waits for I/O. Each HTTP request, each attempt
// of a task and each exchange with a peer has its own goroutine, which sends
// typed messages to the control goroutine and reads its snapshots.
package entry
