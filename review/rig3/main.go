// SPDX-License-Identifier: Apache-2.0

// Command rig3 plays a small deployment of the users' platform on loopback addresses, with
// lovage-fleet as separate processes, and checks the users' rules by what its own clients
// and executors see. Each case of the review is a scenario of it; mix plays random faults.
//
// Exit codes: 0 all rules held, 1 a rule was broken, 2 the scenario could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var (
	fleetBinary = flag.String("fleet", "target/lovage-fleet", "path of lovage-fleet")
	record      = flag.String("record", "", "file for what was sent, answered and run")
	trouble     = flag.Bool("trouble", true, "play the disruption, too")
	keep        = flag.String("keep", "", "directory for settings and logs, which is kept")
	seed        = flag.Uint64("seed", 1, "of mix")
	seconds     = flag.Float64("seconds", 20, "with faults, of mix")
	faultNames  = flag.String("faults", "all", "of mix, separated by commas")
	every       = flag.Duration("every", 80*time.Millisecond, "between jobs of mix")
	unguarded   = flag.Bool("unguarded", false, "executors that start whatever they are told, in mix")
	large       = flag.Bool("large", false, "mix with cells of 33 executors")
)

// scenario is a deployment and what happens in it.
type scenario struct {
	size size
	play func(*platform) error
}

var scenarios = map[string]scenario{}

func main() {
	flag.Parse()
	os.Exit(run(flag.Arg(0)))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	maxShown   = 20 // broken rules
)

func run(name string) int {
	s, known := scenarios[name]
	if !known {
		return failed(fmt.Errorf("no scenario %q", name))
	}
	out := os.Stdout
	if *record != "" {
		f, err := os.Create(*record)
		if err != nil {
			return failed(err)
		}
		defer f.Close()
		out = f
	}
	writer := bufio.NewWriter(out)
	defer writer.Flush()
	dir, err := directory()
	if err != nil {
		return failed(err)
	}
	if *keep == "" {
		defer os.RemoveAll(dir)
	}
	binary, err := filepath.Abs(*fleetBinary)
	if err != nil {
		return failed(err)
	}
	if *large {
		s.size.workers, s.size.cores, s.size.entries = 33, 32, 3
	}
	b := newBook(writer)
	p, err := startPlatform(binary, dir, s.size, b)
	if err != nil {
		return failed(err)
	}
	defer p.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		p.close()
		os.Exit(exitFailed)
	}()
	b.workers = p.all
	stop := make(chan struct{})
	defer close(stop)
	go b.watch(stop)
	if err := p.startAll(); err != nil {
		return failed(err)
	}
	time.Sleep(time.Second)
	b.note("all entries are ready")
	if err := s.play(p); err != nil {
		return failed(err)
	}
	return b.result()
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, "rig3:", err)
	return exitFailed
}

func directory() (string, error) {
	if *keep == "" {
		return os.MkdirTemp("", "rig3")
	}
	return *keep, os.MkdirAll(*keep, 0o700)
}

// result checks what can be told only at the end, and returns the exit code.
func (b *book) result() int {
	b.final()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, v := range b.violations {
		if i < maxShown {
			fmt.Println("BROKEN", v)
		}
	}
	fmt.Printf("%d jobs, %d broken\n", len(b.jobs), len(b.violations))
	b.line("%d jobs, %d broken", len(b.jobs), len(b.violations))
	if len(b.violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
