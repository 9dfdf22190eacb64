package relay

import (
	"fmt"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/follow"
)

// Limits of what a reader's reply may hold.
const (
	maxKeyBytes   = 255     // the log stores the length of a key in one byte
	maxValueBytes = 1 << 20 // far above any endpoint's record, which has some 500 bytes
	// maxOffset is a number of records that no log reaches: 100,000 a second for 300
	// years. An entry that followed a reader beyond the log would see no change any more.
	maxOffset = 1 << 50
)

// OddReplyError reports a reply that no reader of a supported version sends. The caller
// uses nothing of it, and reads the log itself.
type OddReplyError struct{ Reader, Reason string }

func (e *OddReplyError) Error() string {
	return fmt.Sprintf("the entry %q relays what is not the log: %s; check its version, and restart it", e.Reader, e.Reason)
}

// Errors of replies that a sound reader may send, too. The log itself is asked instead.
var (
	errShortList = errors.New("the list has no keys, or less than half of those that were known: ask the log")
	errGapAgain  = errors.New("a gap at the offset that the reader has just named: ask the log")
)

// check returns an *OddReplyError if a reply would make this entry lose records or its
// place in the log, and errShortList for a list that may.
func (l *Log) check(reader Reader, from int64, records []follow.Record, next int64) error {
	reason := ""
	switch {
	case next < l.reached || next < from || next > maxOffset:
		reason = fmt.Sprintf("offset %d after %d", next, max(from, l.reached))
	case from < 0 && (len(records) == 0 || 2*len(records) < len(l.keys)):
		return errShortList
	}
	seen := make(map[string]bool)
	for _, r := range records {
		if r.Key == "" || len(r.Key) > maxKeyBytes || len(r.Value) > maxValueBytes {
			reason = fmt.Sprintf("a key of %d and a value of %d bytes", len(r.Key), len(r.Value))
		}
		if from < 0 && seen[r.Key] {
			reason = "two records of one key in a list"
		}
		if from < 0 {
			seen[r.Key] = true
		}
	}
	if reason != "" {
		return &OddReplyError{reader.Name, reason}
	}
	return nil
}

// gapAgain reports whether a reader names a gap at the very offset that it has named
// after a list. It may have listed the log anew; but if it is broken, another list would
// end in the same gap, at each poll.
func (l *Log) gapAgain(reader Reader, from int64) bool {
	return l.listedBy == reader.Name && from == l.reached
}

// advance records what was read up to an offset.
func (l *Log) advance(records []follow.Record, next int64, listed bool) {
	if listed {
		l.keys = make(map[string]struct{}, len(records))
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(l.keys, r.Key)
			continue
		}
		l.keys[r.Key] = struct{}{}
	}
	l.reached = next
}

func isGap(err error) bool {
	_, gap := errors.Into[*follow.GapError](err)
	return gap
}
