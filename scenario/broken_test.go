//go:build broken_resend

package scenario

import (
	"strings"
	"testing"
	"testing/synctest"
)

// TestBrokenResendIsFoundByScenario checks that a scenario reports the second
// start if the ledger allows a lost task to be sent again.
func TestBrokenResendIsFoundByScenario(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t, dir)
		defer env.close()
		env.deploy()
		env.runLine("fault e1 lose-reply", "")
		env.runLine("fault e2 lose-reply", "")
		env.runLine("submit lost via=a1 service=booking tasks=1 run=100ms", "")
		env.runLine("advance 20s", "")
		violations := env.violations()
		if len(violations) == 0 || !strings.Contains(violations[0], "was started") {
			t.Fatalf("found %q", violations)
		}
		t.Log(violations[0])
	})
}
