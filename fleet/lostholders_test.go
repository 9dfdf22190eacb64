package fleet

import (
	"testing"

	"github.com/go-faster/errors"

	"lovagespread.example/membership/cells"
)

// Guards against a holder that is taken for the only one that had a job, and so starts
// its tasks at once, although another holder may have begun it.
func TestOnlyHolderOfAJob(t *testing.T) {
	a, b := cells.Entry{Incarnation: 1}, cells.Entry{Incarnation: 2}
	broken := &brokenCallError{cause: errors.New("reset")}
	notSent := &notSentError{errors.New("refused")}
	var lost lostHolders
	check := func(when string, onlyA, onlyB bool) {
		t.Helper()
		if lost.only(a) != onlyA || lost.only(b) != onlyB {
			t.Errorf("%s: only a %t, only b %t, want %t, %t", when, lost.only(a), lost.only(b), onlyA, onlyB)
		}
	}
	check("at first", false, false)
	lost.add(b, notSent)
	check("b was not reached", false, false)
	lost.add(a, broken)
	check("a was lost", true, false)
	lost.add(a, broken)
	check("a was lost again", true, false)
	lost.add(b, broken)
	check("b was lost, too", false, false)
}
