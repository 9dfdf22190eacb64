// Package keep runs shards of kept jobs (package dispatch/stored) on a log: it
// takes a shard over, reads what stands there, stores what the shard decides,
// and gives the shard up once another owner has fenced it off.
//
// Each Runner is one goroutine that owns its shard's state. Others talk to it
// by requests, which it answers also while it owns nothing.
package keep
