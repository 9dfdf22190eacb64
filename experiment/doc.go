// Package experiment contains the load generator, the comparison of policies,
// the soak test and their reports.
package experiment
