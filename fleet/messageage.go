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

// delayOfHeartbeat returns how long a heartbeat of another entry, which the loop handles
// now, was on its way or waited to be read. It is 0 if the heartbeat does not say when it
// was sent (sentUs is 0). A freeze of this VM counts: it makes the heartbeat look older by
// the monotonic clock than it is.
func (l *Loop) delayOfHeartbeat(sender, sentUs uint64) time.Duration {
	if sentUs > maxSentMicroseconds {
		return 0
	}
	_, boot := l.freezeDetector.readClocks()
	return l.delays.Delay(sender, boot, time.Duration(sentUs)*time.Microsecond)
}

// delayOfCall returns the same for a call.
func (l *Loop) delayOfCall(sender, sentUs uint64) time.Duration {
	if sentUs > maxSentMicroseconds {
		return 0
	}
	_, boot := l.freezeDetector.readClocks()
	return l.delays.DelayOfCall(sender, boot, time.Duration(sentUs)*time.Microsecond)
}
