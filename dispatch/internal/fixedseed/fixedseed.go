// Package fixedseed makes the property tests of package rapid repeatable.
package fixedseed

import (
	"flag"
	"strconv"
)

// defaultSeed is the defaultSeed of a run that names none.
const defaultSeed = 1

// Use fixes the seed and the number of checks, unless the flags -rapid.seed
// and -rapid.checks are given.
func Use(checks int) {
	setDefault("rapid.seed", defaultSeed)
	setDefault("rapid.checks", checks)
}

func setDefault(name string, value int) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(strconv.Itoa(value)); err != nil {
		panic(err) // the flags take numbers
	}
}
