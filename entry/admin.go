package entry

import (
	"net/http"

	"github.com/samber/do/v2"

	"lovagespread.example/entry/adminhttp"
	"lovagespread.example/entry/configuration"
	"lovagespread.example/entry/decisionlog"
	"lovagespread.example/entry/explain"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/token"
)

func newAdminHandler(i do.Injector, e *Entry) (http.Handler, error) {
	operators, err := token.Load(do.MustInvoke[settings.Settings](i).Tokens.OperatorsFile)
	if err != nil {
		return nil, err
	}
	return adminhttp.NewHandler(adminhttp.Options{
		Loop:          e.engine.loop,
		Decisions:     do.MustInvoke[*explain.Ring](i),
		Configuration: do.MustInvoke[*configuration.Syncer](i).Version,
		Ready:         e.ready,
		Stop:          e.requestStop,
		Metrics:       do.MustInvoke[*metrics.Set](i).Handler(),
		Operators:     operators,
		Log:           do.MustInvoke[*decisionlog.Log](i).Logger,
		Version:       Version,
	}), nil
}
