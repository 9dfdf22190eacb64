package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

// command is one subcommand.
type command struct {
	name    string
	args    string // positional arguments, as the usage line shows them
	summary string
	run     func(*invocation) error
}

// commands returns the subcommands in the order of the usage text.
func commands() []command {
	return []command{
		{"check", "FILE...", "check settings, services and routes files; with -platform or -store also against what is in force", check},
		{"diff", "FILE", "compare a services file with the version in force, most harmful difference first", diff},
		{"publish", "FILE", "replace the services, and the teams if the file has any", publish},
		{"status", "", "show the version in force, and with -entries the failure domains", status},
		{"history", "", "list the records that the log retains, with their verdicts", history},
		{"put-team", "NAME", "add or replace a team", putTeam},
		{"remove-team", "NAME", "remove a team", removeTeam},
		{"drain", "NAME", "stop assigning new tasks to endpoints", drain},
		{"undrain", "NAME", "undo a drain", undrain},
		{"evacuate", "DOMAIN", "stop assigning new tasks in a failure domain, step by step", evacuate},
		{"return", "DOMAIN", "undo an evacuation, step by step", returnDomain},
		{"set-keys", "NUMBER...", "set the job-ID keys in use, the signing key last", setKeys},
		{"raise-format", "NUMBER", "enable a newer record format, once every program can read it", raiseFormat},
		{"export", "", "write the version in force as a snapshot", export},
		{"restore", "FILE", "write a snapshot to a log that no longer holds the configuration", restore},
		{"entries", "ADMIN...", "show the status of the entries at these admin addresses, host:port", entries},
		{"explain", "ADMIN JOB", "show an entry's decisions about a job, given its label in the log", explain},
		{"trace", "JOB [LOG...]", "reconstruct the history of a job from logs of lovage-fleet (default: standard input)", traceJob},
		{"stop", "ADMIN", "start the planned stop of an entry", stopEntry},
		{"version", "", "print the version of this program", version},
	}
}

// run executes one command line.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) exitCode {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(stdout)
		return exitDone
	case "-version", "--version":
		args = []string{"version"}
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return runCommand(ctx, c, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "lovagectl: unknown command %q: use one of the commands that lovagectl -h lists\n", args[0])
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: lovagectl COMMAND [FLAGS] [ARGUMENTS]")
	fmt.Fprintln(w, "\nCommands (lovagectl COMMAND -h lists the flags of each):")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-13s %-10s %s\n", c.name, c.args, c.summary)
	}
	fmt.Fprintln(w, "\nExit codes:")
	for _, e := range exitCodes {
		fmt.Fprintf(w, "  %d  %s\n", e.code, e.meaning)
	}
}
