// Package membership decides who is live, suspect, leaving or gone, from the
// platform's lagging list, heartbeats of other entries and the observed
// behaviour of endpoints. It does no I/O and reads no clock.
//
//	tracker := membership.New(membership.Options{...})
//	view, changed := tracker.Step(now, input)
//
// # Invariants
//
//   - A list that is older than the latest one, empty, or has lost more than
//     half of the known endpoints changes no member to gone.
//   - An endpoint that says that it is leaving is leaving at once, whatever
//     the list says, until it says otherwise itself.
//   - What an entry says of itself with a higher sequence wins over all else.
//   - An incarnation that is gone never comes back to life under a lower
//     sequence, and its record stays for Options.Retention, so that the owner
//     of a job ID can be told from one that never existed.
package membership
