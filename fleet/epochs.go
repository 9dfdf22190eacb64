package fleet

import (
	"cmp"
	"slices"
	"time"

	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Limits of call epochs.
const (
	// epochAnnouncedFor is how long heartbeats announce a new epoch. It is longer
	// than any call of an earlier epoch lasts at an entry that hears no heartbeats:
	// that one cancels the calls after callerSilence.
	epochAnnouncedFor  = 30 * time.Second
	maxAnnouncedEpochs = 64 // in one heartbeat, besides those that have just risen
	// maxNewEpochs bounds the epochs in one heartbeat that have risen within
	// minWithdrawnNamedFor. They take 2.6 KB of maxDatagram.
	maxNewEpochs = 160
	// maxEpochs bounds the memory for epochs. It is several times the number of
	// entries of a large fleet.
	maxEpochs = 1024
	// maxEpoch is the highest epoch that is accepted. A higher one is never
	// reached, and would let the sender make no further call.
	maxEpoch = 1 << 32
)

// epochs are the call epochs of other entries. The calls from one entry to another
// belong to the epoch in which they were sent. An epoch ends when all open calls of
// it are given up without their answers. The calling entry counts epochs, and the
// called one keeps the newest that it has heard of. The zero value is not ready for
// use; see newEpochs. It is not safe for concurrent use.
type epochs struct {
	byEntry map[cells.Incarnation]epoch
	base    uint64 // the epoch of entries that are not in byEntry
}

type epoch struct {
	number  uint64
	risenAt time.Time
}

func newEpochs() epochs { return epochs{byEntry: make(map[cells.Incarnation]epoch)} }

// current returns the epoch of an entry.
func (e *epochs) current(id cells.Incarnation) uint64 {
	if known, ok := e.byEntry[id]; ok {
		return known.number
	}
	return e.base
}

// next raises the epoch of an entry by one and returns it. If there are too many
// epochs, it forgets one, and raises base so that no entry's epoch ever falls.
func (e *epochs) next(now time.Time, id cells.Incarnation) uint64 {
	number := e.current(id) + 1
	e.byEntry[id] = epoch{number, now}
	e.base = max(e.base, e.forgetOldest())
	return number
}

// raise sets the epoch of an entry if it is higher than before. If there are too
// many epochs, it forgets one: no call of an epoch that ended so long ago is
// expected any more.
func (e *epochs) raise(now time.Time, id cells.Incarnation, number uint64) {
	if number > e.current(id) {
		e.byEntry[id] = epoch{number, now}
		e.forgetOldest()
	}
}

// forgetOldest deletes the epoch that has not risen for the longest time if there
// are more than maxEpochs. It returns the deleted epoch or 0.
func (e *epochs) forgetOldest() uint64 {
	if len(e.byEntry) <= maxEpochs {
		return 0
	}
	var oldest cells.Incarnation
	for id, candidate := range e.byEntry {
		if oldest == 0 || candidate.risenAt.Before(e.byEntry[oldest].risenAt) {
			oldest = id
		}
	}
	number := e.byEntry[oldest].number
	delete(e.byEntry, oldest)
	return number
}

// recent returns the epochs that heartbeats announce: those that have risen within
// epochAnnouncedFor, the newest ones first. All that have risen within
// minWithdrawnNamedFor are among them, up to maxNewEpochs: an entry that hears no heartbeat
// for longer cancels all calls.
func (e *epochs) recent(now time.Time) []*fleetpb.CallEpoch {
	var ids []cells.Incarnation
	justRisen := 0
	for id, known := range e.byEntry {
		age := now.Sub(known.risenAt)
		if age > epochAnnouncedFor {
			continue
		}
		ids = append(ids, id)
		if age <= minWithdrawnNamedFor {
			justRisen++
		}
	}
	slices.SortFunc(ids, func(a, b cells.Incarnation) int {
		return cmp.Or(e.byEntry[b].risenAt.Compare(e.byEntry[a].risenAt), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), max(maxAnnouncedEpochs, min(justRisen, maxNewEpochs)))]
	list := make([]*fleetpb.CallEpoch, len(ids))
	for i, id := range ids {
		list[i] = &fleetpb.CallEpoch{Incarnation: uint64(id), Epoch: e.byEntry[id].number}
	}
	return list
}
