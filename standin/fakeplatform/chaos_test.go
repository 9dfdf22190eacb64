package fakeplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/follow"
)

const (
	chaosSeeds     = 12
	chaosProcesses = 5
	chaosSteps     = 120
)

// chaos applies random faults to several followers of one log.
type chaos struct {
	t         *testing.T
	rand      *rand.Rand
	platform  *Platform
	network   *memoryListener
	newClient func() *logservice.Client
	processes []*process
	logs      []*detachableLog
	changes   int

	group   sync.WaitGroup
	mu      sync.Mutex
	results []publishResult
}

// publishResult is the result that the operator of a change got.
type publishResult struct {
	change change.Change
	err    error
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{t: t, rand: rand.New(rand.NewPCG(seed, 7))}
	c.platform, c.network, c.newClient = memoryNetwork(t, Options{RetainFor: None, RetainRecords: None, AppendsPerSecond: None})
	for range chaosProcesses {
		c.processes = append(c.processes, nil)
		c.logs = append(c.logs, nil)
		c.startProcess(len(c.processes) - 1)
	}
	return c
}

func (c *chaos) startProcess(i int) {
	c.logs[i] = &detachableLog{Log: c.newClient()}
	c.processes[i] = start(c.t, c.logs[i], c.rand.Uint64(), nil)
}

func (c *chaos) randomProcess() int { return c.rand.IntN(chaosProcesses) }

// step applies one random event.
func (c *chaos) step() {
	switch c.rand.IntN(10) {
	case 0:
		c.platform.SetDown(c.rand.IntN(2) == 0)
	case 1:
		c.platform.SetSlow(time.Duration(c.rand.IntN(4)) * time.Second)
	case 2:
		c.platform.LoseReplies(c.rand.IntN(4))
	case 3:
		c.logs[c.randomProcess()].setDetached(c.rand.IntN(2) == 0)
	case 4:
		c.network.silence()
	case 5:
		i := c.randomProcess()
		c.processes[i].stop()
		c.startProcess(i)
	case 6:
		c.copyVersion(c.processes[c.randomProcess()], c.processes[c.randomProcess()])
	default:
		c.publish(c.processes[c.randomProcess()])
	}
	time.Sleep(time.Duration(c.rand.IntN(1500)) * time.Millisecond)
}

func (c *chaos) copyVersion(from, to *process) {
	if newest, ok := from.Copy(c.t.Context()); ok {
		if _, err := to.Adopt(c.t.Context(), newest); err != nil {
			c.t.Error(err)
		}
	}
}

// publish publishes a change to the version that a process has, in the
// background.
func (c *chaos) publish(p *process) {
	ch := newChange(fmt.Sprint("c", c.changes), p.version())
	c.changes++
	timeout := time.Duration(1+c.rand.IntN(10)) * time.Second
	c.group.Go(func() {
		ctx, cancel := context.WithTimeout(c.t.Context(), timeout)
		defer cancel()
		_, err := p.Publish(ctx, ch)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results = append(c.results, publishResult{change: ch, err: err})
	})
}

// heal ends all faults and waits for the publishing goroutines.
func (c *chaos) heal() {
	c.platform.SetFaults(Faults{})
	for _, log := range c.logs {
		log.setDetached(false)
	}
	c.group.Wait()
}

// replayLog returns a replica that has applied the whole log.
func (c *chaos) replayLog() *change.Replica {
	r := change.NewReplica()
	for _, record := range c.platform.Records(logservice.StreamConfiguration) {
		r.Apply(record.Offset, record.Data)
	}
	return r
}

func (c *chaos) checkConverged(replica *change.Replica) {
	c.t.Helper()
	for i, p := range c.processes {
		status := p.Status()
		if !bytes.Equal(status.Digest, change.Digest(replica.Catalog())) {
			c.t.Errorf("process %d has version %d, the log has version %d", i, status.Catalog.Version, replica.Catalog().Version)
		}
		if status.Counts.Conflicts > 0 {
			c.t.Errorf("process %d received a conflicting copy", i)
		}
	}
}

func (c *chaos) checkResults(replica *change.Replica) {
	c.t.Helper()
	for _, o := range c.results {
		outcome, _ := replica.Outcome(o.change.ID, o.change.Base)
		if !consistent(o.err, outcome) {
			c.t.Errorf("change %s to version %d: the operator got error %v, but its outcome in the log is %d", o.change.ID, o.change.Base, o.err, outcome)
		}
	}
}

// consistent reports whether the result that an operator got agrees with the
// outcome of the change in the log.
func consistent(err error, outcome change.Outcome) bool {
	var (
		rejected    *follow.RejectedError
		unknown     *follow.OutcomeUnknownError
		refused     *logservice.RefusedError
		unavailable *logservice.UnavailableError
	)
	switch {
	case err == nil:
		return outcome == change.OutcomeAccepted
	case errors.As(err, &rejected):
		return outcome == change.OutcomeRejected
	case errors.As(err, &unknown):
		return true
	case errors.As(err, &refused), errors.As(err, &unavailable):
		return outcome != change.OutcomeAccepted
	}
	return false
}

// TestProcessesConvergeAfterRandomFaults checks that, once random faults have
// ended, all processes have the version of the log, and that no operator got a
// wrong result.
func TestProcessesConvergeAfterRandomFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChaos(t, seed)
				for range chaosSteps {
					c.step()
				}
				c.heal()
				time.Sleep(convergenceTimeout)
				synctest.Wait()
				replica := c.replayLog()
				c.checkConverged(replica)
				c.checkResults(replica)
				if replica.Catalog().Version == 0 {
					t.Error("no change was accepted")
				}
			})
		})
	}
}
