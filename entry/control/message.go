package control

import (
	"github.com/samber/lo"

	"lovagespread.example/catalog"
	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/membership"
)

// message is an item of the loop's input channel.
type message interface{ handle(*Loop) }

// Submission is a submitted job whose ID and body have been verified.
type Submission struct {
	ID      jobid.ID
	Label   string // ID.String(), used in logs and task IDs
	Team    string
	Job     callerapi.Job
	TraceID string // of the caller, or empty
}

// Input converts the submission to an input of the core.
func (s *Submission) Input() *dispatch.Submit {
	return &dispatch.Submit{
		ID:      s.ID,
		Team:    s.Team,
		Service: s.Job.Service,
		Tasks:   taskSpecs(s.Job.Tasks),
		TraceID: s.TraceID,
		Bytes:   s.bytes(),
	}
}

func (s *Submission) bytes() int {
	return lo.SumBy(s.Job.Tasks, func(t callerapi.Task) int { return len(t.Payload) })
}

type submitMessage struct {
	submission Submission
	waiter     *waiter
}

func (m *submitMessage) handle(l *Loop) {
	l.waiters.add(m.waiter)
	l.submissions.putIfAbsent(m.submission)
	l.step(m.submission.Input())
}

type askMessage struct{ waiter *waiter }

func (m *askMessage) handle(l *Loop) {
	l.waiters.add(m.waiter)
	l.step(&dispatch.Ask{ID: m.waiter.id})
}

type cancelMessage struct{ waiter *waiter }

func (m *cancelMessage) handle(l *Loop) {
	l.waiters.add(m.waiter)
	l.step(&dispatch.Cancel{ID: m.waiter.id})
}

// removeWaiterMessage ends the wait of one caller. The job continues.
type removeWaiterMessage struct {
	waiter       *waiter
	disconnected bool
}

func (m *removeWaiterMessage) handle(l *Loop) {
	l.waiters.remove(m.waiter)
	if m.disconnected {
		l.step(&dispatch.Disconnect{ID: m.waiter.id})
	}
}

// outcomeMessage carries the outcome of an attempt.
type outcomeMessage struct {
	service string
	outcome dispatch.Input
}

func (m outcomeMessage) handle(l *Loop) {
	l.loads[m.service]--
	l.step(m.outcome)
}

// catalogMessage applies a version of the configuration.
type catalogMessage struct {
	catalog *catalog.Catalog
	late    bool
}

func (m catalogMessage) handle(l *Loop) { l.setCatalog(m.catalog, m.late) }

// drainMessage makes the core reject new jobs.
type drainMessage struct{}

func (drainMessage) handle(l *Loop) { l.step(&dispatch.Drain{}) }

// membershipMessage carries an input of the membership tracker.
type membershipMessage struct{ input membership.Input }

func (m membershipMessage) handle(l *Loop) { l.updateMembership(m.input) }

// openJobsMessage requests the number of open jobs.
type openJobsMessage struct{ reply chan<- int }

func (m openJobsMessage) handle(l *Loop) { m.reply <- l.opts.Core.Open() }
