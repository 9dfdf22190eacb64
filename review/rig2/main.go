// Command rig2 plays the cases of the second independent review: the project's entries as
// separate processes, on stand-ins of the platform, the executors and the clients.
//
//	rig2 -case NAME -root REPOSITORY -record FILE
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

// maxTime bounds a run of a case.
const maxTime = 116 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(r *rig, trouble bool) (verdict, error){}

func main() {
	name := flag.String("case", "", "`name` of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "`file` for the record")
	keep := flag.Bool("keep", false, "keep the logs of the entries")
	flag.Parse()
	os.Exit(play(*name, *root, *record, *keep))
}

func play(name, root, record string, keep bool) int {
	run := cases[name]
	if run == nil {
		fmt.Println("no case", name)
		return couldNotRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer rec.close()
	r, err := newRig(rec, root)
	if err != nil {
		rec.printf("%v", err)
		fmt.Println(err)
		return couldNotRun
	}
	defer r.close(keep)
	type result struct {
		verdict
		err error
	}
	results := make(chan result, 1)
	go func() {
		v, err := run(r, os.Getenv("TROUBLE") != "0")
		results <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var got result
	select {
	case got = <-results:
	case <-time.After(maxTime):
		got.err = fmt.Errorf("%w: it took longer than %v", errSetup, maxTime)
	case <-interrupted:
		got.err = fmt.Errorf("%w: interrupted", errSetup)
	}
	code, word := ruleHeld, "held"
	switch {
	case got.err != nil:
		code, word, got.text = couldNotRun, "could not run", got.err.Error()
	case got.broken:
		code, word = ruleBroken, "broken"
	}
	rec.printf("verdict: %s: %s", word, got.text)
	fmt.Printf("%s: %s: %s\n", name, word, got.text)
	return code
}
