// Command lovage-entry runs one entry of the dispatcher.
//
// Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 after a failure
// while running, 2 for wrong flags or settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lovagespread.example/entry"
	"lovagespread.example/entry/settings"
)

// Exit codes.
const (
	exitStopped  = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	config := flag.String("config", "", "`file` with the settings, in TOML (required; check it with lovagectl check)")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("lovage-entry", entry.Version)
		return
	}
	raiseGCPercent()
	os.Exit(run(*config))
}

// gcPercent lets the heap grow to five times the live heap between garbage
// collections. The live heap is only a few MiB, and each collection delays the
// tasks that arrive during it. The environment variable GOGC takes precedence.
const gcPercent = 400

func raiseGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func run(path string) int {
	if path == "" {
		fmt.Fprintln(os.Stderr, "lovage-entry: -config is missing: name the settings file")
		return exitSettings
	}
	loaded, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	e, err := entry.New(loaded)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovage-entry:", err)
		return exitSettings
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := e.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lovage-entry:", err)
		return exitFailed
	}
	return exitStopped
}
