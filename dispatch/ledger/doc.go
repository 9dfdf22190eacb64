// Package ledger is the record of which tasks were started. It is the only
// authority over starts: a task is sent to an endpoint only after Start
// has returned true for that attempt, and Start returns true only at the
// ledger that answers for the owner that the job ID names.
//
// # Life of a job ID
//
//	Absent ──Open──▶ Open ──End──▶ Ended
//	   └────Close────▶ Closed ◀──Close── Open (nothing may have started)
//
// Ended and Closed are final. After the ID's expiry and a margin the record
// is dropped and the state is Forgotten, which admits nothing either.
//
// # Invariants
//
//   - A non-idempotent task has at most one attempt whose fate is not a proof
//     that it did not start. After an attempt that ran, or whose fate is
//     unknown, no further attempt of it is admitted.
//   - A task's result is decided once, by the first attempt that is done. A
//     fate of another attempt of that task changes nothing afterwards, and no
//     attempt is resolved twice.
//   - A job ID moves only forward. No start is admitted for an ID that is
//     Closed, Ended or Forgotten.
//   - Close succeeds only while no task of the job may have started; so an ID
//     that was refused as not run was not run before and cannot run after.
//   - Ran is true if and only if some attempt was started and is not proved
//     not to have started.
//   - The record of an ID is kept until ClockMargin after its expiry, or after
//     its end if that is later; an open job is kept until it ends. The ID is
//     then refused by comparison with the latest expiry dropped, so that a
//     clock that is set back admits no second run.
//
// # Succession
//
// A ledger that stops is handed to one successor, in parts and while it
// serves on. The last part moves the authority over all its IDs at once:
//
//   - Before Give nothing at the successor counts. A successor that fails is
//     replaced by another, and nothing is lost or started twice.
//   - After Give the former owner admits nothing. What it has started is
//     Started at the successor too, which learns the fates from it, or gives
//     them up with Abandon once the former owner is gone. So a task is either
//     waiting at the successor or was started by the former owner, never both.
//   - Give is taken back only on proof that the last part was not accepted
//     and never will be. Without proof the jobs are the successor's.
//   - A part names the incarnation it is for; no other one accepts it.
//   - No record is dropped while it may be handed over, so that the successor
//     never revives a job that has ended since it was told of it.
//
// # Memory
//
// An open job costs one record of fixed size and one of each task. A job ID
// that is Closed or Ended costs two bits in a page of PageIDs consecutive
// sequence numbers. IDs cannot be forged, hence refusals and replays cost no
// more than half a byte for each ID that was issued in sequence and has not
// expired.
//
// The package does no I/O and reads no clock.
package ledger
