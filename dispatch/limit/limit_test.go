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
		{"quiet, one team has all the work", 200 * time.Millisecond, time.Minute, true},
		{"busy, team within its share", 800 * time.Millisecond, 500 * time.Millisecond, true},
		{"busy, team far beyond its share", 800 * time.Millisecond, 5 * time.Second, false},
		{"overload, team hardly asks", 1500 * time.Millisecond, 100 * time.Millisecond, true},
		{"overload, team like others", 1500 * time.Millisecond, 1500 * time.Millisecond, false},
		{"beyond all bounds", 3 * time.Second, 0, false},
	} {
		if got := Admit(Load{All: c.all, Team: c.team}, maxWait); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
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
		t.Fatalf("with %d of %d waiting at one service, another one is refused", waiting, limit)
	}
	if !Full(limit, limit-10, 0, 11) {
		t.Fatal("more tasks than the limit are accepted")
	}
}
