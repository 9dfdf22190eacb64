package leased_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lovagespread.example/dispatch/leased"
)

// pointKind is the kind of a choice point.
type pointKind uint8

const (
	atStart pointKind = iota
	atStop
	atHold
	atDelegate
	atDelegateAnswer
	atDelegateCancel
	atSubmit
	atAnswer
	atMoment // nothing happens unless a fault is chosen
)

// Deviations of messages. 0 is prompt delivery.
const (
	requestLost = 1 // executed lateExecution later, and not answered
	replyLost   = 2

	startDelayed        = 3 // executed shortStall later, and not answered
	startDelayedRefused = 4 // the same; the endpoint refuses tasks until then
	startOvertakes      = 5 // a list from before it, which arrives later

	stopOvertakes = 3 // as startOvertakes
	stopsLost     = 4 // the further ones of the run, too

	delegateNotSent = 1
	delegateLost    = 2
	delegateLate    = 3 // arrives shortDelay later, though the connection broke; the Cancel follows longDelay later

	cancelShort = 1
	cancelLong  = 2

	submitLost          = 1
	submitLostElsewhere = 2
	submitLate          = 3 // as delegateLate
	submitLateElsewhere = 4

	answerLostElsewhere = 2
)

var (
	startDeviations          = []string{"request lost", "reply lost", "delayed", "delayed, others refused until then", "overtakes a list"}
	stopDeviations           = []string{"request lost", "reply lost", "overtakes a list", "lost, and all further ones"}
	holdDeviations           = []string{"request lost", "reply lost"}
	delegateDeviations       = []string{"not sent", "lost", "connection breaks, arrives late, long cancel"}
	delegateAnswerDeviations = []string{"lost"}
	cancelDeviations         = []string{"delayed", "delayed for long"}
	submitDeviations         = []string{"lost", "lost, then elsewhere", "arrives late, long cancel", "arrives late, long cancel, then elsewhere"}
	answerDeviations         = []string{"lost", "lost, then elsewhere"}
)

// messages names the kinds of messages and their deviations.
var messages = [...]struct {
	name       string
	deviations []string
}{
	atStart: {"Start", startDeviations}, atStop: {"Stop", stopDeviations}, atHold: {"Hold", holdDeviations},
	atDelegate: {"delegation", delegateDeviations}, atDelegateAnswer: {"delegate's answer", delegateAnswerDeviations},
	atDelegateCancel: {"cancellation of a delegation", cancelDeviations}, atSubmit: {"submission", submitDeviations},
	atAnswer: {"answer", answerDeviations}, atMoment: {"moment", nil},
}

// Delays of a Cancel after a connection broke: the other side notices it some
// milliseconds later, or, if it can no longer hear the entry, when it has been silent
// for long.
const (
	shortDelay = 40 * time.Millisecond
	longDelay  = 1300 * time.Millisecond
)

// shortStall is shorter than a lease, so that a Start that is delayed by it is still
// executed, and longer than the time within which a Start without a reply is repeated.
const shortStall = 250 * time.Millisecond

// choicePoint is a point of a schedule at which something may fail.
type choicePoint struct {
	kind     pointKind
	holder   int
	endpoint int
	task     leased.TaskID
	run      int
	at       time.Duration
}

func (p choicePoint) String() string {
	switch p.kind {
	case atStart, atStop:
		return fmt.Sprintf("%s h%d e%d %s run %d", messages[p.kind].name, p.holder, p.endpoint, taskName(p.task), p.run)
	case atHold:
		return fmt.Sprintf("%s h%d e%d", messages[p.kind].name, p.holder, p.endpoint)
	case atDelegate, atDelegateAnswer, atDelegateCancel:
		return fmt.Sprintf("%s h%d %s run %d", messages[p.kind].name, p.holder, taskName(p.task), p.run)
	}
	return fmt.Sprintf("%s h%d", messages[p.kind].name, p.holder)
}

// choice is a deviation at a choice point: its number in the schedule, and the number
// of the option.
type choice struct{ point, option int }

// schedule lists the deviations from the run in which nothing fails.
type schedule []choice

// String returns the form that -restart-schedule reads.
func (s schedule) String() string {
	parts := make([]string, len(s))
	for i, c := range s {
		parts[i] = fmt.Sprintf("%d.%d", c.point, c.option)
	}
	return strings.Join(parts, ",")
}

// script decides at choice points, and records what it has decided.
type script struct {
	choices schedule
	next    int // index of the next one of choices
	points  int // choice points so far
	// branches lists the number of options at each choice point after the last
	// deviation, if record is set.
	record   bool
	branches []choice
	// sample draws deviations until choices has this many; nil: none.
	sample    *rand.Rand
	sampled   int
	described []string // the deviations
	kinds     []string // the same without times and names
	visited   func(choicePoint)
}

// Shares of the choice points at which sampling deviates. There are some ten times as
// many messages as moments.
const (
	sampledMoments  = 0.2
	sampledMessages = 0.02
)

// decide returns the option at the next choice point, which has n of them; 0 is none.
func (s *script) decide(p choicePoint, n int) int {
	point := s.points
	s.points++
	if s.visited != nil {
		s.visited(p)
	}
	if s.sample != nil {
		return s.draw(p, point, n)
	}
	if s.next < len(s.choices) {
		c := s.choices[s.next]
		if c.point != point {
			return 0
		}
		s.next++
		return c.option
	}
	if s.record {
		s.branches = append(s.branches, choice{point, n})
	}
	return 0
}

func (s *script) draw(p choicePoint, point, n int) int {
	share := sampledMessages
	if p.kind == atMoment {
		share = sampledMoments
	}
	if len(s.choices) >= s.sampled || s.sample.Float64() >= share {
		return 0
	}
	c := choice{point, 1 + s.sample.IntN(n)}
	s.choices = append(s.choices, c)
	return c.option
}

// choose decides at the choice point of a message with n deviations.
func (w *restartWorld) choose(p choicePoint, n int) int {
	if w.now < restartSubmitAt || w.now > restartSubmitAt+restartChoiceTime {
		return 0
	}
	p.at = w.now
	option := w.script.decide(p, n)
	if option > 0 {
		w.deviate(p.String(), messages[p.kind].name, messages[p.kind].deviations[option-1])
		w.addMoments()
	}
	return option
}

// deviate records a deviation.
func (w *restartWorld) deviate(what, kind, how string) {
	w.tracef("DEVIATION: %s: %s", what, how)
	w.script.described = append(w.script.described, fmt.Sprintf("%v: %s: %s", w.now, what, how))
	w.script.kinds = append(w.script.kinds, kind+": "+how)
}

// addMoments adds moments at which a further fault may meet what a deviation has left.
func (w *restartWorld) addMoments() {
	for _, d := range []time.Duration{5, 100, 500, 1200} {
		w.after(d*time.Millisecond, w.moment)
	}
}
