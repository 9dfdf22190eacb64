package main

import (
	"context"
	"os"
	"time"
)

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings sends to changed when the file has changed, until the context
// ends.
func watchSettings(ctx context.Context, path string, changed chan<- struct{}) {
	last := statVersion(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := statVersion(path)
		if current == last || current == (fileVersion{}) {
			continue // unchanged, or missing while it is replaced
		}
		last = current
		select {
		case changed <- struct{}{}:
		default: // an earlier change is still pending
		}
	}
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statVersion returns the version of a file, or the zero value if the file cannot
// be read.
func statVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
