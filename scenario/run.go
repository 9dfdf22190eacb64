package scenario

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
)

// verb carries out one command and returns what the transcript shows.
type verb func(*world, *args) string

var verbs = map[string]verb{
	"services":      publishServices,
	"entry":         addEntry,
	"endpoint":      addEndpoint,
	"id":            issueID,
	"submit":        submit,
	"ask":           ask,
	"cancel":        cancelJob,
	"hangup":        hangUp,
	"crash":         crash,
	"stop":          stop,
	"freeze":        freeze,
	"thaw":          thaw,
	"cut":           cut,
	"heal":          heal,
	"silence":       silence,
	"break":         breakConnections,
	"fault":         endpointFault,
	"platform":      platformFault,
	"advance":       advance,
	"await":         await,
	"replies":       replies,
	"starts":        starts,
	"messages":      messages,
	"log":           logLines,
	"ready":         readiness,
	"configuration": configuration,
	"cancel-all":    cancelAll,
	"drain":         drain,
	"undrain":       undrain,
	"republish":     republish,
}

// Run runs one scenario file in virtual time.
func Run(t *testing.T, path string) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, dir)
		defer w.close()
		datadriven.RunTest(t, path, w.step)
		w.checkPromises()
	})
}

// line runs one line of the language outside a file.
func (w *world) line(text, input string) string {
	a := splitLine(text, input)
	do, ok := verbs[a.verb]
	if !ok {
		a.fail("unknown verb")
	}
	shown := do(w, a)
	a.check()
	return shown
}

func (w *world) step(t *testing.T, d *datadriven.TestData) (shown string) {
	do, ok := verbs[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown verb %s: see docs/SCENARIOS.md", d.Cmd)
	}
	defer func() {
		switch wrong := recover().(type) {
		case nil:
		case *argError:
			d.Fatalf(t, "%v", wrong)
		default:
			panic(wrong)
		}
	}()
	a := newArgs(d)
	shown = do(w, a)
	a.check()
	return shown
}
