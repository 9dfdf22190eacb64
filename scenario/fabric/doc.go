// Package fabric is a network in memory for scenarios in virtual time. Hosts
// have names; a link between two hosts can be cut and healed, and single
// connections can go silent for good.
//
// A connection behaves like TCP seen from the program: what is written while
// a link is cut arrives after it is healed; a dial over a cut link hangs until
// its context ends; a dial to an address without a listener fails at once; a
// connection to a host that was removed is reset.
package fabric
