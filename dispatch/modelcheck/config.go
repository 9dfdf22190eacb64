package modelcheck

// Config describes the modeled system.
type Config struct {
	Entries int
	// Jobs has one element for each job, which tells for each of its tasks
	// whether the task is idempotent. Job j belongs to entry j modulo Entries.
	Jobs           [][]bool
	MaxAttempts    uint32 // of one task
	MaxPartRecords int    // records in one part of a handover
	MaxParts       int    // of a handover, before the last one
	Faults         Faults
}

// Faults limits how often each event may happen.
type Faults struct {
	Crashes    int // an entry crashes
	Pauses     int // an entry pauses past the leases of its unwritten tasks
	Losses     int // a handover message is lost, or a connection breaks before its reply
	Duplicates int // a reply, a handover part or a status message is delivered twice
	Refusals   int // the endpoint refuses a task
	Failures   int // a task runs and returns no result
	Partitions int // one entry is partitioned from the others
	Stops      int // an entry begins a planned stop
	Cancels    int // a caller cancels
	Rejections int // an entry rejects a job as not run
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
