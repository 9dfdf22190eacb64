// Package heartbeat exchanges liveness, load and configuration versions with
// other entries, within a byte budget.
//
// An exchange carries the state of both sides, so only one side of a pair needs
// to call: the first whose interval since the last exchange has passed. The
// entries of a failure domain exchange heartbeats with each other. One entry of
// each failure domain, its representative, exchanges heartbeats with one
// representative of every other failure domain. Entries relay what they receive
// about others, a few entries per message.
package heartbeat
