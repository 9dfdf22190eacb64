// Package control measures the overhead of control traffic for an entry: CPU
// time, memory, and the bytes and messages that the entry exchanges with the
// platform and with other entries while no caller sends jobs.
//
// Measure reads the metrics of running entries twice and returns the
// difference per second and entry. Fit computes slopes from samples that were
// taken at several sizes.
package control
