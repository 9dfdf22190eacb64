// Package faultnet wraps listeners so that their connections can go silent,
// break or slow down on demand.
//
// A silent connection stays open, accepts what the peer writes, and neither
// delivers nor answers any of it. New connections are not affected, unless
// SetSilent asks for that.
package faultnet
