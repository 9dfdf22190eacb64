package queue

import (
	"testing"

	"pgregory.net/rapid"
)

func TestWheelReturnsEachValueOnceInItsPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Wheel[int64]
		now, added, returned := int64(1_000_000), 0, 0
		w.Advance(now, func(int64) {})
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			for _, ahead := range rapid.SliceOfN(rapid.Int64Range(1, 3*wheelSlots), 0, 5).Draw(t, "ahead") {
				w.Add(now+ahead, now+ahead)
				added++
			}
			last := now
			now += rapid.Int64Range(1, 2*wheelSlots).Draw(t, "step")
			w.Advance(now, func(due int64) {
				returned++
				if due <= last || due > now {
					t.Fatalf("value due in period %d returned between periods %d and %d", due, last, now)
				}
			})
		}
		w.Advance(now+4*wheelSlots, func(int64) { returned++ })
		if returned != added {
			t.Fatalf("%d of %d values returned", returned, added)
		}
	})
}
