package entry

import (
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/samber/do/v2"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/explain"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/keys"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/observe"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/wire"
	"lovagespread.example/logservice"
	"lovagespread.example/membership"
)

// newInjector registers the constructors of the components of an entry.
func newInjector(s settings.Settings, options options) do.Injector {
	i := do.New()
	do.ProvideValue(i, options.network)
	do.ProvideValue(i, s)
	do.ProvideValue(i, metrics.New())
	do.ProvideValue(i, explain.NewRing())
	do.Provide(i, newLog)
	do.Provide(i, newObserver)
	do.Provide(i, newListeners)
	do.Provide(i, newSelf)
	do.Provide(i, newKeys)
	do.Provide(i, newVerifier)
	do.Provide(i, newIssuer)
	do.Provide(i, newPlatform)
	do.Provide(i, newAppender)
	do.Provide(i, newOutcomeWriter)
	do.Provide(i, newOutcomeReader)
	do.Provide(i, newEngine)
	do.Provide(i, newTLS)
	do.Provide(i, newPeerToken)
	do.Provide(i, newPeerClient)
	do.Provide(i, newFollower)
	do.Provide(i, newSyncer)
	do.Provide(i, newVMPoller)
	do.Provide(i, newAnnouncer)
	do.Provide(i, newHeartbeater)
	do.Provide(i, newForwarder)
	do.Provide(i, newJobs)
	do.Provide(i, newCodec)
	do.Provide(i, newHandoverReceiver)
	do.Provide(i, newHandoverSender)
	return i
}

func newLog(i do.Injector) (*decisionlog.Log, error) {
	s := do.MustInvoke[settings.Settings](i)
	return decisionlog.Open(s.Log.Level, s.Log.File)
}

func newObserver(i do.Injector) (*observe.Observer, error) {
	log, err := do.Invoke[*decisionlog.Log](i)
	if err != nil {
		return nil, err
	}
	return observe.New(log.Logger, do.MustInvoke[*metrics.Set](i), do.MustInvoke[*explain.Ring](i)), nil
}

// newSelf describes this incarnation of the entry.
func newSelf(i do.Injector) (membership.Entry, error) {
	s := do.MustInvoke[settings.Settings](i)
	listeners, err := do.Invoke[*listeners](i)
	if err != nil {
		return membership.Entry{}, err
	}
	incarnation, err := newIncarnation()
	return membership.Entry{
		Name:          s.Name,
		Address:       listeners.peer.Addr().String(),
		Incarnation:   membership.Incarnation(incarnation),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
	}, err
}

func incarnationOf(e membership.Entry) jobid.Incarnation { return jobid.Incarnation(e.Incarnation) }

func newKeys(i do.Injector) ([]jobid.Key, error) {
	return keys.Load(do.MustInvoke[settings.Settings](i).JobIDs.KeyFiles)
}

func newVerifier(i do.Injector) (*jobid.Verifier, error) {
	list, err := do.Invoke[[]jobid.Key](i)
	if err != nil {
		return nil, err
	}
	return jobid.NewVerifier(list...)
}

// newIssuer returns an issuer that signs job IDs with the last key.
func newIssuer(i do.Injector) (*jobs.Issuer, error) {
	list, err := do.Invoke[[]jobid.Key](i)
	if err != nil {
		return nil, err
	}
	self, err := do.Invoke[membership.Entry](i)
	if err != nil {
		return nil, err
	}
	issuer, err := jobid.NewIssuer(incarnationOf(self), list[len(list)-1])
	if err != nil {
		return nil, err
	}
	return jobs.NewIssuer(issuer, do.MustInvoke[settings.Settings](i).JobIDs.Lifetime), nil
}

// platformConnections is the maximum number of idle connections to the platform.
const platformConnections = 4

func newPlatform(i do.Injector) (*logservice.Client, error) {
	s := do.MustInvoke[settings.Settings](i).Platform
	token, err := readToken(s.TokenFile)
	if err != nil {
		return nil, err
	}
	meter := wire.NewMeter(do.MustInvoke[wire.Network](i).Dial)
	do.MustInvoke[*metrics.Set](i).CountBytes("platform", meter.Sent, meter.Received)
	transport := &http.Transport{
		DialContext:         meter.Dial,
		MaxIdleConnsPerHost: platformConnections,
	}
	return logservice.NewClient(logservice.Options{
		URL:        s.URL,
		Token:      token,
		HTTPClient: &http.Client{Transport: transport},
	})
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read the platform's token")
	}
	return strings.TrimSpace(string(text)), nil
}
