package fleet

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
)

// oddRecordDelay is how long a record that does not fit the earlier one of a sound
// endpoint is kept back. Executors write every 1.5 s at most, and entries read their
// records once a second.
const oddRecordDelay = 2500 * time.Millisecond

// steadyLog is the log of the endpoints' records without those of other writers that
// replace the record of a sound endpoint for a moment. An unusable record, and one that
// changes what an endpoint keeps while it runs, is passed on only when it has stood for
// oddRecordDelay. A new endpoint's record and a deletion are passed on at once. It
// implements follow.KeyedLog for one follower.
type steadyLog struct {
	follow.KeyedLog
	decoder  *recordDecoder
	now      func() time.Time
	log      *zap.Logger
	passed   map[string]*decodedEndpoint // the usable records that were passed on last
	keptBack map[string]keptRecord
}

// keptRecord is a record that is kept back.
type keptRecord struct {
	record follow.Record
	since  time.Time
}

func newSteadyLog(direct follow.KeyedLog, decoder *recordDecoder, log *zap.Logger) *steadyLog {
	return &steadyLog{
		KeyedLog: direct, decoder: decoder, now: time.Now, log: log,
		passed: make(map[string]*decodedEndpoint), keptBack: make(map[string]keptRecord),
	}
}

// Newest implements follow.KeyedLog.
func (l *steadyLog) Newest(ctx context.Context) ([]follow.Record, int64, error) {
	list, next, err := l.KeyedLog.Newest(ctx)
	if err != nil {
		return nil, 0, err
	}
	listed := make(map[string]bool, len(list))
	steady := make([]follow.Record, 0, len(list))
	for _, r := range list {
		listed[r.Key] = true
		if !l.passes(r) {
			earlier, known := l.passed[r.Key]
			if !known {
				continue
			}
			r.Value = earlier.record
		}
		steady = append(steady, r)
	}
	maps.DeleteFunc(l.passed, func(key string, _ *decodedEndpoint) bool { return !listed[key] })
	maps.DeleteFunc(l.keptBack, func(key string, _ keptRecord) bool { return !listed[key] })
	l.decoder.retain(listed)
	return steady, next, nil
}

// Read implements follow.KeyedLog.
func (l *steadyLog) Read(ctx context.Context, from int64, wait time.Duration) ([]follow.Record, int64, error) {
	records, next, err := l.KeyedLog.Read(ctx, from, wait)
	if err != nil {
		return nil, 0, err
	}
	steady := make([]follow.Record, 0, len(records))
	for _, r := range records {
		if l.passes(r) {
			steady = append(steady, r)
		}
	}
	for _, kept := range l.keptBack {
		if l.passes(kept.record) {
			steady = append(steady, kept.record)
		}
	}
	return steady, next, nil
}

// passes reports whether a record is passed on. It keeps a copy of one that is not.
func (l *steadyLog) passes(r follow.Record) bool {
	if len(r.Value) == 0 {
		delete(l.passed, r.Key)
		delete(l.keptBack, r.Key)
		l.decoder.forget(r.Key)
		return true
	}
	decoded := l.decoder.decode(r.Key, r.Value)
	if _, panicked := errors.Into[*decodePanicError](decoded.err); panicked {
		return false // its decoding would end the process
	}
	earlier, known := l.passed[r.Key]
	if known && !continues(&earlier.endpoint, decoded) {
		kept, again := l.keptBack[r.Key]
		if !again {
			kept.since = l.now()
			l.log.Warn("record_kept_back", zap.String("endpoint", r.Key), zap.Bool("usable", decoded.err == nil), zap.String("address", decoded.endpoint.Address),
				zap.String("service", decoded.endpoint.Service), zap.String("failure_domain", decoded.endpoint.FailureDomain), zap.Error(decoded.err))
		}
		if l.now().Sub(kept.since) < oddRecordDelay {
			l.keptBack[r.Key] = keptRecord{r, kept.since}
			return false
		}
	}
	delete(l.keptBack, r.Key)
	delete(l.passed, r.Key)
	if decoded.err == nil {
		l.passed[r.Key] = decoded
	}
	return true
}

// continues reports whether a record may be the next one of an endpoint. Its address,
// service and failure domain stay while it runs. A change of its capacity counts at once:
// tasks that do not fit any more must not be started.
func continues(earlier *leased.Endpoint, next *decodedEndpoint) bool {
	e := &next.endpoint
	return next.err == nil && e.Address == earlier.Address && e.Service == earlier.Service && e.FailureDomain == earlier.FailureDomain
}

// recordDecoder decodes the records of endpoints, and remembers the newest one of each
// key. The journal and the steadyLog of one follower use it in turn.
type recordDecoder struct {
	decodeEndpoint func(key string, record []byte) (leased.Endpoint, error)
	newest         map[string]*decodedEndpoint
	log            *zap.Logger
}

func newRecordDecoder(decode func(key string, record []byte) (leased.Endpoint, error), log *zap.Logger) *recordDecoder {
	return &recordDecoder{decode, make(map[string]*decodedEndpoint), log}
}

func (d *recordDecoder) decode(key string, record []byte) *decodedEndpoint {
	if newest := d.newest[key]; newest != nil && bytes.Equal(newest.record, record) {
		return newest
	}
	decoded := &decodedEndpoint{record: record}
	decoded.endpoint, decoded.err = d.decodeSafely(key, record)
	d.newest[key] = decoded
	return decoded
}

// decodePanicError reports a record whose decoding has panicked.
type decodePanicError struct {
	key   string
	cause any
}

func (e *decodePanicError) Error() string {
	return fmt.Sprintf("decoding the record %s has panicked (%v): report it with the record", e.key, e.cause)
}

// decodeSafely turns a panic into an error: any client of the store can write a record,
// and one that ends the process would end it again after each start.
func (d *recordDecoder) decodeSafely(key string, record []byte) (e leased.Endpoint, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &decodePanicError{key, cause}
			d.log.Error("operation_panicked", zap.String("operation", "decode_endpoint"), zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	return d.decodeEndpoint(key, record)
}

func (d *recordDecoder) forget(key string) { delete(d.newest, key) }

// retain forgets all keys but the listed ones.
func (d *recordDecoder) retain(listed map[string]bool) {
	maps.DeleteFunc(d.newest, func(key string, _ *decodedEndpoint) bool { return !listed[key] })
}
