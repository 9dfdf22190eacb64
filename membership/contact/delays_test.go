package contact

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	sender   = 7
	interval = 110 * time.Millisecond
	boot     = time.Hour       // the receiver's clock at the start of a test
	offset   = 3 * time.Minute // the receiver's clock is ahead by that much
)

// stream sends messages to a Delays at regular intervals.
type stream struct {
	delays Delays
	now    time.Duration // the receiver's clock
	offset time.Duration // of the receiver's clock from the sender's
}

func newStream() *stream { return &stream{now: boot, offset: offset} }

// receive receives a message now that was on its way for a time.
func (s *stream) receive(onItsWay time.Duration) time.Duration {
	return s.delays.Delay(sender, s.now, s.now-onItsWay-s.offset)
}

// pass receives a message without delay at each interval.
func (s *stream) pass(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += interval {
		s.receive(0)
	}
}

func wantDelay(t *testing.T, what string, got, atLeast, atMost time.Duration) {
	t.Helper()
	if got < atLeast || got > atMost {
		t.Errorf("%s: delay of %v, want %v to %v", what, got, atLeast, atMost)
	}
}

// Guards against healthy entries that look older than the jitter of the network.
func TestDelayUnderJitter(t *testing.T) {
	s := newStream()
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		jitter := time.Duration(random.Int64N(int64(5 * time.Millisecond)))
		wantDelay(t, "jitter", s.receive(time.Millisecond+jitter), 0, jitter)
		s.now += interval
	}
}

// Guards against a message that was held up and looks as if it had just been sent.
func TestDelayOfHeldUpMessage(t *testing.T) {
	for _, heldUp := range []time.Duration{100 * time.Millisecond, 850 * time.Millisecond, 10 * time.Second} {
		s := newStream()
		s.pass(12 * time.Second)
		wantDelay(t, "held up", s.receive(heldUp), heldUp, heldUp)
		wantDelay(t, "the next one", s.receive(0), 0, 0)
	}
}

// Guards against messages that were read late, because the receiver stood still, and
// look as if they had been sent when they were read. The pause may be longer than the
// window, and may begin at any time within it.
func TestDelaysAfterReceiverStoodStill(t *testing.T) {
	for _, stoodStill := range []time.Duration{500 * time.Millisecond, 4 * time.Second, 50 * time.Second} {
		for before := time.Second; before < 12*time.Second; before += 300 * time.Millisecond {
			s := newStream()
			s.pass(before)
			stoppedAt := s.now
			s.now += stoodStill
			for sent := stoppedAt; sent < s.now; sent += interval {
				wantDelay(t, "queued", s.receive(s.now-sent), s.now-sent, s.now-sent)
			}
		}
	}
}

// Guards against delays that grow with the age of the estimate if the clocks drift apart.
func TestDelayUnderDrift(t *testing.T) {
	for _, drift := range []float64{-1e-4, 1e-4} {
		s := newStream()
		for range 10_000 { // 18 minutes
			wantDelay(t, "drift", s.receive(0), 0, 1100*time.Microsecond)
			s.now += interval
			s.offset += time.Duration(drift * float64(interval))
		}
	}
}

// Guards against a jump of a clock that makes messages look newer than they are, or older
// for good.
func TestDelayAfterClockJump(t *testing.T) {
	s := newStream()
	s.pass(12 * time.Second)
	s.offset += 3 * time.Second // the sender's clock did not count a freeze
	wantDelay(t, "after a jump up", s.receive(0), 3*time.Second, 3*time.Second)
	s.pass(halfWindow - interval)
	wantDelay(t, "within half a window", s.receive(0), 3*time.Second, 3*time.Second)
	s.pass(halfWindow + 2*interval)
	wantDelay(t, "after the window", s.receive(0), 0, 0)
	s.offset -= 2 * time.Second
	wantDelay(t, "after a jump down", s.receive(0), 0, 0)
	wantDelay(t, "held up after a jump down", s.receive(time.Second), time.Second, time.Second)
}

// Guards against delays that are measured with the clock of another sender, or without
// any earlier message.
func TestDelayOfUnknownSender(t *testing.T) {
	var d Delays
	for id := range uint64(2) {
		wantDelay(t, "first message", d.Delay(id, boot, boot-time.Duration(id)*time.Second), 0, 0)
	}
	wantDelay(t, "second message", d.Delay(1, boot+time.Second, boot-time.Second), time.Second, time.Second)
}

// Guards against calls that are taken for the fastest messages, because a cut drops
// heartbeats and holds calls up: two of them in succession would hide each other's delay.
func TestCallsAreNotTakenForFast(t *testing.T) {
	s := newStream()
	call := func(heldUp time.Duration) time.Duration {
		return s.delays.DelayOfCall(sender, s.now, s.now-heldUp-s.offset)
	}
	wantDelay(t, "call of an unheard sender", call(3*time.Second), 0, 0)
	wantDelay(t, "first heartbeat after a call", s.receive(0), 0, 0)
	s.pass(12 * time.Second)
	wantDelay(t, "undelayed call", call(0), 0, 0)
	for range 5 { // 40 s without a heartbeat
		s.now += 8 * time.Second
		wantDelay(t, "call held up by a cut", call(7*time.Second), 7*time.Second, 7*time.Second)
	}
	wantDelay(t, "heartbeat after the cut", s.receive(0), 0, 0)
	wantDelay(t, "call held up by an earlier cut", call(20*time.Second), 20*time.Second, 20*time.Second)
	wantDelay(t, "call after a jump down", s.delays.DelayOfCall(sender, s.now, s.now-s.offset+time.Second), 0, 0)
	for _, sentAt := range []time.Duration{0, -1, math.MinInt64, MaxClock + 1} {
		wantDelay(t, "absurd time of a call", s.delays.DelayOfCall(sender, s.now, sentAt), 0, 0)
	}
}

// Guards against a sender that is not remembered because there are too many others, whose
// calls count as new.
func TestSendersHeardLastAreRemembered(t *testing.T) {
	s := newStream()
	for id := range uint64(maxSenders) {
		s.delays.Delay(sender+1+id, s.now, s.now)
	}
	s.now += interval
	s.receive(0)
	s.now += interval
	for id := range uint64(100) { // replace others
		s.delays.Delay(2*maxSenders+id, s.now, s.now)
	}
	wantDelay(t, "held up", s.receive(3*time.Second), 3*time.Second, 3*time.Second)
	if n := len(s.delays.senders); n != maxSenders {
		t.Errorf("%d senders are remembered, want %d", n, maxSenders)
	}
}

// Guards against overflow, and against senders that are remembered without limit.
func TestAbsurdTimesCountAsNotDelayed(t *testing.T) {
	var d Delays
	d.Delay(sender, boot, boot)
	for _, sentAt := range []time.Duration{0, -1, math.MinInt64, math.MaxInt64, MaxClock + 1} {
		wantDelay(t, "time of sending", d.Delay(sender, boot, sentAt), 0, 0)
		wantDelay(t, "time of receipt", d.Delay(sender, sentAt, boot), 0, 0)
	}
	wantDelay(t, "after absurd times", d.Delay(sender, boot+time.Second, boot), time.Second, time.Second)
	d.Delay(sender, boot, MaxClock)
	wantDelay(t, "after the highest time", d.Delay(sender, boot, 1), MaxClock-1, MaxClock-1)
	for id := range uint64(2 * maxSenders) {
		d.Delay(id, boot, boot)
	}
	if n := len(d.senders); n > maxSenders {
		t.Errorf("%d senders are remembered, want %d at most", n, maxSenders)
	}
	d.Delay(sender, boot+retention+time.Second, boot)
	if n := len(d.senders); n != 1 {
		t.Errorf("%d senders are remembered after a minute without their messages, want one", n)
	}
}
