// Package eventlog writes the structured log of a process as JSON lines. It
// limits the number of lines per second and does not block the caller on writes.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the log.
const (
	// infoLinesPerSecond limits lines at level info to what costs a few percent of
	// a small VM's processor.
	infoLinesPerSecond = 300
	// warnLinesPerSecond limits lines at level warn and above.
	warnLinesPerSecond = 600
	flushInterval      = 250 * time.Millisecond
	maxBufferedBytes   = 512 << 10
	// maxWriteBytes is the size up to which writes to a pipe are atomic, so that
	// lines of processes that share a pipe do not mix.
	maxWriteBytes = 4096
)

// Log is a logger with its writer.
type Log struct {
	*zap.Logger
	writer  *writer
	Dropped *atomic.Int64 // number of dropped lines
}

// New returns a log that writes to out from a separate goroutine. Close flushes
// it.
func New(out io.Writer, level zapcore.Level) *Log {
	w := newWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level)
	limited := &limitedCore{Core: core, limiter: &rateLimiter{}, dropped: &w.dropped}
	return &Log{Logger: zap.New(limited), writer: w, Dropped: &w.dropped}
}

// Close writes the buffered lines and stops the log.
func (l *Log) Close() { l.writer.close() }

// rateLimiter counts the lines in the current second.
type rateLimiter struct {
	mu        sync.Mutex
	second    int64
	infoLines int
	warnLines int
}

func (r *rateLimiter) allow(e zapcore.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := e.Time.Unix(); s != r.second {
		r.second, r.infoLines, r.warnLines = s, 0, 0
	}
	if e.Level >= zapcore.WarnLevel {
		r.warnLines++
		return r.warnLines <= warnLinesPerSecond
	}
	r.infoLines++
	return r.infoLines <= infoLinesPerSecond
}

// limitedCore drops lines above the rate limit.
type limitedCore struct {
	zapcore.Core
	limiter *rateLimiter
	dropped *atomic.Int64
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(errorsAsText(fields)), limiter: c.limiter, dropped: c.dropped}
}

// Write implements zapcore.Core.
func (c *limitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsAsText(fields))
}

// errorsAsText replaces errors by their messages: stacks contain paths of the
// build and are longer than the rest of the line.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	for i := range fields {
		if err, ok := fields[i].Interface.(error); ok && fields[i].Type == zapcore.ErrorType {
			fields[i] = zap.String(fields[i].Key, err.Error())
		}
	}
	return fields
}

// Check implements zapcore.Core.
func (c *limitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	if !c.limiter.allow(e) {
		c.dropped.Add(1)
		return checked
	}
	return checked.AddCore(e, c)
}

// writer buffers lines and writes them in batches. Lines that do not fit into
// the buffer are dropped and counted.
type writer struct {
	out     io.Writer
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	buffer []byte
	closed bool
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	first := len(w.buffer) == 0
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped.Add(1)
	} else {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *writer) Sync() error { return nil }

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		w.flush()
		if closed {
			return
		}
	}
}

func (w *writer) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	for len(lines) > 0 {
		n := completeLines(lines, maxWriteBytes)
		// There is nowhere else to log a failed write, so it is only counted.
		if _, err := w.out.Write(lines[:n]); err != nil {
			w.dropped.Add(1)
		}
		lines = lines[n:]
	}
}

// completeLines returns the length of the complete lines at the start of data
// that fit into size, or of the first line if it is longer than size.
func completeLines(data []byte, size int) int {
	if len(data) <= size {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:size], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}
