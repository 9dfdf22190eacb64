package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"lovagespread.example/entry/configuration"
	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/forward"
	"lovagespread.example/entry/heartbeat"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/observe"
	"lovagespread.example/entry/outcomes"
	"lovagespread.example/entry/peerclient"
	"lovagespread.example/entry/peerserver"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/succession"
	"lovagespread.example/entry/tlsfiles"
	"lovagespread.example/entry/token"
	"lovagespread.example/entry/vmlist"
	"lovagespread.example/entry/wire"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/follow"
)

// peerToken is the token that all entries share; it may be empty.
type peerToken string

func newPeerToken(i do.Injector) (peerToken, error) {
	shared, err := token.LoadShared(do.MustInvoke[settings.Settings](i).Tokens.PeersFile)
	return peerToken(shared), err
}

func newPeerClient(i do.Injector) (*peerclient.Client, error) {
	shared, err := do.Invoke[peerToken](i)
	if err != nil {
		return nil, err
	}
	secure, err := do.Invoke[*tlsfiles.Source](i)
	if err != nil {
		return nil, err
	}
	client := peerclient.New(do.MustInvoke[wire.Network](i), secure, string(shared))
	meter := client.ControlMeter()
	do.MustInvoke[*metrics.Set](i).CountBytes("peers", meter.Sent, meter.Received)
	return client, nil
}

func newTLS(i do.Injector) (*tlsfiles.Source, error) {
	s := do.MustInvoke[settings.Settings](i).TLS
	log, err := do.Invoke[*decisionlog.Log](i)
	if err != nil {
		return nil, err
	}
	files := tlsfiles.Files{Certificate: s.CertificateFile, Key: s.KeyFile, PeerCA: s.PeerCAFile}
	return tlsfiles.Open(files, func(err error) {
		log.Error("changed TLS files are not in use", zap.Error(err))
	})
}

func newFollower(i do.Injector) (*follow.Follower, error) {
	log, err := do.Invoke[*logservice.Client](i)
	if err != nil {
		return nil, err
	}
	e, err := do.Invoke[*engine](i)
	if err != nil {
		return nil, err
	}
	return follow.New(follow.Options{
		Log:       log,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnCatalog: e.loop.SetCatalog,
		Logger:    do.MustInvoke[*decisionlog.Log](i).Logger,
	}), nil
}

func newKeeper(i do.Injector) (*configuration.Keeper, error) {
	follower, err := do.Invoke[*follow.Follower](i)
	if err != nil {
		return nil, err
	}
	peers, err := do.Invoke[*peerclient.Client](i)
	if err != nil {
		return nil, err
	}
	return configuration.NewKeeper(follower, peers, do.MustInvoke[*decisionlog.Log](i).Logger), nil
}

func newPoller(i do.Injector) (*vmlist.Poller, error) {
	lister, err := do.Invoke[*logservice.Client](i)
	if err != nil {
		return nil, err
	}
	peers, err := do.Invoke[*peerclient.Client](i)
	if err != nil {
		return nil, err
	}
	e, err := do.Invoke[*engine](i)
	if err != nil {
		return nil, err
	}
	s := do.MustInvoke[settings.Settings](i)
	return &vmlist.Poller{
		Lister:        lister,
		Peers:         peerclient.Seeds{Client: peers, Addresses: s.Peers.Addresses},
		FailureDomain: s.FailureDomain,
		Sink:          e.loop.UpdateMembership,
		Log:           do.MustInvoke[*decisionlog.Log](i).Logger,
	}, nil
}

func newAnnouncer(i do.Injector) (*heartbeat.Announcer, error) {
	e, err := do.Invoke[*engine](i)
	if err != nil {
		return nil, err
	}
	keeper, err := do.Invoke[*configuration.Keeper](i)
	if err != nil {
		return nil, err
	}
	return heartbeat.NewAnnouncer(e.loop, keeper), nil
}

func newHeartbeater(i do.Injector) (*heartbeat.Heartbeater, error) {
	announcer, err := do.Invoke[*heartbeat.Announcer](i)
	if err != nil {
		return nil, err
	}
	keeper := do.MustInvoke[*configuration.Keeper](i)
	return heartbeat.New(heartbeat.Options{
		Loop:                 do.MustInvoke[*engine](i).loop,
		Announcer:            announcer,
		Peers:                do.MustInvoke[*peerclient.Client](i),
		OnNewerConfiguration: func(address string, _ uint64) { keeper.Fetch(context.Background(), address) },
		CountMessage:         do.MustInvoke[*observe.Observer](i).Message,
		Log:                  do.MustInvoke[*decisionlog.Log](i).Logger,
	}), nil
}

func newForwarder(i do.Injector) (*forward.Forwarder, error) {
	e, err := do.Invoke[*engine](i)
	if err != nil {
		return nil, err
	}
	peers, err := do.Invoke[*peerclient.Client](i)
	if err != nil {
		return nil, err
	}
	return forward.New(forward.Options{
		Loop:     e.loop,
		Peers:    peers,
		Observer: do.MustInvoke[*observe.Observer](i),
		Outcomes: do.MustInvoke[*outcomes.Reader](i),
		Started:  time.Now(),
	}), nil
}

func newPeerHandler(i do.Injector) (http.Handler, error) {
	shared, err := do.Invoke[peerToken](i)
	if err != nil {
		return nil, err
	}
	service, err := do.Invoke[*jobs.Service](i)
	if err != nil {
		return nil, err
	}
	heartbeater, err := do.Invoke[*heartbeat.Heartbeater](i)
	if err != nil {
		return nil, err
	}
	taker, err := do.Invoke[*succession.Receiver](i)
	if err != nil {
		return nil, err
	}
	return peerserver.NewHandler(peerserver.Options{
		Jobs:           service,
		Heartbeats:     heartbeater,
		Configurations: do.MustInvoke[*configuration.Keeper](i),
		VMLists:        do.MustInvoke[*vmlist.Poller](i),
		Handovers:      taker,
		Tokens:         token.Single("peer", string(shared)),
	}), nil
}
