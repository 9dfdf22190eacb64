// Package follow keeps one process at the newest configuration of the log,
// and publishes changes.
//
// A Follower has two goroutines. The reader tails the configuration stream by
// long polls, with back-off and jitter while the platform fails. The owner
// holds the change.Replica: it takes batches of the reader and messages of
// other goroutines, hands each newer version to Options.OnCatalog, and
// re-publishes a snapshot before the log forgets the last one.
package follow
