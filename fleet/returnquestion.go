package fleet

import (
	"maps"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// returnQuestion asks the other entries for earlier submissions of one job. It is safe for
// concurrent use.
type returnQuestion struct {
	job     returnedJob
	decided chan struct{} // closed when the job may be submitted
	late    chan struct{} // has a value if something was found after that

	mu    sync.Mutex
	found returnFindings
}

// returnFindings are the answers to a question.
type returnFindings struct {
	submissions []foundSubmission
	unanswered  int           // entries that did not answer in time
	entries     int           // entries that were asked
	took        time.Duration // until the decision
}

// foundSubmission is an earlier submission, or a later one, and the entry that had it.
type foundSubmission struct {
	earlierSubmission
	at cells.Incarnation
}

func newReturnQuestion(job returnedJob) *returnQuestion {
	return &returnQuestion{job: job, decided: make(chan struct{}), late: make(chan struct{}, 1)}
}

// add records a submission that was found.
func (q *returnQuestion) add(s foundSubmission) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.found.submissions = append(q.found.submissions, s)
	select {
	case <-q.decided:
		if s.matters() {
			q.signalLate()
		}
	default:
	}
}

// signalLate reports that something was found after the decision.
func (q *returnQuestion) signalLate() {
	select {
	case q.late <- struct{}{}:
	default:
	}
}

// decide ends the wait for answers.
func (q *returnQuestion) decide(entries, unanswered int, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.found.entries, q.found.unanswered, q.found.took = entries, unanswered, took
	close(q.decided)
}

// take returns what was found since the last call.
func (q *returnQuestion) take() returnFindings {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := q.found
	q.found.submissions = nil
	select {
	case <-q.late:
	default:
	}
	return found
}

// questionBatch is a group of questions that go to the same entries in one message each.
// It is safe for concurrent use.
type questionBatch struct {
	questions map[leased.JobID]*returnQuestion
	askedAt   time.Time
	entries   int           // that are asked
	changed   chan struct{} // has a value if an entry has answered

	mu      sync.Mutex
	open    map[cells.Incarnation]struct{} // entries that have not answered
	unasked map[cells.Incarnation]struct{} // entries that others have heard, and this one has not
}

func newQuestionBatch(now time.Time, questions map[leased.JobID]*returnQuestion, entries []recentEntry) *questionBatch {
	b := &questionBatch{
		questions: questions, askedAt: now, entries: len(entries), changed: make(chan struct{}, 1),
		open: make(map[cells.Incarnation]struct{}, len(entries)), unasked: make(map[cells.Incarnation]struct{}),
	}
	for _, e := range entries {
		b.open[e.Incarnation] = struct{}{}
	}
	return b
}

func (b *questionBatch) jobs() []returnedJob {
	list := make([]returnedJob, 0, len(b.questions))
	for _, q := range b.questions {
		list = append(list, q.job)
	}
	return list
}

// answer records the answer of an entry.
func (b *questionBatch) answer(from cells.Incarnation, found map[leased.JobID]earlierSubmission, unasked []cells.Incarnation) {
	for id, s := range found {
		b.questions[id].add(foundSubmission{s, from})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, from)
	for _, id := range unasked {
		b.unasked[id] = struct{}{}
	}
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// review removes the entries that need not answer any more, because they were not heard
// for claimsEnd: no holder renews the runs of their jobs. It reports whether the questions
// can be decided, and how many entries have not answered. An entry that is silent since it
// was asked is waited for, because its silence ends all doubt sooner than the wait of a
// resubmitted job; one that sends heartbeats and does not answer is not.
func (b *questionBatch) review(now time.Time, heardAt func(cells.Incarnation) time.Time, claimsEnd time.Duration) (decided bool, unanswered int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.open, func(id cells.Incarnation, _ struct{}) bool { return now.Sub(heardAt(id)) > claimsEnd })
	if len(b.open) == 0 {
		return true, len(b.unasked)
	}
	if now.Sub(b.askedAt) < answerTimeout {
		return false, 0
	}
	for id := range b.open {
		if heardAt(id).After(b.askedAt) {
			return true, len(b.open) + len(b.unasked)
		}
	}
	return false, 0
}

// isOpen reports whether the answer of an entry is missing.
func (b *questionBatch) isOpen(id cells.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, open := b.open[id]
	return open
}

// decide ends the wait of all questions.
func (b *questionBatch) decide(unanswered int) {
	for _, q := range b.questions {
		q.decide(b.entries, unanswered, time.Since(b.askedAt))
	}
}
