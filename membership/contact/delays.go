// Package contact estimates how long messages of other processes were on their way. It
// does no I/O and reads no clock.
package contact

import "time"

// Limits of what is remembered.
const (
	// halfWindow is half of the sliding window over which the smallest difference is
	// taken. The differences of clocks that drift apart by 1e-4 change by 1 ms at most
	// within the window.
	halfWindow = 5 * time.Second
	// retention is how long a sender is remembered after its last message.
	retention = time.Minute
	// maxSenders bounds the senders that are remembered: those heard last.
	maxSenders = 4096
	// MaxClock is the highest time of a boot clock that is taken for one: 100 years.
	MaxClock = 100 * 365 * 24 * time.Hour
)

// Delays estimates the delays of messages that say when they were sent. The difference
// between the receiver's clock at receipt and the sender's clock at sending is unknown
// for a message without delay, but the smallest one of recent messages comes close to
// it. What the difference of a message exceeds that by is its delay.
//
// Both clocks must count the time for which a VM is frozen. If the difference rises for
// good, because a clock does not, messages look older until the window has passed.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Delays struct {
	senders   map[uint64]*window
	nextPrune time.Duration
}

// window keeps the smallest difference over the current half window and the one before.
// Half windows end with messages: after a pause without any, which may be one of the
// receiver, the earlier minimum applies until another half window has passed.
type window struct {
	began         time.Duration // of the current half window, on the receiver's clock
	lastAt        time.Duration // of the latest message, on the receiver's clock
	current, last time.Duration // smallest differences
}

// Delay records a heartbeat and returns how much longer it was on its way than the fastest
// recent one of its sender. It is not negative. It is 0 for the first heartbeat of a
// sender, and for one that does not say when it was sent (sentAt is 0) or says a time that
// no clock shows. receivedAt is the receiver's boot clock at receipt, and sentAt the
// sender's at sending.
func (d *Delays) Delay(sender uint64, receivedAt, sentAt time.Duration) time.Duration {
	if !valid(receivedAt) || !valid(sentAt) {
		return 0
	}
	d.prune(receivedAt)
	difference := receivedAt - sentAt
	w := d.senders[sender]
	if w == nil {
		d.add(sender, &window{began: receivedAt, lastAt: receivedAt, current: difference, last: difference})
		return 0
	}
	w.add(receivedAt, difference)
	return difference - min(w.current, w.last)
}

// DelayOfCall returns the same for a call, but does not record it. A cut holds calls up
// for seconds, while it drops heartbeats, so that a call could become the fastest message
// of the window. It is 0 if no heartbeat of the sender is known.
func (d *Delays) DelayOfCall(sender uint64, receivedAt, sentAt time.Duration) time.Duration {
	w := d.senders[sender]
	if w == nil || !valid(receivedAt) || !valid(sentAt) {
		return 0
	}
	return max(0, receivedAt-sentAt-min(w.current, w.last))
}

func valid(clock time.Duration) bool { return clock > 0 && clock <= MaxClock }

func (w *window) add(receivedAt, difference time.Duration) {
	w.lastAt = receivedAt
	if receivedAt-w.began < halfWindow {
		w.current = min(w.current, difference)
		return
	}
	w.began = receivedAt
	w.last, w.current = w.current, difference
}

func (d *Delays) add(sender uint64, w *window) {
	if len(d.senders) >= maxSenders {
		d.forgetOldest()
	}
	if d.senders == nil {
		d.senders = make(map[uint64]*window)
	}
	d.senders[sender] = w
}

// forgetOldest forgets the sender of which no message has arrived for the longest time.
func (d *Delays) forgetOldest() {
	var oldest uint64
	var w *window
	for sender, candidate := range d.senders {
		if w == nil || candidate.lastAt < w.lastAt || candidate.lastAt == w.lastAt && sender < oldest {
			oldest, w = sender, candidate
		}
	}
	delete(d.senders, oldest)
}

// prune forgets the senders of which no message has arrived for a long time.
func (d *Delays) prune(now time.Duration) {
	if now < d.nextPrune {
		return
	}
	d.nextPrune = now + halfWindow
	for sender, w := range d.senders {
		if now-w.lastAt > retention {
			delete(d.senders, sender)
		}
	}
}
