package callerhttp

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"lovagespread.example/entry/apierror"
)

type teamKey struct{}

type responseControllerKey struct{}

// authenticate admits requests with a known bearer token and stores the team in
// their context.
func (s *server) authenticate(api huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		ctx = apierror.WithExecutionResolver(ctx, s.opts.Jobs)
		r, _ := humago.Unwrap(ctx)
		team, ok := s.opts.Tokens.Authenticate(r)
		if !ok {
			_ = huma.WriteErr(api, ctx, http.StatusUnauthorized, "the bearer token is missing or unknown: send Authorization: Bearer with the token of your team")
			return
		}
		next(huma.WithValue(ctx, teamKey{}, team))
	}
}

func teamOf(ctx context.Context) string {
	team, _ := ctx.Value(teamKey{}).(string)
	return team
}

// withResponseController stores a ResponseController in the context of each
// request, so that operations can change the deadlines of its connection.
func withResponseController(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), responseControllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// clearReadDeadline removes the read deadline once the body has been read.
// Otherwise its expiry during a wait would be taken for a disconnected caller.
func clearReadDeadline(ctx context.Context) {
	if c, ok := ctx.Value(responseControllerKey{}).(*http.ResponseController); ok {
		_ = c.SetReadDeadline(time.Time{})
	}
}
