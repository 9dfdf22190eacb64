package command_test

import (
	"errors"
	"flag"
	"io"
	"testing"

	"lovagespread.example/cmd/internal/command"
)

func TestMainExitCodes(t *testing.T) {
	commands := []command.Command{
		{Name: "good", Run: func([]string, io.Writer) error { return nil }},
		{Name: "bad", Run: func([]string, io.Writer) error { return errors.New("broken") }},
		{Name: "flags", Run: func(args []string, _ io.Writer) error {
			flags := flag.NewFlagSet("p flags", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			flags.Int("n", 0, "a number")
			return command.Parse(flags, args)
		}},
	}
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"nothing", nil, command.ExitUsage},
		{"help", []string{"-h"}, command.ExitOK},
		{"version", []string{"-version"}, command.ExitOK},
		{"unknown subcommand", []string{"other"}, command.ExitUsage},
		{"success", []string{"good"}, command.ExitOK},
		{"failure", []string{"bad"}, command.ExitFailed},
		{"help of a subcommand", []string{"flags", "-h"}, command.ExitOK},
		{"unknown flag", []string{"flags", "-x"}, command.ExitUsage},
		{"wrong value", []string{"flags", "-n", "x"}, command.ExitUsage},
		{"extra argument", []string{"flags", "x"}, command.ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := command.Main("p", commands, tt.args); got != tt.want {
				t.Errorf("exit code %d, want %d", got, tt.want)
			}
		})
	}
}
