package entry

import (
	"math/rand/v2"

	"github.com/samber/do/v2"

	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/outcomes"
	"lovagespread.example/entry/settings"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/appender"
)

func newAppender(i do.Injector) (*appender.Appender, error) {
	log, err := do.Invoke[*logservice.Client](i)
	if err != nil {
		return nil, err
	}
	return appender.New(appender.Options{
		Log:    log,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger: do.MustInvoke[*decisionlog.Log](i).Logger,
	}), nil
}

// registerOutcomeMetrics registers counters of the outcome records that were
// written, of the appends, and of the records that were dropped.
func registerOutcomeMetrics(set *metrics.Set, queue *appender.Appender, writer *outcomes.Writer) {
	counts := func() appender.Counts { return queue.Counts(appender.Outcomes) }
	set.CountRecords(appender.Outcomes.String(),
		func() int { return counts().Written },
		func() int { return counts().Appends + counts().Failed },
		func() int { return counts().Dropped + counts().Refused + int(writer.Dropped()) })
}

func newOutcomeWriter(i do.Injector) (*outcomes.Writer, error) {
	queue, err := do.Invoke[*appender.Appender](i)
	if err != nil {
		return nil, err
	}
	writer := outcomes.NewWriter(queue)
	registerOutcomeMetrics(do.MustInvoke[*metrics.Set](i), queue, writer)
	return writer, nil
}

func newOutcomeReader(i do.Injector) (*outcomes.Reader, error) {
	log, err := do.Invoke[*logservice.Client](i)
	if err != nil {
		return nil, err
	}
	return outcomes.NewReader(outcomes.Options{
		Log:      log,
		Lifetime: do.MustInvoke[settings.Settings](i).JobIDs.Lifetime,
		Logger:   do.MustInvoke[*decisionlog.Log](i).Logger,
	}), nil
}
