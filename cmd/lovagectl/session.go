package main

import (
	"context"
	"flag"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
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

// neverSnapshot is a snapshot interval longer than any run of this program, so
// that the program writes no snapshots of its own.
const neverSnapshot = 1000 * time.Hour

// platformFlags holds the flags of commands that connect to the platform.
type platformFlags struct {
	url       string
	tokenFile string
	timeout   time.Duration
}

func (f *platformFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.url, "platform", "", "base `URL` of the platform, as in http://10.0.0.1:9000")
	flags.StringVar(&f.tokenFile, "token-file", "", "`file` that holds the platform token (default: no token)")
	flags.DurationVar(&f.timeout, "timeout", defaultTimeout, "timeout of the whole command, with its unit, as in 10s")
}

// httpClient sends all requests to the platform; nil: each command has a client of
// its own. Tests set it, to run commands in virtual time.
var httpClient *http.Client

func (f *platformFlags) client() (*logservice.Client, error) {
	if f.url == "" {
		return nil, usagef("no platform: add -platform URL")
	}
	opts := logservice.Options{URL: f.url, HTTPClient: httpClient}
	if f.tokenFile != "" {
		token, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the platform token: name a readable file")
		}
		opts.Token = strings.TrimSpace(string(token))
	}
	return logservice.NewClient(opts)
}

// session is a connection to the platform, with a follower that has read the log
// to its end.
type session struct {
	ctx      context.Context
	log      logservice.Log
	follower *follow.Follower
	close    func()
}

func (f *platformFlags) open(ctx context.Context) (*session, error) {
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	followerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	follower := follow.New(follow.Options{
		Log:              client,
		Rand:             mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		SnapshotInterval: neverSnapshot,
		SnapshotRecords:  1 << 30,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(followerCtx)
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

// currentCatalog returns the configuration in force.
func (s *session) currentCatalog() *catalog.Catalog { return s.follower.Status().Catalog }

// publishFlags holds the flags of every command that publishes a change.
type publishFlags struct {
	platformFlags
	author   string
	base     int64
	changeID string
	dryRun   bool
	entries  string
	wait     time.Duration
	// retryRejected makes publish try again on the version in force if another
	// change came first, until the timeout. Only for changes that mean the same on every
	// version.
	retryRejected bool
}

// maxPublishPause is the longest pause before a rejected change is published again.
// The pause is random, so that operators who publish at the same time drift apart.
const maxPublishPause = 20 * time.Millisecond

const currentBase = -1

func (f *publishFlags) register(flags *flag.FlagSet) {
	f.platformFlags.register(flags)
	flags.StringVar(&f.author, "author", os.Getenv("USER"), "`name` of the operator, recorded with the change")
	flags.Int64Var(&f.base, "base", currentBase, "`version` that the change is based on; -1 means the one in force")
	flags.StringVar(&f.changeID, "change", "", "`ID` of the change, to retry it (default: a new one)")
	flags.StringVar(&f.entries, "entries", "", "admin `addresses` of entries, host:port,...; wait until the change is in force at all of them")
	flags.DurationVar(&f.wait, "wait", defaultWait, "timeout of the wait for -entries, with its unit, as in 10s")
	flags.BoolVar(&f.dryRun, "dry-run", false, "check the change and publish nothing")
}

// publishReport is the JSON form of a published change.
type publishReport struct {
	operate.Result
	// InForce reports at which entries the change is in force, if -entries is given.
	InForce *load.InForce `json:"in_force,omitempty"`
}

// publish publishes the change that makeBody returns for the version in force.
func (f *publishFlags) publish(in *invocation, from string, makeBody func(*catalog.Catalog) change.Body) error {
	if f.author == "" {
		return usagef("no author: add -author NAME")
	}
	s, err := f.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	request := operate.Request{
		Author:   f.author,
		Origin:   from,
		ChangeID: f.changeID,
		DryRun:   f.dryRun,
		Body:     makeBody,
	}
	if f.base != currentBase {
		base := uint64(f.base)
		request.Base = &base
	}
	start := time.Now()
	result := publishReport{}
	publisher := operate.New(s.follower, zap.NewNop())
	attempt := func() error {
		result.Result, err = publisher.Publish(s.ctx, request)
		return err
	}
	if f.mayRetry() {
		err = retryRejected(s.ctx, attempt)
	} else {
		err = attempt()
	}
	if err != nil {
		return err
	}
	if result.Accepted {
		err = f.awaitEntries(in.ctx, &result, start)
	}
	return errors.Join(showPublished(in, result), err)
}

func (f *publishFlags) mayRetry() bool {
	return f.retryRejected && f.base == currentBase && f.changeID == ""
}

// retryRejected repeats an attempt to publish that is rejected because another change
// came first, until ctx ends. Other errors end it: the change may then be in force.
func retryRejected(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
		var rejected *follow.RejectedError
		if !errors.As(err, &rejected) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Duration(mathrand.Int64N(int64(maxPublishPause)))):
		}
	}
}

// awaitEntries waits until the change is in force at the entries of -entries.
func (f *publishFlags) awaitEntries(ctx context.Context, result *publishReport, start time.Time) error {
	if f.entries == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait)
	defer cancel()
	inForce := load.WaitInForce(ctx, strings.Split(f.entries, ","), result.Version, start)
	result.InForce = &inForce
	if len(inForce.Missing) > 0 {
		return &notInForceError{version: result.Version, missing: inForce.Missing, wait: f.wait}
	}
	return nil
}

// notInForceError reports the entries at which an accepted change is not in force
// when the wait ends.
type notInForceError struct {
	version uint64
	missing []string
	wait    time.Duration
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d was accepted but is not in force after %s at %s: check these entries",
		e.version, e.wait, strings.Join(e.missing, ", "))
}

// defaultWait is the time within which a change must be in force at all entries.
const defaultWait = 5 * time.Second
