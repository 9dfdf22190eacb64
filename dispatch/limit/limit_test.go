package limit

import (
	"testing"
	"time"
)

func TestAdmit(t *testing.T) {
	const maxWait = time.Second
	for _, c := range []struct {
		name      string
		all, team time.Duration
		want      bool
	}{
		{"idle", 0, 0, true},
		{"low load, one team has all the work", 200 * time.Millisecond, time.Minute, true},
		{"below the limit, team within its share", 800 * time.Millisecond, 500 * time.Millisecond, true},
		{"below the limit, team far beyond its share", 800 * time.Millisecond, 5 * time.Second, false},
		{"above the limit, team with little work", 1500 * time.Millisecond, 100 * time.Millisecond, true},
		{"above the limit, team with an average share", 1500 * time.Millisecond, 1500 * time.Millisecond, false},
		{"far above the limit, team without waiting work", 3 * time.Second, 0, false},
	} {
		if got := Admit(Load{All: c.all, Team: c.team}, maxWait); got != c.want {
			t.Errorf("%s: Admit returned %v, want %v", c.name, got, c.want)
		}
	}
}

func TestOneServiceCannotUseAllMemory(t *testing.T) {
	const limit = 900
	waiting := 0
	for !Full(limit, waiting, waiting, 1) {
		waiting++
	}
	if Full(limit, waiting, 0, 100) {
		t.Fatalf("with %d of %d tasks waiting at one service, a job of another service is rejected", waiting, limit)
	}
	if !Full(limit, limit-10, 0, 11) {
		t.Fatal("job accepted although its tasks exceed the limit")
	}
}
