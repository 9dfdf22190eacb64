// Command lovage-fleet runs one entry on the users' platform: the dispatcher
// for leased endpoints, connected through the platform adapter.
//
// The settings file is named by -config or by the environment variable
// platform.SettingsVariable. SIGTERM and SIGINT stop the process gracefully, and
// SIGHUP reloads the settings file.
//
// Exit codes: 0 after a graceful stop, 1 after a failure while running, 2 for
// wrong flags or settings.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/platform"
)

func main() {
	config := flag.String("config", os.Getenv(platform.SettingsVariable), "`file` with the settings, in the platform's format")
	check := flag.Bool("check", false, "check the settings file and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("lovage-fleet", command.Version())
		return
	}
	os.Exit(run(*config, *check))
}

// gcPercent lets the heap grow to five times the live heap between garbage
// collections. The live heap is only a few MiB, and each collection delays tasks.
// The environment variable GOGC takes precedence.
const gcPercent = 400

func run(path string, checkOnly bool) int {
	if path == "" {
		fmt.Fprintln(os.Stderr, "lovage-fleet: name the settings file with -config or "+platform.SettingsVariable)
		return command.ExitUsage
	}
	file, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovage-fleet:", err)
		return command.ExitUsage
	}
	if checkOnly {
		return command.ExitOK
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if err := serve(path, file); err != nil {
		fmt.Fprintln(os.Stderr, "lovage-fleet:", err)
		return command.ExitFailed
	}
	return command.ExitOK
}
