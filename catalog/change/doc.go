// Package change implements the rules that turn the records of the
// configuration stream into versions of the configuration. It does no I/O.
//
// # Records
//
// A record is a Change or a Snapshot in an envelope with a format number and
// a checksum. A Change names the version that it is based on. A Snapshot
// holds a complete version, so that the log can trim older records.
//
// # Rules
//
//   - A change is accepted if and only if its base is the version in force at
//     its offset; the version then increases by one. The first change on a base
//     therefore wins, and all readers reach the same decision from the records
//     alone.
//   - A duplicate of an accepted change is not accepted again, because its base
//     is no longer the version in force.
//   - Every reader skips and counts a record that it cannot decode or whose
//     format is newer than the format in use. A new format is put in use by a
//     change (RaiseFormat) in a format that older readers understand.
//   - An accepted change can always be applied: the complete result is checked
//     before publication (see Prepare), and the change is accepted only on the
//     base that it was checked with.
//   - The version in force never decreases.
//
// # Gaps
//
// A Replica that has missed records continues to serve the version that it has.
// It postpones the evaluation of further records until a snapshot in the log, or
// a copy from another replica, provides the state at an offset from which the
// replica has all records. A snapshot therefore says which records it includes
// (NextOffset); the offset at which it was written is not enough.
package change
