package main

import (
	"context"
	"flag"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/experiment/load"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/follow"
	"lovagespread.example/logservice/operate"
)

// never is longer than any run of this program.
const never = 1000 * time.Hour

// connection holds the flags that reach the platform.
type connection struct {
	url       string
	tokenFile string
	timeout   time.Duration
}

func (c *connection) register(flags *flag.FlagSet) {
	flags.StringVar(&c.url, "platform", "", "base `URL` of the platform, as in http://10.0.0.1:9000")
	flags.StringVar(&c.tokenFile, "token-file", "", "`file` that holds the platform token (default: no token)")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest run of the command, with its unit, as in 10s")
}

func (c *connection) client() (*logservice.Client, error) {
	if c.url == "" {
		return nil, usagef("no platform: add -platform URL")
	}
	opts := logservice.Options{URL: c.url}
	if c.tokenFile != "" {
		token, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the platform token: name a readable file")
		}
		opts.Token = strings.TrimSpace(string(token))
	}
	return logservice.NewClient(opts)
}

// session is a follower that has read the log to its end.
type session struct {
	ctx      context.Context
	log      logservice.Log
	follower *follow.Follower
	close    func()
}

func (c *connection) open(ctx context.Context) (*session, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	follower := follow.New(follow.Options{
		Log:             client,
		Rand:            mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		SnapshotEvery:   never,
		SnapshotRecords: 1 << 30,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(running)
	}()
	s := &session{ctx: ctx, log: client, follower: follower}
	s.close = func() {
		stop()
		<-done
		cancel()
	}
	if err := follower.WaitCaughtUp(ctx); err != nil {
		cause := follower.Status().Err
		s.close()
		if cause == nil {
			cause = &logservice.UnavailableError{Operation: "read the configuration", Cause: err}
		}
		return nil, cause
	}
	return s, nil
}

// current returns the version in force.
func (s *session) current() *catalog.Catalog { return s.follower.Status().Catalog }

// draft holds the flags of every command that publishes a change.
type draft struct {
	connection
	author   string
	base     int64
	changeID string
	dryRun   bool
	entries  string
	wait     time.Duration
}

const currentBase = -1

func (d *draft) register(flags *flag.FlagSet) {
	d.connection.register(flags)
	flags.StringVar(&d.author, "author", os.Getenv("USER"), "`name` of the operator, kept with the change")
	flags.Int64Var(&d.base, "base", currentBase, "`version` that the change must follow; -1 takes the one in force")
	flags.StringVar(&d.changeID, "change", "", "`ID` of the change, to publish it again (default: a new one)")
	flags.StringVar(&d.entries, "entries", "", "admin `addresses` of entries, host:port with commas between; wait until the change is in force there")
	flags.DurationVar(&d.wait, "wait", defaultWait, "longest wait for -entries, with its unit, as in 10s")
	flags.BoolVar(&d.dryRun, "dry-run", false, "check the change and publish nothing")
}

// publication is the JSON form of a published change.
type publication struct {
	operate.Result
	// InForce tells how far the change has come, if -entries is given.
	InForce *load.InForce `json:"in_force,omitempty"`
}

// publish publishes the change that makeBody gives on the version in force.
func (d *draft) publish(in *invocation, from string, makeBody func(*catalog.Catalog) change.Body) error {
	if d.author == "" {
		return usagef("no author: add -author NAME")
	}
	s, err := d.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	request := operate.Request{
		Author:   d.author,
		From:     from,
		ChangeID: d.changeID,
		DryRun:   d.dryRun,
		Body:     makeBody,
	}
	if d.base != currentBase {
		base := uint64(d.base)
		request.Base = &base
	}
	begin := time.Now()
	result := publication{}
	result.Result, err = operate.New(s.follower, zap.NewNop()).Publish(s.ctx, request)
	if err != nil {
		return err
	}
	if result.Accepted {
		err = d.awaitEntries(in.ctx, &result, begin)
	}
	return errors.Join(showPublication(in, result), err)
}

// awaitEntries waits until the change is in force at the entries named.
func (d *draft) awaitEntries(ctx context.Context, result *publication, begin time.Time) error {
	if d.entries == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.wait)
	defer cancel()
	inForce := load.WaitInForce(ctx, strings.Split(d.entries, ","), result.Version, begin)
	result.InForce = &inForce
	if len(inForce.Missing) > 0 {
		return &notEverywhereError{version: result.Version, missing: inForce.Missing, wait: d.wait}
	}
	return nil
}

// notEverywhereError says where an accepted change is not in force yet.
type notEverywhereError struct {
	version uint64
	missing []string
	wait    time.Duration
}

func (e *notEverywhereError) Error() string {
	return fmt.Sprintf("version %d was accepted but is not in force after %s at %s: check these entries",
		e.version, e.wait, strings.Join(e.missing, ", "))
}

// defaultWait is the time within which a change must be in force.
const defaultWait = 5 * time.Second
