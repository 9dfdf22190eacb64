package claim

// Key is an idempotency key within the scope of a team.
type Key struct {
	Team string
	Name string
}

// Record is one claim as it stands on the log.
type Record struct {
	Key   Key
	JobID string // text form
}

// Input is anything that Claimer.Step takes.
type Input interface{ isInput() }

// Request asks what a key stands for, and claims it for a fresh job ID if it
// stands for nothing.
type Request struct {
	Key   Key
	JobID string // text form
}

// Appended says that the append under way has taken effect.
type Appended struct{}

// AppendFailed says that the append under way has not, or may not have, taken
// effect.
type AppendFailed struct{}

// RecordsRead brings the records that were read from the log, from offset First
// on. Records that were read before are ignored.
type RecordsRead struct {
	First   int64
	Records []Record
}

// Tick lets time pass.
type Tick struct{}

func (*Request) isInput()      {}
func (*Appended) isInput()     {}
func (*AppendFailed) isInput() {}
func (*RecordsRead) isInput()  {}
func (*Tick) isInput()         {}

// Ready holds what follows from one input. It is valid until the next Step.
type Ready struct {
	Append   []Record // one append, in order; empty: none
	Bindings []Binding
	Refusals []Refusal
}

// Binding says what a key stands for. It answers every Want of that key.
type Binding struct {
	Key   Key
	JobID string
	Own   bool // the job ID is that of a Want of this Claimer
}

// Reason is why a claim was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonOverload       Reason = "overloaded" // too many claims wait for the log
	ReasonLogUnavailable Reason = "log_down"   // the log did not confirm in time
)

// Refusal says that a key could not be claimed. See the package comment for
// what its caller may be told.
type Refusal struct {
	Key    Key
	JobID  string
	Reason Reason
}
