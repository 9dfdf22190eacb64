// Package spread chooses which of several holders gets a new job, from the free
// capacity that they have announced. It does no I/O and draws no random numbers
// itself.
//
// Announcements are old by the time they are used, and every entry reads the
// same ones. If all jobs went to the holder with the most free capacity, they
// would all go to one holder until the next announcement and queue there, while
// the others run out of work. So a holder is drawn with a probability that is
// proportional to its free capacity, which keeps the load even however old the
// announcements are.
package spread

// Pick returns the index of the holder that gets a job. The slice free holds the
// announced free capacity of each holder, in any unit, and draw is a uniform
// random number in [0, 1). If no holder has free capacity, each is as likely as
// the others. Pick returns -1 if there is no holder.
func Pick(free []int, draw float64) int {
	if len(free) == 0 {
		return -1
	}
	total := 0
	for _, f := range free {
		total += max(f, 0)
	}
	if total == 0 {
		return min(int(draw*float64(len(free))), len(free)-1)
	}
	left := draw * float64(total)
	last := -1 // holder with free capacity; rounding may use up the draw before it
	for i, f := range free {
		if f <= 0 {
			continue
		}
		last = i
		left -= float64(f)
		if left < 0 {
			break
		}
	}
	return last
}
