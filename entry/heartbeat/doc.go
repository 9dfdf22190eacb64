// Package heartbeat exchanges liveness, load and configuration versions with
// other entries, within a byte budget.
//
// One exchange carries the state of both sides, so of each pair only the side
// that has not heard of the other for a spacing calls. Entries of one failure
// domain exchange every spacing; one entry of each failure domain, the
// delegate, exchanges with one delegate of every other. What an entry hears
// of others it passes on, a few entries a message.
package heartbeat
