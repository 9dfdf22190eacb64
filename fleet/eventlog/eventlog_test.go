package eventlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func TestErrorsAreWrittenWithoutStacks(t *testing.T) {
	out := &recordingWriter{}
	log := New(out, zapcore.InfoLevel)
	log.With(zap.Error(errors.New("first"))).Warn("lend_failed", zap.Error(errors.Wrap(errors.New("second"), "outer")))
	log.Close()
	line := string(bytes.Join(out.writes, nil))
	if !strings.Contains(line, `"error":"outer: second"`) || !strings.Contains(line, `"first"`) || strings.Contains(line, "Verbose") {
		t.Errorf("line %s", line)
	}
}

// recordingWriter records each write.
type recordingWriter struct{ writes [][]byte }

func (w *recordingWriter) Write(data []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(data))
	return len(data), nil
}

func TestWritesAreCompleteLinesThatAPipeWritesAtomically(t *testing.T) {
	out := &recordingWriter{}
	log := New(out, zapcore.InfoLevel)
	const lines = 100
	for range lines {
		log.Info("placed", zap.String("reason", strings.Repeat("x", 200)))
	}
	long := strings.Repeat("y", 2*maxWriteBytes)
	log.Info("long", zap.String("reason", long))
	log.Close()
	total := 0
	for i, w := range out.writes {
		total += bytes.Count(w, []byte("\n"))
		if w[len(w)-1] != '\n' {
			t.Errorf("write %d ends within a line", i)
		}
		if len(w) > maxWriteBytes && bytes.Count(w, []byte("\n")) > 1 {
			t.Errorf("write %d has %d bytes in several lines, want %d at most", i, len(w), maxWriteBytes)
		}
	}
	if total != lines+1 {
		t.Errorf("%d lines were written, want %d", total, lines+1)
	}
}
