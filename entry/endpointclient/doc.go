// Package endpointclient sends tasks to endpoints over HTTP.
//
// # Invariants
//
//   - Each attempt sends at most one request to the endpoint. The transport never
//     sends a request a second time: requests have no Idempotency-Key and their
//     body cannot be rewound.
//   - dispatch.Lost has NotSent set only if no byte of the attempt was written on
//     any connection and none can be written any more.
//   - No attempt is written after the end of its lease.
//   - Every attempt reports exactly one outcome.
package endpointclient
