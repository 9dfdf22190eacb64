package entry

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/jobid"
)

// newIncarnation returns a random incarnation, never 0.
func newIncarnation() (jobid.Incarnation, error) {
	var raw [8]byte
	for {
		if _, err := rand.Read(raw[:]); err != nil {
			return 0, errors.Wrap(err, "generate an incarnation")
		}
		if id := binary.BigEndian.Uint64(raw[:]); id != 0 {
			return jobid.Incarnation(id), nil
		}
	}
}
