// Package faultnet wraps listeners so that their connections can be made
// silent, reset or slow on demand. Proxy does the same between two processes, for
// each direction.
//
// A silent connection is a black hole: it stays open, accepts and discards what
// the peer writes, and sends nothing. New connections work, unless SetSilent
// makes them silent too.
package faultnet
