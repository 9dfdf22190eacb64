package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// clocks finds out for how long the process stood still: the steady clock does
// not count that time, the boot clock does.
type clocks struct {
	steady time.Time
	boot   time.Duration
}

func startClocks() clocks { return clocks{steady: time.Now(), boot: bootTime()} }

// gap returns for how long the process stood still since the last call.
func (c *clocks) gap() time.Duration {
	now := startClocks()
	gap := now.boot - c.boot - now.steady.Sub(c.steady)
	*c = now
	return gap
}

// bootTime returns the boot clock. It cannot fail for a clock that the kernel
// knows; a kernel without it reports no freezes.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
