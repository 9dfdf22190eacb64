package fleet

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

func testLoop(t *testing.T, endpoints EndpointClient) *Loop {
	t.Helper()
	m := newMetrics(func() float64 { return 0 })
	self := cells.Entry{Name: "e0", FailureDomain: "d0", Incarnation: 1, Weight: 1}
	p := newPeers(self.Incarnation, zap.NewNop())
	l := newLoop(Settings{MaxLease: time.Second, EndpointsPerCell: 32}, self, endpoints, zap.NewNop(), m, p, newFreezeDetector(readClocks, zap.NewNop()))
	p.send, p.latest = l.send, l.Latest
	return l
}

func validHeartbeat() *fleetpb.Beat {
	return &fleetpb.Beat{Name: "e1", Address: "127.0.0.1:1", Beats: "127.0.0.1:2", FailureDomain: "d0", Incarnation: 2, Weight: 0.4, IntervalMs: 110,
		Rooms: []*fleetpb.Room{{FailureDomain: "d0", Cell: 1, Of: 2, Free: []uint32{1000}}}}
}

// A malformed heartbeat must not change what this entry believes. A single token
// at the end of its range would leave no higher one for any entry.
func TestMalformedHeartbeatsAreSkipped(t *testing.T) {
	l := testLoop(t, nil)
	for name, spoil := range map[string]func(*fleetpb.Beat){
		"no name":              func(b *fleetpb.Beat) { b.Name = "" },
		"no incarnation":       func(b *fleetpb.Beat) { b.Incarnation = 0 },
		"weight not a number":  func(b *fleetpb.Beat) { b.Weight = math.NaN() },
		"infinite weight":      func(b *fleetpb.Beat) { b.Weight = math.Inf(1) },
		"negative weight":      func(b *fleetpb.Beat) { b.Weight = -1 },
		"interval of weeks":    func(b *fleetpb.Beat) { b.IntervalMs = math.MaxUint32 },
		"a clock of centuries": func(b *fleetpb.Beat) { b.SentUs = maxSentMicroseconds + 1 },
		"the highest clock":    func(b *fleetpb.Beat) { b.SentUs = math.MaxUint64 },
		"the highest token":    func(b *fleetpb.Beat) { b.Token = math.MaxInt64 },
		"a negative token":     func(b *fleetpb.Beat) { b.Token = -1 },
		"a cell of none":       func(b *fleetpb.Beat) { b.Rooms[0].Of = 0 },
		"a cell beyond all":    func(b *fleetpb.Beat) { b.Rooms[0].Cell = 2 },
		"billions of cells":    func(b *fleetpb.Beat) { b.Rooms[0].Of = math.MaxUint32 },
		"an epoch of nobody":   func(b *fleetpb.Beat) { b.CallEpochs = []*fleetpb.CallEpoch{{Epoch: 1}} },
		"no epoch":             func(b *fleetpb.Beat) { b.CallEpochs = []*fleetpb.CallEpoch{{Incarnation: 1}} },
		"the last epoch": func(b *fleetpb.Beat) {
			b.CallEpochs = []*fleetpb.CallEpoch{{Incarnation: 3, Epoch: 1}, {Incarnation: 1, Epoch: math.MaxUint64}}
		},
		"a call to nobody": func(b *fleetpb.Beat) { b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Calls: []uint64{1}}} },
		"a call without a number": func(b *fleetpb.Beat) {
			b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{0}}}
		},
		"a call named twice": func(b *fleetpb.Beat) {
			b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{7, 0}}}
		},
		"numbers that overflow": func(b *fleetpb.Beat) {
			b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{7, math.MaxUint64}}}
		},
		"numbers beyond the highest": func(b *fleetpb.Beat) {
			b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{maxCallNumber, 1}}}
		},
	} {
		b := validHeartbeat()
		spoil(b)
		data, err := proto.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		l.receiveDatagram(data)
		if n := len(l.messages); n != 0 {
			t.Errorf("%s: accepted", name)
			<-l.messages
		}
	}
	l.receiveDatagram([]byte("\xff\xff\xff not a heartbeat"))
	data, err := proto.Marshal(validHeartbeat())
	if err != nil {
		t.Fatal(err)
	}
	l.receiveDatagram(data)
	if n := len(l.messages); n != 1 {
		t.Errorf("%d messages after a valid heartbeat, want 1", n)
	}
}

// A malformed job of another entry must be answered with an error and not reach
// the loop, which a panic would end.
func TestMalformedRequestsOfPeersAreRejected(t *testing.T) {
	l := testLoop(t, nil)
	s := &server{loop: l, peers: l.peers}
	_, err := s.Lend(context.Background(), &fleetpb.LendRequest{Job: "j", Step: &fleetpb.Step{Tasks: math.MaxUint32}})
	var rejected twirp.Error
	if !errors.As(err, &rejected) || rejected.Code() != twirp.InvalidArgument {
		t.Errorf("delegated task: error %v, want invalid_argument", err)
	}
	_, err = s.Lend(context.Background(), &fleetpb.LendRequest{Job: "j", Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 1000, Epoch: math.MaxUint64})
	if !errors.As(err, &rejected) || rejected.Code() != twirp.InvalidArgument {
		t.Errorf("the last epoch: error %v, want invalid_argument", err)
	}
	_, err = s.Lend(context.Background(), &fleetpb.LendRequest{Job: "j", Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 1000, Call: math.MaxUint64})
	if !errors.As(err, &rejected) || rejected.Code() != twirp.InvalidArgument {
		t.Errorf("the last number of a call: error %v, want invalid_argument", err)
	}
	_, err = s.Lend(context.Background(), &fleetpb.LendRequest{Job: "j", Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 1000, SentUs: math.MaxUint64})
	if !errors.As(err, &rejected) || rejected.Code() != twirp.InvalidArgument {
		t.Errorf("the highest boot clock: error %v, want invalid_argument", err)
	}
	job := jobFromPB(&fleetpb.SubmitRequest{Id: "j", Steps: []*fleetpb.Step{{Tasks: 1, After: []uint32{9}}}})
	if job.Validate() == nil {
		t.Error("a job that depends on a missing step is valid")
	}
	if n := len(l.messages); n != 0 {
		t.Errorf("%d messages reached the loop, want none", n)
	}
}

// panickingClient panics in every call.
type panickingClient struct{}

func (panickingClient) Start(context.Context, *leased.Start) leased.StartReply { panic("start") }
func (panickingClient) Stop(context.Context, *leased.Stop) leased.StopReply    { panic("stop") }
func (panickingClient) Hold(context.Context, *leased.Hold) leased.HoldReply    { panic("hold") }

// An unexpected error in a call to an endpoint ends that call only. Nothing is
// known of its effect, so it counts as unanswered.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	l := testLoop(t, panickingClient{})
	l.start(leased.Start{Endpoint: "x", Task: leased.TaskID{Job: "j"}, Run: 3})
	if got := (<-l.messages).(coreInput).input.(*leased.StartReply); got.Result != leased.StartUnanswered || got.Run != 3 {
		t.Errorf("start: %+v, want unanswered", got)
	}
	l.stop(leased.Stop{Endpoint: "x"})
	if got := (<-l.messages).(coreInput).input.(*leased.StopReply); got.Answered {
		t.Errorf("stop: %+v, want unanswered", got)
	}
	l.hold(leased.Hold{Endpoint: "x", Sequence: 7})
	if got := (<-l.messages).(coreInput).input.(*leased.HoldReply); got.Result != leased.HoldUnanswered || got.Sequence != 7 {
		t.Errorf("hold: %+v, want unanswered", got)
	}
	counted := 0
	families, err := l.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "lovage_panics_total" {
			counted = len(f.GetMetric())
		}
	}
	if counted != 3 {
		t.Errorf("panics of %d operations are counted, want 3", counted)
	}
}

// The end of a delegated task that no supported version sends must not stop the
// loop that handles it, and ends that earlier versions do not know stay readable
// for them.
func TestEndsOfDelegatedTasksOnTheWire(t *testing.T) {
	for end := leased.EndDone; end <= leased.EndEndpointLost; end++ {
		sent := delegatedAnswerToPB(&leased.DelegatedAnswer{End: end})
		if got := delegatedEndFromPB(sent); got != end {
			t.Errorf("end %v arrives as %v", end, got)
		}
		if sent.End > uint32(leased.EndUnknown) {
			t.Errorf("end %v is sent as %d, which earlier versions do not know", end, sent.End)
		}
	}
	for _, number := range []uint32{uint32(leased.EndEndpointLost) + 1, 200, 1 << 20} {
		if got := delegatedEndFromPB(&fleetpb.LendResponse{End: number}); got != leased.EndUnknown {
			t.Errorf("end %d arrives as %v, want unknown", number, got)
		}
	}
}

// Guards against a job whose times or amounts overflow: microseconds that do not fit a
// time.Duration wrap around to any time, and sums of such jobs to any load.
func TestOverflowingJobsOfPeersAreRejected(t *testing.T) {
	job := func() *fleetpb.SubmitRequest {
		return &fleetpb.SubmitRequest{Id: "j", PatienceUs: 1000, Stretch: 1.5, SlackUs: 1000, Steps: []*fleetpb.Step{{Tasks: 1, MilliCores: 1000, EstimateUs: 1000}}}
	}
	if valid := jobFromPB(job()); valid.Validate() != nil {
		t.Fatal(valid.Validate())
	}
	const wraps = 1<<63/1000 + 2000 // us; wraps to some 1.5 ms
	for name, spoil := range map[string]func(*fleetpb.SubmitRequest){
		"estimate that wraps":       func(r *fleetpb.SubmitRequest) { r.Steps[0].EstimateUs = 2 * wraps },
		"caller timeout that wraps": func(r *fleetpb.SubmitRequest) { r.PatienceUs = 2 * wraps },
		"slack that wraps":          func(r *fleetpb.SubmitRequest) { r.SlackUs = 2 * wraps },
		"wait that wraps":           func(r *fleetpb.SubmitRequest) { r.WaitedUs = 2 * wraps },
		"estimate of centuries":     func(r *fleetpb.SubmitRequest) { r.Steps[0].EstimateUs = math.MaxInt64 / 1000 },
		"negative that wraps":       func(r *fleetpb.SubmitRequest) { r.Steps[0].EstimateUs = -2 * wraps },
		"cores":                     func(r *fleetpb.SubmitRequest) { r.Steps[0].MilliCores = math.MaxInt64 },
		"memory":                    func(r *fleetpb.SubmitRequest) { r.Steps[0].MemoryMib = math.MaxInt64 },
		"accelerators":              func(r *fleetpb.SubmitRequest) { r.Steps[0].Accelerators = math.MaxInt64 },
		"stretch":                   func(r *fleetpb.SubmitRequest) { r.Stretch = math.MaxFloat64 },
	} {
		r := job()
		spoil(r)
		if odd := jobFromPB(r); odd.Validate() == nil {
			t.Errorf("%s: %+v is valid", name, odd)
		}
	}
}
