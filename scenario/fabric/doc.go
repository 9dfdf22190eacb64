// Package fabric is an in-memory network for scenarios in virtual time. Hosts
// have names. The link between two hosts can be cut and healed, and single
// connections can become silent permanently.
//
// To a program, connections behave like TCP: data written while a link is cut
// arrives after the link is healed; a dial over a cut link blocks until its
// context ends; a dial to an address without a listener fails at once; and
// connections to a removed host are reset.
package fabric
