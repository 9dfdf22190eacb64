// Package catalog defines the configuration that operators publish: services,
// teams with their quotas, and drains. It parses the services file and checks
// a configuration before it comes into force.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine.
package catalog
