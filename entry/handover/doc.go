// Package handover converts a handover between the messages of the peer protocol
// and the types of package dispatch. The core does not hold the payloads of
// tasks, so they are sent with the submissions, next to the core's records.
package handover
