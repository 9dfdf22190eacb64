package explain

import "testing"

func TestRingKeepsTheLatestDecisionsInOrder(t *testing.T) {
	r := NewRing()
	for i := range Capacity + 3 {
		job := "other"
		if i%2 == 0 {
			job = "queried"
		}
		r.Add(Decision{Job: job, Task: i})
	}
	list := r.ForJob("queried")
	if len(list) != Capacity/2 || list[0].Task != 4 || list[len(list)-1].Task != Capacity+2 {
		t.Errorf("%d decisions, from task %d to %d", len(list), list[0].Task, list[len(list)-1].Task)
	}
}
