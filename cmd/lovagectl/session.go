package main

import (
	"context"
	"crypto/rand"
	"flag"
	mathrand "math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/platform"
	"lovagespread.example/platform/follow"
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

func (c *connection) client() (*platform.Client, error) {
	if c.url == "" {
		return nil, usagef("no platform: add -platform URL")
	}
	opts := platform.Options{URL: c.url}
	if c.tokenFile != "" {
		token, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the platform token: name a readable file")
		}
		opts.Token = strings.TrimSpace(string(token))
	}
	return platform.NewClient(opts)
}

// session is a follower that has read the log to its end.
type session struct {
	ctx      context.Context
	log      platform.Log
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
			cause = &platform.UnavailableError{Operation: "read the configuration", Cause: err}
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
}

const currentBase = -1

func (d *draft) register(flags *flag.FlagSet) {
	d.connection.register(flags)
	flags.StringVar(&d.author, "author", os.Getenv("USER"), "`name` of the operator, kept with the change")
	flags.Int64Var(&d.base, "base", currentBase, "`version` that the change must follow; -1 takes the one in force")
	flags.StringVar(&d.changeID, "change", "", "`ID` of the change, to publish it again (default: a new one)")
	flags.BoolVar(&d.dryRun, "dry-run", false, "check the change and publish nothing")
}

// publication is the JSON form of a published change.
type publication struct {
	ChangeID string  `json:"change_id"`
	Base     uint64  `json:"base"`
	Version  uint64  `json:"version"`
	InForce  bool    `json:"in_force"`
	Seconds  float64 `json:"seconds"` // from the append to the verdict
}

// publish checks the whole resulting configuration and publishes the change.
func (d *draft) publish(in *invocation, from string, makeBody func(*catalog.Catalog) change.Body) error {
	s, err := d.open(in.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	status := s.follower.Status()
	if !status.Complete {
		return errors.New(incompleteLog)
	}
	body := makeBody(status.Catalog)
	c, err := d.change(status.Judged, body)
	if err != nil {
		return err
	}
	if c.Base == status.Judged {
		if _, err := change.Prepare(from, status.Catalog, body); err != nil {
			return err
		}
	}
	result := publication{ChangeID: c.ID, Base: c.Base}
	if d.dryRun {
		result.Version = c.Base + 1
		return showPublication(in, result)
	}
	begin := time.Now()
	result.Version, err = s.follower.Publish(s.ctx, c)
	if err != nil {
		return err
	}
	result.InForce = true
	result.Seconds = time.Since(begin).Seconds()
	return showPublication(in, result)
}

// change returns the change that the flags ask for.
func (d *draft) change(current uint64, body change.Body) (change.Change, error) {
	c := change.Change{ID: d.changeID, Base: current, Author: d.author, Time: time.Now().UTC(), Body: body}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	if d.base == currentBase {
		if d.changeID != "" {
			return c, usagef("-change without -base: add the base that the change was first published with")
		}
		return c, nil
	}
	if d.base < 0 || uint64(d.base) > current {
		return c, usagef("-base %d: write a version from 0 to %d", d.base, current)
	}
	c.Base = uint64(d.base)
	return c, nil
}

const incompleteLog = "the log has forgotten part of the configuration: restore it with lovagectl restore, or wait for a snapshot of an entry"
