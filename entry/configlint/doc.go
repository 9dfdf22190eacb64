// Package configlint checks settings and services files before they are used. It
// reports the errors that the parsers of the entries report, warns about entries
// that can never match and limits that contradict each other, and lists how a
// configuration differs from the one in force, most harmful first.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. What
// it reports follows from the texts and from Facts alone. A text without errors is
// accepted by catalog.ParseServices or settings.Parse.
package configlint
