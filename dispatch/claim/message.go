package claim

// Key is an idempotency key within the scope of a team.
type Key struct {
	Team string
	Name string
}

// Record is one claim as stored on the log.
type Record struct {
	Key   Key
	JobID string // text form
}

// Input is an input of Claimer.Step.
type Input interface{ isInput() }

// Request asks which job ID a key is bound to, and claims the key for a new
// job ID if it is not bound yet.
type Request struct {
	Key   Key
	JobID string // text form
}

// Appended reports that the append in progress has taken effect.
type Appended struct{}

// AppendFailed reports that the append in progress has not taken effect, or
// that its outcome is unknown.
type AppendFailed struct{}

// RecordsRead carries consecutive records read from the log, starting at offset
// First. Records that were read before are ignored.
type RecordsRead struct {
	First   int64
	Records []Record
}

// Tick carries no event. It lets the Claimer act on the time passed to Step.
type Tick struct{}

func (*Request) isInput()      {}
func (*Appended) isInput()     {}
func (*AppendFailed) isInput() {}
func (*RecordsRead) isInput()  {}
func (*Tick) isInput()         {}

// Ready holds the actions that follow from one input. It is valid until the
// next Step.
type Ready struct {
	Append   []Record // records of the append to start, in order; empty: no append
	Bindings []Binding
	Refusals []Refusal
}

// Binding reports the job ID that a key is bound to. It answers every pending
// Request for that key.
type Binding struct {
	Key   Key
	JobID string
	Own   bool // the job ID comes from a Request to this Claimer
}

// Reason tells why a claim was refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonOverload       Reason = "overloaded" // too many claims wait for the log
	ReasonLogUnavailable Reason = "log_down"   // the log did not confirm in time
)

// Refusal reports that a key could not be claimed. The package comment describes
// which answers its caller may get.
type Refusal struct {
	Key    Key
	JobID  string
	Reason Reason
}
