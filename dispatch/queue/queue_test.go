package queue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestQueueMatchesSortedList pushes, removes and re-pushes items at random and
// checks that they come out in the order of their keys.
func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var model []*Item[int]
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			key := rapid.Int64Range(0, 9).Draw(t, "key")
			switch op := rapid.IntRange(0, 3).Draw(t, "operation"); {
			case op <= 1 || len(model) == 0:
				item := &Item[int]{Value: i}
				q.Push(item, key)
				model = append(model, item)
			case op == 2:
				item := rapid.SampledFrom(model).Draw(t, "item")
				q.Remove(item)
				q.Push(item, key)
			default:
				k := rapid.IntRange(0, len(model)-1).Draw(t, "index")
				q.Remove(model[k])
				model = slices.Delete(model, k, k+1)
			}
		}
		for last := int64(-1); q.Len() > 0; {
			item := q.First()
			if item.Key() < last {
				t.Fatalf("got key %d after key %d", item.Key(), last)
			}
			last = item.Key()
			q.Remove(item)
			model = slices.DeleteFunc(model, func(m *Item[int]) bool { return m == item })
		}
		if len(model) != 0 {
			t.Fatalf("%d items were lost", len(model))
		}
	})
}

func TestFIFOKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f FIFO[int]
		next, want := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "operations") {
			if f.Len() == 0 || rapid.Bool().Draw(t, "push") {
				f.Push(next)
				next++
				continue
			}
			if got := f.First(); got != want {
				t.Fatalf("got %d, want %d", got, want)
			}
			f.Pop()
			want++
		}
		if f.Len() != next-want || len(f.Values()) != next-want {
			t.Fatalf("length %d, want %d", f.Len(), next-want)
		}
	})
}
