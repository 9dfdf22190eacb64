// Package decisionlog provides the structured log of an entry. Every routing and
// placement decision gets one line; no line is sampled or dropped. Lines are
// buffered and written in batches.
package decisionlog

import (
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the buffer.
const (
	bufferBytes   = 256 << 10
	flushInterval = 500 * time.Millisecond
)

// Log is a logger together with the buffer it writes through.
type Log struct {
	*zap.Logger
	buffer *zapcore.BufferedWriteSyncer
	file   io.Closer
}

// Open returns a log at the given level that appends to the file, or writes
// to standard error if the path is empty.
func Open(level, path string) (*Log, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level: use debug, info, warn or error")
	}
	if path == "" {
		return New(parsed, zapcore.AddSync(os.Stderr), io.NopCloser(nil)), nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errors.Wrap(err, "open the log file")
	}
	return New(parsed, file, file), nil
}

// New returns a log that writes to out. Close closes file.
func New(level zapcore.Level, out zapcore.WriteSyncer, file io.Closer) *Log {
	buffer := &zapcore.BufferedWriteSyncer{WS: out, Size: bufferBytes, FlushInterval: flushInterval}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), buffer, level)
	return &Log{Logger: zap.New(core), buffer: buffer, file: file}
}

// Close flushes the buffer and closes the file.
func (l *Log) Close() error {
	if err := l.buffer.Stop(); err != nil {
		return err
	}
	return l.file.Close()
}
