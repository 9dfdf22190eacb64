package control

import (
	"slices"

	"github.com/samber/lo"

	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/membership"
)

// HandoverStep is the next step of a handover to a successor.
type HandoverStep struct {
	// Transfer is the part to send, or nil if none follows. ReportTransfer must
	// be called with its outcome.
	Transfer *dispatch.Transfer
	// Submissions are the submissions of the open jobs in Transfer.
	Submissions map[jobid.ID]Submission
	// HandedOver reports that the successor now answers for this entry's jobs.
	HandedOver bool
}

// HandOver begins to hand all jobs over to another entry. This entry keeps
// serving requests until it sends the last part.
func (l *Loop) HandOver(to jobid.Incarnation) (HandoverStep, error) {
	return l.stepHandover(&dispatch.HandOver{To: to}, to)
}

// ReportTransfer reports the outcome of the latest part that was sent to a
// successor, and returns the next step.
func (l *Loop) ReportTransfer(to jobid.Incarnation, outcome dispatch.TransferOutcome) (HandoverStep, error) {
	return l.stepHandover(&dispatch.TransferResult{Outcome: outcome}, to)
}

func (l *Loop) stepHandover(in dispatch.Input, to jobid.Incarnation) (HandoverStep, error) {
	reply := make(chan HandoverStep, 1)
	return call(l, &handoverMessage{input: in, to: to, reply: reply}, reply)
}

// Accept receives one part of another entry's handover with the submissions of
// its open jobs.
func (l *Loop) Accept(t *dispatch.Transfer, submissions []Submission) (dispatch.Acceptance, error) {
	reply := make(chan dispatch.Acceptance, 1)
	return call(l, &acceptMessage{transfer: t, submissions: submissions, reply: reply}, reply)
}

// ApplyStatusUpdates applies status updates from an entry that has handed its
// jobs over to this one.
func (l *Loop) ApplyStatusUpdates(updates []dispatch.StatusUpdate) error {
	reply := make(chan struct{}, 1)
	_, err := call(l, &statusUpdatesMessage{updates: updates, reply: reply}, reply)
	return err
}

// PendingStatusUpdates are the status updates that a stopping entry still has to
// send to its successor.
type PendingStatusUpdates struct {
	Updates []dispatch.StatusUpdate
	Idle    bool // no task is running that could cause another update
}

// TakeStatusUpdates returns the status updates since its last call.
func (l *Loop) TakeStatusUpdates() (PendingStatusUpdates, error) {
	reply := make(chan PendingStatusUpdates, 1)
	return call(l, takeUpdatesMessage{reply}, reply)
}

// call sends a message and waits for its reply.
func call[T any](l *Loop, m message, reply <-chan T) (T, error) {
	var zero T
	if err := l.enqueue(m); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-l.done:
		return zero, &StoppedError{}
	}
}

type handoverMessage struct {
	input dispatch.Input
	to    jobid.Incarnation
	reply chan HandoverStep
}

func (m *handoverMessage) handle(l *Loop) {
	ready := l.step(m.input)
	step := HandoverStep{Transfer: ready.Transfer, HandedOver: ready.HandedOver}
	if step.Transfer != nil {
		step.Submissions = l.submissions.forTransfer(step.Transfer)
	}
	if step.HandedOver {
		l.handover.successor = membership.Incarnation(m.to)
		l.publish()
	}
	m.reply <- step
}

// forTransfer returns the submissions of the open jobs in a part.
func (m submissions) forTransfer(t *dispatch.Transfer) map[jobid.ID]Submission {
	found := make(map[jobid.ID]Submission, len(t.Jobs))
	for i := range t.Jobs {
		id := t.Jobs[i].Submit.ID
		if s, ok := m[id]; ok {
			found[id] = s
		}
	}
	return found
}

// handoverState is the state of the handovers from and to this entry.
type handoverState struct {
	successor membership.Incarnation // entry that has taken over the jobs; 0: none

	staged  map[jobid.Incarnation][]Submission // submissions of incomplete handovers to this entry, by sender
	updates []dispatch.StatusUpdate            // not yet taken by TakeStatusUpdates
	gone    map[membership.Incarnation]bool    // entries already reported to the core as gone
}

func newHandoverState() handoverState {
	return handoverState{
		staged: make(map[jobid.Incarnation][]Submission),
		gone:   make(map[membership.Incarnation]bool),
	}
}

// applyHandover carries out the core's actions for a handover by this entry.
func (l *Loop) applyHandover(ready *dispatch.Ready) {
	l.handover.updates = append(l.handover.updates, ready.StatusUpdates...)
	for _, id := range ready.MovedJobs {
		delete(l.submissions, id)
		l.waiters.finish(id, event{moved: true})
	}
}

type acceptMessage struct {
	transfer    *dispatch.Transfer
	submissions []Submission
	reply       chan dispatch.Acceptance
}

// handle stores the submissions before the core starts their tasks.
func (m *acceptMessage) handle(l *Loop) {
	from := m.transfer.Part.From
	staged := append(l.handover.staged[from], m.submissions...)
	l.handover.staged[from] = staged
	if m.transfer.Part.Last {
		l.addSubmissions(staged)
	}
	acceptance := *l.step(&dispatch.Accept{Transfer: *m.transfer}).Acceptance
	if acceptance.Err != nil {
		l.dropSubmissions(staged)
	}
	if acceptance.Err != nil || acceptance.Done {
		delete(l.handover.staged, from)
	}
	if acceptance.Done {
		l.updateMembership(&membership.HandoverReceived{Owners: members(m.transfer.Part.Owners)})
	}
	l.publish()
	m.reply <- acceptance
}

func members(owners []jobid.Incarnation) []membership.Incarnation {
	return lo.Map(owners, func(id jobid.Incarnation, _ int) membership.Incarnation {
		return membership.Incarnation(id)
	})
}

func (l *Loop) addSubmissions(list []Submission) {
	for _, s := range list {
		l.submissions.putIfAbsent(s)
	}
}

// dropSubmissions deletes the submissions of jobs that this entry does not
// answer for.
func (l *Loop) dropSubmissions(list []Submission) {
	owners := l.opts.Core.Owners()
	for _, s := range list {
		if !slices.Contains(owners, s.ID.Owner) {
			delete(l.submissions, s.ID)
		}
	}
}

type statusUpdatesMessage struct {
	updates []dispatch.StatusUpdate
	reply   chan struct{}
}

func (m *statusUpdatesMessage) handle(l *Loop) {
	for i := range m.updates {
		l.step(&m.updates[i])
	}
	m.reply <- struct{}{}
}

type takeUpdatesMessage struct{ reply chan PendingStatusUpdates }

func (m takeUpdatesMessage) handle(l *Loop) {
	m.reply <- PendingStatusUpdates{Updates: l.handover.updates, Idle: l.opts.Core.Idle()}
	l.handover.updates = nil
}

// reportGoneOwners reports to the core the entries that are gone since the last
// view.
func (l *Loop) reportGoneOwners() {
	gone := l.handover.gone
	for _, e := range l.view.Others {
		if e.State == membership.Gone && !gone[e.Incarnation] {
			gone[e.Incarnation] = true
			l.step(&dispatch.OwnerGone{Incarnation: jobid.Incarnation(e.Incarnation)})
		}
	}
}
