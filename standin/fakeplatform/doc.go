// Package fakeplatform implements a stand-in for the platform: the append-only
// log, the list of VMs and the usage reports, with fault switches.
//
// The switches are methods of Platform and are also available over HTTP:
//
//	GET /faults   read the switches
//	PUT /faults   replace all switches, as in {"down": true} or {"slow_ms": 3000}
//
// It takes the time only from package time, so that tests can run it in
// testing/synctest.
package fakeplatform
