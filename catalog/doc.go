// Package catalog holds what operators publish: the services text, the teams
// and their quotas, and the rules by which one version of the configuration
// follows another.
//
// Everything in this package is pure: no I/O, clock or goroutine.
package catalog
