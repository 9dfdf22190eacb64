package modelcheck

// Config is the size of a World.
type Config struct {
	Entries int
	// Jobs has one element a job and one a task: whether it is idempotent.
	// Job j belongs to entry j modulo Entries.
	Jobs           [][]bool
	MaxAttempts    uint32 // of one task
	MaxPartRecords int    // records in one part of a hand-over
	MaxParts       int    // of a hand-over, before the last one
	Faults         Faults
}

// Faults says how many times each thing may happen.
type Faults struct {
	Crashes    int // an entry dies
	Pauses     int // an entry sleeps past the leases of its unwritten tasks
	Losses     int // a message, or the patience for its reply, is lost
	Duplicates int // a reply or a hand-over message comes twice
	Refusals   int // the endpoint refuses a task
	Failures   int // a task runs and gives no result
	Partitions int // one entry is cut off from the others
	Stops      int // an entry begins a planned stop
	Cancels    int // a caller cancels
	Rejections int // an entry refuses a job as not run
	Expiries   int // all job IDs expire
}

func (f *Faults) appendState(b []byte) []byte {
	for _, count := range []int{
		f.Crashes, f.Pauses, f.Losses, f.Duplicates, f.Refusals, f.Failures,
		f.Partitions, f.Stops, f.Cancels, f.Rejections, f.Expiries,
	} {
		b = append(b, byte(count))
	}
	return b
}
