package fleet

import (
	"testing"
	"time"
)

func TestTimeoutFollowsTheReplies(t *testing.T) {
	e := &timeoutEstimator{}
	if got := e.timeout(1, false); got != maxStartTimeout {
		t.Errorf("%v before the first reply, want %v", got, maxStartTimeout)
	}
	for range 50 {
		e.observe(2 * time.Millisecond)
	}
	if got := e.timeout(1, false); got != minStartTimeout {
		t.Errorf("%v with fast replies, want %v", got, minStartTimeout)
	}
	if first, second, third := e.timeout(1, false), e.timeout(2, false), e.timeout(3, false); second != 2*first || third != 4*first {
		t.Errorf("timeouts %v, %v, %v of three attempts, want each twice the one before", first, second, third)
	}
	for i := range 50 {
		e.observe(time.Duration(5+i%2*40) * time.Millisecond)
	}
	if got := e.timeout(1, false); got < 60*time.Millisecond {
		t.Errorf("%v while replies take 5 to 45 ms, want a timeout far above that", got)
	}
	for range 50 {
		e.observe(time.Second)
	}
	if got := e.timeout(1, false); got != maxStartTimeout {
		t.Errorf("%v with slow replies, want %v", got, maxStartTimeout)
	}
}

// Guards against starts that are late because each lost reply is waited for longer than
// the one before, although the replies that arrive are fast.
func TestTimeoutsDoNotGrowWhileRepliesAreLost(t *testing.T) {
	e := &timeoutEstimator{}
	for range 50 {
		e.observe(2 * time.Millisecond)
	}
	for attempt := range 5 {
		if got := e.timeout(attempt+1, true); got != minLossyStartTimeout {
			t.Errorf("attempt %d: %v, want %v", attempt+1, got, minLossyStartTimeout)
		}
	}
	for range 50 {
		e.observe(time.Second)
	}
	if got := e.timeout(1, true); got != maxStartTimeout {
		t.Errorf("%v with slow replies, want %v", got, maxStartTimeout)
	}
}
