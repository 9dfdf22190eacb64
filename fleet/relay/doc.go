// Package relay lets most entries of a large failure domain follow a keyed log
// through a few others, the readers, instead of the log itself. Every writer
// renews its records all the time, so that the log's readers get far more bytes
// than there are changes, and the log limits the bytes of all readers together.
//
// A reader reads the log and journals the changes that matter. The others poll a
// reader. Offsets are those of the log everywhere, so that an entry can change
// between readers and the log itself at any time: it does if a reader does not
// answer, has lost the log, or is behind.
package relay
