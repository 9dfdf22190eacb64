package dispatch

import (
	"time"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

// HandOver begins to hand all jobs over to another entry, which answers for
// this entry's job IDs afterwards. The core serves on until the last part.
// Each part comes as Ready.Transfer; a TransferResult must follow it. While
// the last part is in doubt the core keeps the inputs of callers and endpoints
// for later: they must not be changed after Step.
type HandOver struct {
	To jobid.Incarnation
	// MaxRecords bounds the open jobs in one part, and the answers. Default
	// 500.
	MaxRecords int
	// MaxBytes bounds the bytes of submissions and results in one part, and
	// those of answers, if there is more than one. Default 8 MiB.
	MaxBytes int
}

// Defaults of HandOver.
const (
	DefaultTransferRecords = 500
	DefaultTransferBytes   = 8 << 20
)

// maxTransferParts bounds the parts that are sent before the last one.
const maxTransferParts = 10_000

// Transfer is one part of a hand-over.
type Transfer struct {
	Part    ledger.Part
	Jobs    []TransferredJob // one for each of Part.Jobs
	Answers []Answer         // of jobs that have ended, for re-asking
}

// TransferredJob is what the successor needs to run an open job.
type TransferredJob struct {
	Submit   Submit
	Admitted time.Time
	Results  [][]byte // nil where a task has none
	Longest  time.Duration
}

// TransferOutcome is what became of a Transfer.
type TransferOutcome int

// Outcomes of a Transfer.
const (
	// TransferConfirmed: the successor has accepted it.
	TransferConfirmed TransferOutcome = iota
	// TransferRefused: the successor itself has refused it, or no byte of it
	// was written the only time that it was sent. The core serves on.
	TransferRefused
	// TransferUnsure: it may have been accepted. It is sent again.
	TransferUnsure
	// TransferHopeless: it may have been accepted, and the successor is gone.
	// After the last part the open jobs end with their outcome unknown;
	// before it the core serves on.
	TransferHopeless
)

// TransferResult tells what became of the latest Transfer.
type TransferResult struct{ Outcome TransferOutcome }

// Accept brings one part of another entry's hand-over. Ready.Acceptance is
// the reply.
type Accept struct{ Transfer Transfer }

// Acceptance is the reply to Accept. Err is a typed error of package ledger
// if the hand-over is refused for good.
type Acceptance struct {
	From jobid.Incarnation
	Done bool // this core answers for the jobs of From now
	Err  error
}

// Told brings the fate of an attempt that was started before the job was
// handed over. It may come twice.
type Told struct {
	Task    TaskRef
	Attempt int
	Fate    ledger.AttemptStatus
	RunTime time.Duration
	Result  []byte
	Detail  string
}

// Gone says that an entry no longer runs, so that it will tell no fates.
type Gone struct{ Incarnation jobid.Incarnation }

func (*HandOver) isInput()       {}
func (*TransferResult) isInput() {}
func (*Accept) isInput()         {}
func (*Told) isInput()           {}
func (*Gone) isInput()           {}

// Succession holds the actions of a planned stop.
type Succession struct {
	Transfer   *Transfer   // to send to the successor
	Acceptance *Acceptance // to reply to the former owner
	// Told are fates to tell the successor until it has confirmed them.
	Told []Told
	// Moved are jobs whose waiting callers must be forwarded to the successor.
	Moved []jobid.ID
	// HandedOver: the successor has confirmed the last part.
	HandedOver bool
}

func (s *Succession) reset() {
	s.Transfer = nil
	s.Acceptance = nil
	s.Told = s.Told[:0]
	s.Moved = s.Moved[:0]
	s.HandedOver = false
}

// giving is the state of a hand-over to a successor.
type giving struct {
	limit  ledger.PartLimit
	parts  int
	latest *Transfer         // without result
	unsent []jobid.ID        // answers
	sent   map[jobid.ID]bool // answers
	held   []Input           // that came while the last part was in doubt
	given  givenState
}

// givenState is what is known of the last part.
type givenState int

const (
	givenInDoubt   givenState = iota // or not sent yet
	givenConfirmed                   // the successor has accepted it
	givenHopeless                    // it will never be known
)

// taking is the state of a hand-over from a former owner.
type taking struct {
	session   uint64
	transfers map[int]*Transfer
	done      bool
}

// stepSuccession takes the inputs of a planned stop.
func (c *Core) stepSuccession(in Input) {
	switch in := in.(type) {
	case *HandOver:
		c.handOver(in)
	case *TransferResult:
		c.transferResult(in.Outcome)
	case *Accept:
		c.accept(&in.Transfer)
	case *Told:
		c.told(in)
	case *Gone:
		c.gone(in.Incarnation)
	}
}

// Owners returns the incarnations whose jobs this core answers for: none once
// it has handed them over.
func (c *Core) Owners() []jobid.Incarnation {
	if c.giving != nil && c.giving.given != givenInDoubt {
		return nil
	}
	return c.ledger.Owners()
}

// Idle reports whether no job is open and no task runs that this core has
// started. After a hand-over the process may exit then.
func (c *Core) Idle() bool { return len(c.jobs) == 0 }
