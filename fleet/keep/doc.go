// Package keep runs shards of stored jobs (package dispatch/stored) on a log. It
// takes a shard over, replays its records, appends the events that the shard
// emits, and releases the shard when another owner has fenced it off.
//
// Each Runner is one goroutine that owns the state of its shard. Other
// goroutines send it requests, which it also answers while it owns nothing.
package keep
