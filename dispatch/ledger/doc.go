// Package ledger records which tasks were started. It is the only authority
// over starts: a task is sent to an endpoint only after Start has returned true
// for that attempt, and Start returns true only on the ledger that is
// authoritative for the owner named in the job ID.
//
// # Lifecycle of a job ID
//
//	Absent ──Open──▶ Open ──End──▶ Ended
//	   └────Close────▶ Closed ◀──Close── Open (if no task may have started)
//
// Ended and Closed are final. The record is dropped once the ID has expired
// and ClockMargin has passed. The state is then Expired, which permits no
// start either.
//
// # Invariants
//
//   - A non-idempotent task has at most one attempt that is not proved not to
//     have started. After an attempt that ran, or whose status is unknown, no
//     further attempt of the task is permitted.
//   - The first attempt that is done decides the result of a task. A status of
//     another attempt of the task changes nothing afterwards, and no attempt
//     is resolved twice.
//   - A job ID only moves forward through its states. No start is permitted
//     for an ID that is Closed, Ended or Expired.
//   - Close succeeds only while no task of the job may have started. An ID
//     that was rejected as not run therefore did not run before and cannot run
//     afterwards.
//   - Ran is true if and only if at least one attempt was started and is not
//     proved not to have started.
//   - The record of an ID is retained until ClockMargin after the ID's expiry
//     or after the job's end, whichever is later. The record of an open job is
//     retained until the job ends. Once a record is dropped, the ID is refused
//     by comparison with the latest expiry dropped, so a clock that is set back
//     cannot permit a second run.
//
// # Handover
//
// A ledger that stops is handed over to one successor. It sends its records in
// parts and continues to serve meanwhile. The last part transfers the
// authority over all its IDs at once:
//
//   - Before Relinquish, the records at the successor have no effect. A
//     successor that fails can be replaced by another one, and nothing is lost
//     or started twice.
//   - After Relinquish, the former owner permits no start. Attempts that it
//     has started are Started at the successor too. The successor receives
//     their status from the former owner, or records it as unknown with
//     ResolveAsUnknown once the former owner is gone. A task is therefore
//     either waiting at the successor or was started by the former owner,
//     never both.
//   - Relinquish is reverted only on proof that the last part was not accepted
//     and never will be. Without that proof the jobs belong to the successor.
//   - A part names the incarnation that it is intended for. No other
//     incarnation accepts it.
//   - No record is dropped while it may still be handed over. Otherwise the
//     successor could revive a job that has ended since it received the job's
//     record.
//
// # Memory
//
// An open job takes one record of fixed size and one record for each task. A
// job ID that is Closed or Ended takes two bits in a page of PageIDs
// consecutive sequence numbers. IDs cannot be forged, so rejected and replayed
// submissions take at most half a byte for each ID that was issued in sequence
// and has not expired.
//
// The package performs no I/O and reads no clock.
package ledger
