// Package follow keeps a process up to date with the newest configuration in the
// log, and publishes changes.
//
// A Follower has two goroutines. The reader tails the configuration stream with
// long polls, and retries with backoff and jitter while the platform fails. The
// owner holds the change.Replica: it handles batches from the reader and commands
// from other goroutines, passes each newer version to Options.OnCatalog, and
// writes a new snapshot before the log trims the last one.
package follow
