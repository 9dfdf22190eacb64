package appender

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// Log returns a logservice.Log that appends through the appender, as records of
// one kind. Each append takes exactly one record. Reads go directly to the
// platform.
func (a *Appender) Log(k Kind) logservice.Log { return &kindLog{appender: a, kind: k} }

type kindLog struct {
	appender *Appender
	kind     Kind
}

// Append implements logservice.Log for a single record in the stream of the kind.
func (l *kindLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if stream != l.kind.Stream() || len(records) != 1 {
		return 0, &logservice.RefusedError{
			Operation: "append to stream " + stream,
			Status:    http.StatusBadRequest,
			Detail:    fmt.Sprintf("want one record for stream %s, got %d", l.kind.Stream(), len(records)),
		}
	}
	return l.appender.Append(ctx, l.kind, records[0])
}

// Read implements logservice.Log.
func (l *kindLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformapi.ReadResponse, error) {
	return l.appender.opts.Log.Read(ctx, stream, from, limit, wait)
}
