package dispatch

import (
	"time"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

// HandOver begins the handover of all jobs to another entry, the receiver, which
// answers for this entry's job IDs afterwards. The core keeps serving until it
// sends the last part. Each part is returned as Ready.Transfer and must be
// followed by a TransferResult. While the outcome of the last part is uncertain,
// the core defers the inputs of callers and endpoints; they must not be changed
// after Step.
type HandOver struct {
	To jobid.Incarnation
	// MaxRecords bounds the number of open jobs and the number of answers in
	// one part. Default 500.
	MaxRecords int
	// MaxBytes bounds the size of submissions and results in one part, and the
	// size of its answers unless it holds only one. Default 8 MiB.
	MaxBytes int
}

// Defaults of HandOver.
const (
	DefaultTransferRecords = 500
	DefaultTransferBytes   = 8 << 20
)

// maxTransferParts bounds the number of parts before the last one.
const maxTransferParts = 10_000

// Transfer is one part of a handover.
type Transfer struct {
	Part    ledger.Part
	Jobs    []TransferredJob // one for each of Part.Jobs
	Answers []Answer         // of jobs that have ended, for repeated requests
}

// TransferredJob is the data that the receiver needs to run an open job.
type TransferredJob struct {
	Submit   Submit
	Admitted time.Time
	Results  [][]byte      // nil for a task without a result
	Longest  time.Duration // run time of the longest task that has ended
}

// TransferOutcome is the outcome of a Transfer.
type TransferOutcome int

// Outcomes of a Transfer.
const (
	// TransferConfirmed: the receiver has accepted the part.
	TransferConfirmed TransferOutcome = iota
	// TransferRefused: the receiver itself has refused the part, or the part
	// was sent only once and no byte of it was written. The core cancels the
	// handover and continues to serve.
	TransferRefused
	// TransferUncertain: the part may have been accepted. It is sent again.
	TransferUncertain
	// TransferReceiverGone: the part may have been accepted, and the receiver no
	// longer runs. If it was the last part, the open jobs are rejected with an
	// unknown execution; otherwise the core cancels the handover and continues
	// to serve.
	TransferReceiverGone
)

// TransferResult reports the outcome of the latest Transfer.
type TransferResult struct{ Outcome TransferOutcome }

// Accept delivers one part of another entry's handover. Ready.Acceptance is the
// reply.
type Accept struct{ Transfer Transfer }

// Acceptance is the reply to Accept. Err is a typed error of package ledger if
// the handover is permanently refused.
type Acceptance struct {
	From jobid.Incarnation
	Done bool // this core now answers for the jobs of From
	Err  error
}

// StatusUpdate reports the status of an attempt that was started before its job
// was handed over. It may arrive more than once.
type StatusUpdate struct {
	Task    TaskRef
	Attempt int
	Status  ledger.AttemptStatus
	RunTime time.Duration
	Result  []byte
	Detail  string
}

// OwnerGone reports that an entry no longer runs, so that no StatusUpdate will
// come from it.
type OwnerGone struct{ Incarnation jobid.Incarnation }

func (*HandOver) isInput()       {}
func (*TransferResult) isInput() {}
func (*Accept) isInput()         {}
func (*StatusUpdate) isInput()   {}
func (*OwnerGone) isInput()      {}

// HandoverActions holds the actions of a handover.
type HandoverActions struct {
	Transfer   *Transfer   // to send to the receiver
	Acceptance *Acceptance // reply to the sender
	// StatusUpdates must be sent to the receiver until it has confirmed them.
	StatusUpdates []StatusUpdate
	// MovedJobs are jobs whose waiting callers must be forwarded to the receiver.
	MovedJobs []jobid.ID
	// HandedOver is true once the receiver has confirmed the last part.
	HandedOver bool
}

func (s *HandoverActions) reset() {
	s.Transfer = nil
	s.Acceptance = nil
	s.StatusUpdates = s.StatusUpdates[:0]
	s.MovedJobs = s.MovedJobs[:0]
	s.HandedOver = false
}

// handoverSender is the state of a handover on the side of its sender.
type handoverSender struct {
	limit            ledger.PartLimit
	parts            int
	pending          *Transfer // without result
	unsentAnswers    []jobid.ID
	collectedAnswers map[jobid.ID]bool // sent or in unsentAnswers
	deferred         []Input           // received while the outcome of the last part was uncertain
	lastPart         lastPartState
}

// lastPartState is what the sender knows about the last part.
type lastPartState int

const (
	lastPartUnresolved lastPartState = iota // not sent, or its outcome is uncertain
	lastPartConfirmed                       // the receiver has accepted it
	lastPartUnknown                         // the outcome will never be known
)

// handoverReceiver is the state of a handover on the side of its receiver.
type handoverReceiver struct {
	session   uint64
	transfers map[int]*Transfer
	done      bool
}

// applyHandover applies the inputs of a handover.
func (c *Core) applyHandover(in Input) {
	switch in := in.(type) {
	case *HandOver:
		c.handOver(in)
	case *TransferResult:
		c.transferResult(in.Outcome)
	case *Accept:
		c.accept(&in.Transfer)
	case *StatusUpdate:
		c.updateStatus(in)
	case *OwnerGone:
		c.ownerGone(in.Incarnation)
	}
}

// Owners returns the incarnations whose jobs this core answers for. It returns
// none once the core has handed its jobs over.
func (c *Core) Owners() []jobid.Incarnation {
	if c.sender != nil && c.sender.lastPart != lastPartUnresolved {
		return nil
	}
	return c.ledger.Owners()
}

// Idle reports whether no job is open and no task that this core started is
// running. If it is true after a handover, the process may exit.
func (c *Core) Idle() bool { return len(c.jobs) == 0 }
