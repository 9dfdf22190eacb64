package main

import (
	"context"
	"os"
	"time"
)

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings tells when the file has changed, until the context ends.
func watchSettings(ctx context.Context, path string, changed chan<- struct{}) {
	before := stampOf(path)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := stampOf(path)
		if now == before || now == (stamp{}) {
			continue // as before, or being replaced
		}
		before = now
		select {
		case changed <- struct{}{}:
		default: // the change before is not dealt with yet
		}
	}
}

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// stampOf returns the zero stamp of a file that cannot be looked at.
func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{info.ModTime(), info.Size()}
}
