// Package change holds the rules by which records of the configuration stream
// become versions of the configuration. It does no I/O.
//
// # Records
//
// A record is a Change or a Snapshot in an envelope with a format number and
// a checksum. A Change names the version that it is based on. A Snapshot
// holds a whole version, so that older records may be forgotten.
//
// # Rules
//
//   - A change is accepted if and only if its base is the version in force at
//     its offset; the version then rises by one. So the first change on a base
//     wins, and every reader decides alike from the records alone.
//   - A second copy of a change can't be accepted again: its base has passed.
//   - A record that can't be read, or whose format is newer than the format in
//     use, is skipped by every reader and counted. A new format is put in use
//     by a change (RaiseFormat) that readers of the old format understand.
//   - A change always applies: the whole result is checked before publication
//     (see Prepare), and it is in force only on the base it was checked with.
//   - The version in force never falls.
//
// # Gaps
//
// A Replica that has missed records keeps serving what it has, and holds back
// its judgement until a snapshot or a copy of another replica tells the state
// at an offset from which on it has every record. A snapshot therefore says
// which records it includes (Through), not only where it was written.
package change
