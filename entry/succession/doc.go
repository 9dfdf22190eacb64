// Package succession carries out handovers between entries at planned stops: a
// Sender hands the jobs of a stopping entry over to a successor, and a Receiver
// takes over the jobs of other entries.
package succession
