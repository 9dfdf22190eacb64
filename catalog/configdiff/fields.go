package configdiff

import "cmp"

// Fields collects the fields that differ.
type Fields []FieldChange

// Add adds a field if its values differ.
func (l *Fields) Add(key, before, after string, harm Harm) {
	if before != after {
		*l = append(*l, FieldChange{Key: key, Before: before, After: after, Harm: harm})
	}
}

// Limit adds a field if its values differ. If decreaseRestricts is true, less may run
// after a decrease, as of slots, which is then a LoweredLimit. If it is false, less may
// run after an increase, as of the needs of a task.
func Limit[T cmp.Ordered](l *Fields, key string, before, after T, decreaseRestricts bool, format func(T) string) {
	if before == after {
		return
	}
	harm := Other
	if (after < before) == decreaseRestricts {
		harm = LoweredLimit
	}
	l.Add(key, format(before), format(after), harm)
}
