package main

import (
	"errors"
	"flag"
	"io"
	"strings"
	"testing"

	"lovagespread.example/cmd/internal/command"
)

func TestWrongUsage(t *testing.T) {
	tests := []string{
		"bench", "direct", "fault", "in-force", "layout", "ready", "run", // required flags are missing
		"fault -control 127.0.0.1:1",
		"fault -target nobody",
		"fault -target platform",
		"run -control 127.0.0.1:1 -address 127.0.0.1:1 -services no-such-file",
		"layout -dir . -standins no-such-file",
		"ready extra",
	}
	for _, line := range tests {
		t.Run(line, func(t *testing.T) {
			args := strings.Fields(line)
			err := find(t, args[0]).Run(args[1:], io.Discard)
			var usage *command.UsageError
			if !errors.As(err, &usage) || usage.Remedy == "" {
				t.Errorf("error %v, want a *command.UsageError that names the remedy", err)
			}
		})
	}
}

func TestHelpOfEachSubcommand(t *testing.T) {
	for _, c := range commands {
		if err := c.Run([]string{"-h"}, io.Discard); !errors.Is(err, flag.ErrHelp) {
			t.Errorf("%s -h: %v, want help", c.Name, err)
		}
		if c.Summary == "" {
			t.Errorf("%s has no summary", c.Name)
		}
	}
}

func find(t *testing.T, name string) command.Command {
	t.Helper()
	for _, c := range commands {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no subcommand %s", name)
	return command.Command{}
}
