// Package command holds the command-line code that all programs share: exit
// codes, the version, and the dispatch of subcommands.
package command

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/go-faster/errors"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1 // the program ran and failed
	ExitUsage  = 2 // wrong flags, subcommand or settings
)

// Version returns the version of the program, from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

// UsageError reports an invalid command line or invalid settings.
type UsageError struct {
	What   string
	Remedy string
}

func (e *UsageError) Error() string { return e.What + ": " + e.Remedy }

// Command is one subcommand. Run writes its results to out.
type Command struct {
	Name    string
	Summary string
	Run     func(args []string, out io.Writer) error
}

// Main runs the subcommand named by the first argument and returns the exit code.
func Main(program string, commands []Command, args []string) int {
	if len(args) == 0 {
		printUsage(os.Stderr, program, commands)
		return ExitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		printUsage(os.Stdout, program, commands)
		return ExitOK
	case "-version", "--version", "version":
		fmt.Println(program, Version())
		return ExitOK
	}
	for _, c := range commands {
		if c.Name == args[0] {
			return Exit(program+" "+c.Name, c.Run(args[1:], os.Stdout))
		}
	}
	fmt.Fprintf(os.Stderr, "%s: unknown subcommand %q: %s -h lists them\n", program, args[0], program)
	return ExitUsage
}

// Exit prints a non-nil error to standard error and returns its exit code.
func Exit(program string, err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	if _, ok := errors.Into[*UsageError](err); ok {
		return ExitUsage
	}
	return ExitFailed
}

// Parse parses the flags of a subcommand that takes no positional arguments.
func Parse(flags *flag.FlagSet, args []string) error {
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return err
	case err != nil:
		return &UsageError{What: err.Error(), Remedy: flags.Name() + " -h lists the flags"}
	case flags.NArg() > 0:
		return &UsageError{
			What:   fmt.Sprintf("unexpected argument %q", flags.Arg(0)),
			Remedy: flags.Name() + " -h lists the flags",
		}
	}
	return nil
}

func printUsage(out io.Writer, program string, commands []Command) {
	fmt.Fprintf(out, "usage: %s SUBCOMMAND [flags]; SUBCOMMAND -h lists its flags\n\n", program)
	for _, c := range commands {
		fmt.Fprintf(out, "  %-9s %s\n", c.Name, c.Summary)
	}
	fmt.Fprintf(out, "  %-9s %s\n", "version", "print the version")
	fmt.Fprintf(out, "\nexit codes: %d done, %d failed, %d wrong usage or settings\n", ExitOK, ExitFailed, ExitUsage)
}
