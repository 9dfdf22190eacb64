package soak

import (
	"log/slog"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// eventsFile is the file with the faults and the starts of runs, in the directory of
// the entries' logs.
const eventsFile = "events.log"

// events writes what happens outside the entries, so that it can be read beside
// their logs.
type events struct {
	file   *os.File
	logger *slog.Logger
}

func openEvents(dir string) (*events, error) {
	file, err := os.Create(filepath.Join(dir, eventsFile))
	if err != nil {
		return nil, errors.Wrap(err, "create the log of events")
	}
	return &events{file, slog.New(slog.NewJSONHandler(file, nil))}, nil
}

// add writes an event with keys and values.
func (e *events) add(event string, values ...any) { e.logger.Info(event, values...) }

func (e *events) close() { _ = e.file.Close() } // the events are written without a buffer
