// Package handover translates a hand-over between the messages of the peer
// protocol and the types of package dispatch. The core knows no payloads:
// they travel with their submission beside it.
package handover
