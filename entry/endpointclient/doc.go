// Package endpointclient sends tasks to endpoints over HTTP.
//
// # Invariants
//
//   - One call of the endpoint is made for one attempt. The transport never
//     sends a request again: requests carry no Idempotency-Key and their body
//     cannot be rewound.
//   - dispatch.Lost has NotSent only if no byte of the attempt was written on
//     any connection and none can be any more.
//   - No attempt is written after the end of its lease.
//   - Every attempt reports exactly one outcome.
package endpointclient
