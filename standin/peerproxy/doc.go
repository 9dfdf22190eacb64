// Package peerproxy passes on the traffic between entries on the local VM, with
// fault switches for each pair of entries and direction. The entries need no setting
// of their own for it:
//
//	entry → address of another entry at the proxy → the other entry
//
// Each entry listens on its own address, 127.0.N.x, and announces it. The proxy
// changes the announcements: heartbeats reach an entry at 127.1.N.x. For calls each
// caller gets another address of the same entry, so that the proxy knows who calls.
package peerproxy
