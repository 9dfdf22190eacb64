// Package fixedseed makes property tests that use package rapid reproducible.
package fixedseed

import (
	"flag"
	"strconv"
)

// defaultSeed is used unless the flag -rapid.seed is given.
const defaultSeed = 1

// Use sets the seed and the number of checks, unless the flags -rapid.seed and
// -rapid.checks are given.
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
		panic(err) // not reached: both flags accept integers
	}
}
