// Package entry is the system's own process: it serves callers, speaks to
// endpoints and other entries, and runs the decisions of package dispatch.
package entry
