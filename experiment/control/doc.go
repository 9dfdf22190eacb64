// Package control measures what control costs an entry: processor time,
// memory, and the bytes and messages that it exchanges with the platform and
// with other entries while no caller sends jobs.
//
// It reads the metrics of running entries twice and reports the difference
// per second and entry. Fit turns such samples, taken at several sizes, into
// slopes.
package control
