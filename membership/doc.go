// Package membership decides who is live, suspect, leaving or gone, from the
// platform's lagging list, heartbeats of other entries and the observed
// behaviour of endpoints. It does no I/O and reads no clock.
package membership
