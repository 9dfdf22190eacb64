// Package fakeplatform stands in for the platform: the append-only log, the
// list of VMs and the usage reports, with fault switches.
//
// The switches are methods of Platform, and the same over HTTP:
//
//	GET /faults   the switches as they are
//	PUT /faults   set all switches, as in {"down": true} or {"slow_ms": 3000}
//
// It takes the time from package time alone, so that testing/synctest drives
// it.
package fakeplatform
