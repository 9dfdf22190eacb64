package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/follow"
)

// Times of relayed reads.
const (
	// maxAge is the age of a reader's copy from which on others read the log
	// themselves. A reader polls the log twice a second.
	maxAge = 1500 * time.Millisecond
	// askTimeout bounds a call to a reader.
	askTimeout = 400 * time.Millisecond
	// avoidFor is how long a reader is not asked after a call has failed.
	avoidFor = 2 * time.Second
)

// Errors of a reader. Each of them makes the asking entry read the log itself.
var (
	errNoReader = errors.New("this entry does not read the log for others: ask another one, or the log")
	errStale    = errors.New("this entry has not reached the log for some time: ask another one, or the log")
	errBehind   = errors.New("this entry has read less of the log than the caller: ask again later, or the log")
)

// Reader is an entry that reads the log for others.
type Reader struct {
	Name    string
	Address string
}

// Role tells how this entry reads the log.
type Role struct {
	Relays  bool     // it reads the log for others
	Readers []Reader // to be asked in this order; empty: it reads the log itself
}

// Ask asks a reader for the changes since an offset, or for all records if from is
// negative.
type Ask func(ctx context.Context, reader Reader, from int64) ([]follow.Record, int64, error)

// Log is a keyed log that is read directly or through a reader. It implements
// follow.KeyedLog for one follower.
type Log struct {
	direct  follow.KeyedLog
	journal *Journal
	role    func() Role
	ask     Ask
	odd     func(error)          // called with each *OddReplyError
	avoid   map[string]time.Time // readers that have failed, and until when they are not asked

	keys       map[string]struct{} // that this entry knows
	reached    int64               // offset up to which it has read
	listedBy   string              // reader that has sent the newest list; empty: the log
	listDirect bool                // the log itself has no records at reached
}

// NewLog returns a log. The function role is called before each read, and odd with each
// *OddReplyError of a reader.
func NewLog(direct follow.KeyedLog, journal *Journal, role func() Role, ask Ask, odd func(error)) *Log {
	return &Log{direct: direct, journal: journal, role: role, ask: ask, odd: odd, avoid: make(map[string]time.Time), keys: make(map[string]struct{})}
}

// Newest implements follow.KeyedLog.
func (l *Log) Newest(ctx context.Context) ([]follow.Record, int64, error) {
	role := l.role()
	if !l.listDirect {
		if records, next, err := l.askReaders(ctx, role, -1); err == nil {
			return records, next, nil
		}
	}
	records, next, err := l.direct.Newest(ctx)
	if err != nil {
		return nil, 0, err
	}
	if role.Relays {
		l.journal.List(time.Now(), records, next)
	}
	l.listDirect, l.listedBy = false, ""
	l.advance(records, next, true)
	return records, next, nil
}

// Read implements follow.KeyedLog.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) ([]follow.Record, int64, error) {
	role := l.role()
	if !role.Relays {
		l.journal.Invalidate()
		records, next, err := l.askReaders(ctx, role, from)
		if isGap(err) || err == nil {
			return records, next, err
		}
		return l.readDirect(ctx, from, wait)
	}
	if !l.journal.Continues(from) {
		return nil, 0, &follow.GapError{From: from} // a reader needs all records
	}
	records, next, err := l.readDirect(ctx, from, wait)
	if err == nil {
		l.journal.Append(time.Now(), records, next)
	}
	return records, next, err
}

// readDirect reads the log itself. After a gap there, the next list is that of the log:
// the offset may be one that only a reader has named.
func (l *Log) readDirect(ctx context.Context, from int64, wait time.Duration) ([]follow.Record, int64, error) {
	records, next, err := l.direct.Read(ctx, from, wait)
	if err != nil {
		l.listDirect = l.listDirect || isGap(err)
		return nil, 0, err
	}
	l.advance(records, next, false)
	return records, next, nil
}

// askReaders asks the readers in turn. It returns errNoReader if there is none.
func (l *Log) askReaders(ctx context.Context, role Role, from int64) ([]follow.Record, int64, error) {
	err := errNoReader
	for _, reader := range role.Readers {
		if time.Now().Before(l.avoid[reader.Name]) {
			continue
		}
		var records []follow.Record
		var next int64
		records, next, err = l.askReader(ctx, reader, from)
		if isGap(err) || err == nil {
			delete(l.avoid, reader.Name)
			return records, next, err
		}
		if _, odd := errors.Into[*OddReplyError](err); odd {
			l.odd(err)
		}
		l.avoid[reader.Name] = time.Now().Add(avoidFor)
	}
	return nil, 0, err
}

// askReader asks a reader, and uses its reply only as a whole.
func (l *Log) askReader(ctx context.Context, reader Reader, from int64) ([]follow.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	records, next, err := l.ask(ctx, reader, from)
	if isGap(err) && l.gapAgain(reader, from) {
		return nil, 0, errGapAgain
	}
	if err == nil {
		err = l.check(reader, from, records, next)
	}
	if err != nil {
		return nil, 0, err
	}
	if from < 0 {
		l.listedBy = reader.Name
	}
	l.advance(records, next, from < 0)
	return records, next, nil
}
