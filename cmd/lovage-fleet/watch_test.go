package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestWatchSettingsReportsChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a = 1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := make(chan struct{}, 1)
	go watchSettings(ctx, path, changed)
	time.Sleep(100 * time.Millisecond)
	write("a = 1\nb = 2")
	select {
	case <-changed:
	case <-time.After(3 * settingsPollInterval):
		t.Error("the change was not reported")
	}
}
