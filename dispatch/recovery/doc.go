// Package recovery decides which queued jobs a holder can still answer while its
// capacity is not what the platform announces: after a loss of power, while
// endpoints are taken over, and after endpoints were lost or have left. It does
// no I/O and reads no clock.
//
// A Tracker compares the announced capacity with the capacity whose endpoints
// answer. While it is active, Unservable returns the jobs that the present and
// the expected capacity cannot serve before their deadlines. They are rejected at
// once, so that their callers need not wait for a failure, and Spread delays the
// callers' retries by different times.
package recovery
