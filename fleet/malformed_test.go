package fleet

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

func testLoop(t testing.TB, endpoints EndpointClient) *Loop {
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

// Guards against a directory of another entry that is put in force although it has an
// endpoint or a configuration that no record describes: the sender is of another version,
// or broken.
func TestMalformedDirectoriesOfPeersAreRefused(t *testing.T) {
	sound := Directory{
		Configuration: &Configuration{Version: 7, Queues: []Queue{{Name: "q", Service: "s", Stretch: 1.5}}},
		Endpoints:     []leased.Endpoint{{ID: "e", Address: "127.0.0.1:1", Service: "s", FailureDomain: "d", Capacity: leased.Demand{MilliCores: 1000}, Born: 1}},
		Evacuations:   &Evacuations{Revision: 3, Domains: []string{"d"}},
	}
	reply := func(spoil func(*Directory, *fleetpb.SnapshotResponse)) *fleetpb.SnapshotResponse {
		d, r := sound, &fleetpb.SnapshotResponse{ConfigurationVersion: 7}
		configuration, evacuations := *sound.Configuration, *sound.Evacuations
		d.Configuration, d.Evacuations, d.Endpoints = &configuration, &evacuations, slices.Clone(sound.Endpoints)
		spoil(&d, r)
		for data, value := range map[*[]byte]any{&r.Configuration: d.Configuration, &r.Endpoints: d.Endpoints, &r.Evacuations: d.Evacuations} {
			encoded, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			*data = encoded
		}
		return r
	}
	if _, err := decodeSnapshot(reply(func(*Directory, *fleetpb.SnapshotResponse) {})); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Directory, *fleetpb.SnapshotResponse){
		"port out of range":   func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Address = "127.0.0.1:99999" },
		"no ID":               func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].ID = "" },
		"no address":          func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Address = "" },
		"no service":          func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Service = "" },
		"no failure domain":   func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].FailureDomain = "" },
		"no capacity":         func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Capacity.MilliCores = 0 },
		"negative memory":     func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Capacity.MemoryMiB = -1 },
		"overflowing cores":   func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Capacity.MilliCores = math.MaxInt64 },
		"negative cold start": func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Cold = -1 },
		"endless cold start":  func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Cold = math.MaxInt64 },
		"negative remaining":  func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Remaining = -1 },
		"negative start":      func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints[0].Born = -1 },
		"one ID twice":        func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Endpoints = append(d.Endpoints, d.Endpoints[0]) },
		"another version":     func(_ *Directory, r *fleetpb.SnapshotResponse) { r.ConfigurationVersion = math.MaxUint64 },
		"negative revision":   func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Evacuations.Revision = -1 },
		"domain without name": func(d *Directory, _ *fleetpb.SnapshotResponse) { d.Evacuations.Domains = []string{""} },
	} {
		_, err := decodeSnapshot(reply(spoil))
		if _, invalid := errors.Into[*InvalidDirectoryError](err); !invalid {
			t.Errorf("%s: error %v, want an *InvalidDirectoryError", name, err)
		}
	}
}

// FuzzSnapshot decodes arbitrary directories. Other entries send them.
func FuzzSnapshot(f *testing.F) {
	f.Add(uint64(7), []byte(`{"Version":7,"Queues":[{"Name":"q"}]}`), []byte(`[{"ID":"e","Address":"a:1","Service":"s","FailureDomain":"d","Capacity":{"MilliCores":1}}]`), []byte(`{"Revision":1,"Domains":["d"]}`))
	f.Add(uint64(0), []byte(`null`), []byte(`null`), []byte(`null`))
	f.Add(uint64(1), []byte(`[[[[[[[[`), []byte(`[{"Capacity":{"MilliCores":1e99}}]`), []byte(`{"Revision":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, version uint64, configuration, endpoints, evacuations []byte) {
		d, err := decodeSnapshot(&fleetpb.SnapshotResponse{ConfigurationVersion: version, Configuration: configuration, Endpoints: endpoints, Evacuations: evacuations})
		if err != nil {
			return
		}
		l := testLoop(t, nil)
		peerDirectory{d}.handle(l)
	})
}

// oddDirectory is an entry whose directory is never valid.
type oddDirectory struct {
	fleetpb.Fleet
	asked atomic.Int32
}

func (d *oddDirectory) Snapshot(context.Context, *fleetpb.SnapshotRequest) (*fleetpb.SnapshotResponse, error) {
	d.asked.Add(1)
	return &fleetpb.SnapshotResponse{Endpoints: []byte(`[{}]`)}, nil
}

// Guards against an entry that is asked for its directory at each of its heartbeats,
// because it claims a newer configuration and sends a directory that is refused.
func TestRefusedDirectoryIsNotFetchedAtFullRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, odd := newPeers(1, zap.NewNop()), &oddDirectory{}
		p.clients["odd"] = odd
		p.send = func(m message) { t.Errorf("%T reached the loop", m) }
		for range 200 {
			p.fetchSnapshot("odd")
			time.Sleep(heartbeatInterval)
		}
		if n := odd.asked.Load(); n < 2 || n > 4 {
			t.Errorf("asked %d times in 22 s, want 3", n)
		}
	})
}

// oddAnswers is an entry that answers with numbers that no version sends.
type oddAnswers struct {
	fleetpb.Fleet
	number     int32
	retryAfter int64
}

func (o *oddAnswers) Submit(context.Context, *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	return &fleetpb.SubmitResponse{Verdict: fleetpb.Verdict(o.number), RetryAfterUs: o.retryAfter}, nil
}

func (o *oddAnswers) Keep(context.Context, *fleetpb.SubmitRequest) (*fleetpb.KeptResponse, error) {
	return &fleetpb.KeptResponse{Result: fleetpb.KeptResult(o.number)}, nil
}

func (o *oddAnswers) KeptState(context.Context, *fleetpb.KeptRequest) (*fleetpb.KeptResponse, error) {
	return &fleetpb.KeptResponse{State: uint32(o.number)}, nil
}

// Guards against a caller who is told that a job is done or stored because another entry
// has answered with an unknown number, whose low bits are those of that answer, and
// against one that makes the entry panic.
func TestUnknownAnswersOfPeersProveNothing(t *testing.T) {
	l := testLoop(t, nil)
	s := &Service{loop: l, peers: l.peers, log: zap.NewNop(), metrics: l.metrics, running: make(map[leased.JobID]*submission)}
	sj := &storedJobs{loop: l, peers: l.peers, log: zap.NewNop()}
	odd := cells.Entry{Name: "odd", Address: "odd", Incarnation: 9}
	for _, number := range []int32{6, 77, 256, 257, -256, -1, math.MaxInt32} {
		l.peers.clients["odd"] = &oddAnswers{number: number}
		outcome, err := s.offer(context.Background(), l.Latest(), odd, &leased.Job{ID: "j"})
		if _, invalid := errors.Into[*InvalidAnswerError](err); !invalid {
			t.Errorf("verdict %d: %+v, %v, want an *InvalidAnswerError", number, outcome, err)
		}
		reply := sj.askRemote(context.Background(), odd, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
			return c.Keep(ctx, &fleetpb.SubmitRequest{Id: "j"})
		})
		if reply.result != stored.OtherOwner || !reply.maybeApplied {
			t.Errorf("result %d: %+v, want that it may have been applied", number, reply)
		}
		reply = sj.askRemote(context.Background(), odd, func(ctx context.Context, c fleetpb.Fleet) (*fleetpb.KeptResponse, error) {
			return c.KeptState(ctx, &fleetpb.KeptRequest{Id: "j"})
		})
		if reply.result != stored.OtherOwner {
			t.Errorf("state %d: %+v, want no state", number, reply)
		}
	}
	for _, us := range []int64{-1, math.MaxInt64, math.MinInt64} {
		l.peers.clients["odd"] = &oddAnswers{number: int32(fleetpb.Verdict_REJECTED), retryAfter: us}
		outcome, err := s.offer(context.Background(), l.Latest(), odd, &leased.Job{ID: "j"})
		if err != nil || outcome.RetryAfter < 0 || outcome.RetryAfter > maxRetryAfter {
			t.Errorf("retry after %d us: %v, %v, want 0 to %v", us, outcome.RetryAfter, err, maxRetryAfter)
		}
	}
}
