package fleet

import (
	"time"

	"lovagespread.example/membership/contact"
)

// maxSentMicroseconds is the highest time of sending that a message may name, in
// microseconds.
const maxSentMicroseconds = uint64(contact.MaxClock / time.Microsecond)

// bootMicroseconds returns the boot clock for a message that is about to be sent, in
// microseconds; 0: the kernel has no such clock.
func bootMicroseconds(readClocks func() (time.Time, time.Duration)) uint64 {
	_, boot := readClocks()
	return uint64(max(0, boot.Microseconds()))
}

// delayOf returns how long a message of another entry, which the loop handles now, was on
// its way or waited to be read. It is 0 if the message does not say when it was sent
// (sentUs is 0). A freeze of this VM counts: it makes the message look older by the
// monotonic clock than it is.
func (l *Loop) delayOf(sender, sentUs uint64) time.Duration {
	if sentUs > maxSentMicroseconds {
		return 0
	}
	_, boot := l.freezeDetector.readClocks()
	return l.delays.Delay(sender, boot, time.Duration(sentUs)*time.Microsecond)
}
