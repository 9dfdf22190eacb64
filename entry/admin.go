package entry

import (
	"net/http"
	"net/http/pprof"

	"github.com/samber/do/v2"

	"lovagespread.example/entry/callerhttp"
	"lovagespread.example/entry/metrics"
	"lovagespread.example/entry/settings"
	"lovagespread.example/entry/token"
)

// newAdminHandler serves operators: metrics and readiness to everybody who
// reaches the listener, all else to holders of an operator token.
func newAdminHandler(i do.Injector, ready func() error) (http.Handler, error) {
	operators, err := token.Load(do.MustInvoke[settings.Settings](i).Tokens.OperatorsFile)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", do.MustInvoke[*metrics.Set](i).Handler())
	mux.HandleFunc("GET /readyz", callerhttp.Readyz(ready))
	mux.Handle("GET /debug/pprof/", operators.Require(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", operators.Require(http.HandlerFunc(pprof.Profile)))
	mux.Handle("GET /debug/pprof/trace", operators.Require(http.HandlerFunc(pprof.Trace)))
	return mux, nil
}
