// Package membership decides which entries and endpoints are live, suspect,
// leaving or gone. It uses the platform's list, which lags, the heartbeats of
// other entries and the observed behaviour of endpoints. It does no I/O and
// reads no clock.
//
//	tracker := membership.New(membership.Options{...})
//	view, changed := tracker.Step(now, input)
//
// # Invariants
//
//   - A list that is older than the latest one, is empty, or lacks more than
//     half of the known endpoints moves no member to gone.
//   - An endpoint that reports that it is leaving becomes leaving at once,
//     regardless of the list, until the endpoint itself reports otherwise.
//   - What an entry reports about itself under a higher sequence number
//     overrides all other information about it.
//   - An incarnation that is gone never becomes live again under a lower
//     sequence number. Its record is kept for Options.Retention, so that the
//     owner of a job ID can be distinguished from one that never existed.
package membership
