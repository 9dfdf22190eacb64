package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/demo"
	"lovagespread.example/standin/deployment"
)

// runLayout implements "lovage-load layout".
func runLayout(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" layout", flag.ContinueOnError)
	dir := flags.String("dir", "", "`directory` to write to (required, must exist)")
	standins := flags.String("standins", "examples/collections.toml", "settings `file` of the stand-ins, whose addresses and entries are replaced")
	services := flags.String("services", "", "services `file` (default: the one that the -standins file names)")
	entries := flags.Int("entries", 3, "entries in each failure domain")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *dir == "" {
		return &command.UsageError{What: "-dir is missing", Remedy: "name an empty directory"}
	}
	settings, err := deployment.Load(*standins)
	if err != nil {
		return &command.UsageError{What: err.Error(), Remedy: "correct -standins"}
	}
	if *services != "" {
		settings.ServicesFile = *services
	}
	layout, err := demo.Write(demo.Options{
		Dir:              *dir,
		Standins:         settings,
		EntriesPerDomain: *entries,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, filepath.Join(layout.Dir, "layout.sh"))
	return err
}
