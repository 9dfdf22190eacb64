package leased

import (
	"testing"
	"time"
)

// Guards against run times of found runs that are projected from too little progress, or
// that leave out the time before the run was found.
func TestRunTimeOfFoundRun(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name           string
		found, percent int           // progress
		since          time.Duration // from when the run was found until the progress was listed
		age            time.Duration
		reference      time.Duration // that the run is for others; 0: it is none
		took           time.Duration // if it ends with the progress; 0: unknown
	}{
		{"started here", 0, 50, second, second, 2 * second, second},
		{"nothing seen", 90, 90, second, second, 0, 0},
		{"little seen", 90, 95, second, second, 0, 0},
		{"enough seen to be judged", 50, 60, second, second + 50*second/11, 0, 0},
		{"enough seen to be a reference", 50, 70, second, second + 50*second/21, (second + 50*second/21) * 100 / 70, second + 50*second/21},
	} {
		core := &Core{now: time.Unix(1000, 0)}
		e := &endpoint{}
		found := &run{state: runRunning, began: core.now.Add(-c.since), foundPercent: c.found}
		core.observeProgress(e, found, c.percent)
		if found.age != c.age {
			t.Errorf("%s: age %v, want %v", c.name, found.age, c.age)
		}
		j := &job{tasks: [][]task{make([]task, 2)}}
		j.tasks[0][0] = task{job: j}
		j.tasks[0][1] = task{job: j, state: placedTask, run: found}
		if reference, _ := siblingRunTime(&j.tasks[0][0]); c.reference > 0 && reference != c.reference || c.reference == 0 && reference < time.Hour {
			t.Errorf("%s: reference %v, want %v", c.name, reference, c.reference)
		}
		if took := e.runTime(found, core.now); took != c.took {
			t.Errorf("%s: took %v, want %v", c.name, took, c.took)
		}
	}
}
