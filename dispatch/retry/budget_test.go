package retry

import "testing"

func TestExtraAttemptsStayWithinShareOfFirstAttempts(t *testing.T) {
	b := NewBudget(0.02, 10)
	spent := 0
	for range 10_000 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	if spent < 200 || spent > 210 {
		t.Fatalf("%d extra attempts for 10,000 first attempts, want 200 and a burst of 10", spent)
	}
}
