// Package heartbeat exchanges liveness, load and configuration versions with
// other entries, within a byte budget.
//
// An exchange carries the state of both sides, so the side of a pair that first
// misses an exchange for the length of the interval calls the other. The entries
// of a failure domain exchange heartbeats with each other. One entry of each
// failure domain, its representative, exchanges heartbeats with one
// representative of every other failure domain. Entries relay what they receive
// about others, a few entries per message.
package heartbeat
