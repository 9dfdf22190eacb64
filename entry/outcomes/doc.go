// Package outcomes writes what became of jobs behind to the platform's log,
// and finds it there for callers whose owner entry is gone.
//
// Writing behind costs the caller no time and gives no promise: a crash loses
// what was not yet appended, an overloaded log drops the oldest, and the log
// forgets. A missing outcome therefore proves nothing.
//
// Nobody reads the stream until an owner is gone. Then one scan over the
// lifetime of its job IDs collects the outcomes of that owner.
package outcomes
