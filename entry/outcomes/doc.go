// Package outcomes writes the outcomes of jobs asynchronously to the platform's
// log, and finds them there for callers whose owner entry is gone.
//
// The asynchronous writes add no latency for callers and guarantee nothing: a
// crash loses the outcomes that were not yet appended, the oldest are dropped if
// the log is overloaded, and the log is trimmed. A missing outcome therefore
// proves nothing.
//
// The stream is read only when an owner is gone. One scan over the lifetime of
// its job IDs then collects the outcomes of that owner.
package outcomes
