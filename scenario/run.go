package scenario

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
)

// verb executes one command and returns its output.
type verb func(*environment, *args) string

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
	"evacuate":      evacuate,
	"return":        returnDomain,
	"raise-format":  raiseFormat,
}

// Run runs a scenario file in virtual time.
func Run(t *testing.T, path string) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t, dir)
		defer env.close()
		datadriven.RunTest(t, path, env.runCommand)
		env.checkGuarantees()
	})
}

// runLine runs one line of the scenario language that does not come from a
// file.
func (env *environment) runLine(text, input string) string {
	a := splitLine(text, input)
	run, ok := verbs[a.verb]
	if !ok {
		a.fail("unknown verb")
	}
	output := run(env, a)
	a.check()
	return output
}

func (env *environment) runCommand(t *testing.T, d *datadriven.TestData) (output string) {
	run, ok := verbs[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown verb %s: see docs/SCENARIOS.md", d.Cmd)
	}
	defer func() {
		switch failure := recover().(type) {
		case nil:
		case *argError:
			d.Fatalf(t, "%v", failure)
		default:
			panic(failure)
		}
	}()
	a := newArgs(d)
	output = run(env, a)
	a.check()
	return output
}
