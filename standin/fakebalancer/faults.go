package fakebalancer

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/danielgtaylor/huma/v2"
)

// faults picks the fault of each request at random.
type faults struct {
	FaultSettings

	mu   sync.Mutex
	rand *rand.Rand
}

// faultKind is the fault that a request meets.
type faultKind int

const (
	noFault faultKind = iota
	breakBefore
	loseReply
)

func (f *faults) draw() faultKind {
	if f.BreakShare == 0 && f.LoseReplyShare == 0 {
		return noFault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.rand.Float64()
	switch {
	case x < f.BreakShare:
		return breakBefore
	case x < f.BreakShare+f.LoseReplyShare:
		return loseReply
	}
	return noFault
}

// FaultSettings are the fault switches of a balancer.
type FaultSettings struct {
	BreakShare     float64 `json:"break_share,omitempty" minimum:"0" maximum:"1" doc:"Share of requests whose connection breaks before they are forwarded"`
	LoseReplyShare float64 `json:"lose_reply_share,omitempty" minimum:"0" maximum:"1" doc:"Share of requests whose response is lost"`
	Seed           uint64  `json:"seed,omitempty" doc:"Seed of the random choice of requests"`
}

// SetFaults replaces the fault switches.
func (b *Balancer) SetFaults(s FaultSettings) {
	b.faults.Store(&faults{FaultSettings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed))})
}

type (
	faultInput  struct{ Body FaultSettings }
	readyOutput struct {
		Body struct {
			Ready []string `json:"ready"`
		}
	}
)

// Register adds the control operations of the balancer to an API:
//
//	POST /faults/balancer   replace the fault switches
//	GET  /balancer          list the ready entries
func (b *Balancer) Register(api huma.API) {
	huma.Post(api, "/faults/balancer", func(_ context.Context, in *faultInput) (*struct{}, error) {
		b.SetFaults(in.Body)
		return nil, nil
	})
	huma.Get(api, "/balancer", func(context.Context, *struct{}) (*readyOutput, error) {
		out := &readyOutput{}
		out.Body.Ready = *b.ready.Load()
		return out, nil
	})
}
