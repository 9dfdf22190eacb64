// Package experiment holds the load generator, the comparison of policies and
// the reports.
package experiment
