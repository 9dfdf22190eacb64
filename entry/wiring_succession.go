package entry

import (
	"github.com/samber/do/v2"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/handover"
	"lovagespread.example/entry/observe"
	"lovagespread.example/entry/peerclient"
	"lovagespread.example/entry/succession"
	"lovagespread.example/membership"
)

func newCodec(i do.Injector) (handover.Codec, error) {
	verifier, err := do.Invoke[*jobid.Verifier](i)
	return handover.Codec{Verifier: verifier}, err
}

func newTaker(i do.Injector) (*succession.Receiver, error) {
	codec, err := do.Invoke[handover.Codec](i)
	if err != nil {
		return nil, err
	}
	e, err := do.Invoke[*engine](i)
	if err != nil {
		return nil, err
	}
	self := do.MustInvoke[membership.Entry](i)
	return &succession.Receiver{Self: incarnationOf(self), Loop: e.loop, Codec: codec}, nil
}

func newGiver(i do.Injector) (*succession.Sender, error) {
	codec, err := do.Invoke[handover.Codec](i)
	if err != nil {
		return nil, err
	}
	peers, err := do.Invoke[*peerclient.Client](i)
	if err != nil {
		return nil, err
	}
	return succession.NewSender(succession.Options{
		Self:         incarnationOf(do.MustInvoke[membership.Entry](i)),
		Loop:         do.MustInvoke[*engine](i).loop,
		Codec:        codec,
		Peers:        peers,
		CountMessage: do.MustInvoke[*observe.Observer](i).Message,
		Log:          do.MustInvoke[*decisionlog.Log](i).Logger,
	}), nil
}
