//go:build broken_resend

package scenario

import (
	"strings"
	"testing"
	"testing/synctest"
)

// TestBrokenResendIsFoundByScenario holds that a scenario reports the second
// start where the ledger lets a lost task be sent again.
func TestBrokenResendIsFoundByScenario(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, dir)
		defer w.close()
		w.deploy()
		w.line("fault e1 lose-reply", "")
		w.line("fault e2 lose-reply", "")
		w.line("submit lost via=a1 service=booking tasks=1 run=100ms", "")
		w.line("advance 20s", "")
		broken := w.brokenPromises()
		if len(broken) == 0 || !strings.Contains(broken[0], "was started") {
			t.Fatalf("found %q", broken)
		}
		t.Log(broken[0])
	})
}
