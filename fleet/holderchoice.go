package fleet

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/samber/lo"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/spread"
	"lovagespread.example/membership/cells"
)

// A picker selects one of the holders of a domain's cells, each with the announced free
// capacity of its cell. The number draw, in [0, 1), is for one that selects at random.
type picker func(holders []cells.Entry, free []int, draw float64) (cells.Entry, bool)

// holderFor returns a holder for work that no other entry may submit at the same time: one
// of this entry's failure domain or, if that has none or is evacuated, one of any other.
// The random number draw, in [0, 1), selects among them by their announced free
// capacity. While the domain is drained or returned, a growing or falling share of
// the work goes to the others.
func holderFor(s *Snapshot, draw float64) (cells.Entry, bool) {
	return chooseDomain(s, draw, pickByCapacity)
}

// holderOfJob returns the holder that a caller's job is submitted to. It follows from the
// ID and the holders of the domain alone: a caller who has lost the connection may send the
// job to another entry before the first one notices that, and only a holder that has both
// submissions can tell that they are one job. Holders that are passed over get it only if
// there is no other one.
func holderOfJob(s *Snapshot, id leased.JobID, passed *passedOver) (cells.Entry, bool) {
	draw := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
	return chooseDomain(s, draw, func(holders []cells.Entry, _ []int, _ float64) (cells.Entry, bool) {
		return pickByID(passed.without(holders), id)
	})
}

// passedOver are the holders to which a job is not submitted again while there are others.
type passedOver struct {
	holders   []cells.Incarnation
	unreached cells.Incarnation // of the latest call of which nothing was sent
}

// refused records a holder that has answered that it holds no cell.
func (p *passedOver) refused(holder cells.Entry) { p.holders = append(p.holders, holder.Incarnation) }

// lost records a holder whose call has failed; again: the job goes to it once more. One
// that could not be reached gets the job once more, too: other entries may reach it, and
// have the same job.
func (p *passedOver) lost(holder cells.Entry, err error, again bool) {
	var notSent *notSentError
	first := errors.As(err, &notSent) && p.unreached != holder.Incarnation
	p.unreached = holder.Incarnation
	if !first && !again {
		p.holders = append(p.holders, holder.Incarnation)
	}
}

// without returns the holders that are not passed over, or all if there is none.
func (p *passedOver) without(holders []cells.Entry) []cells.Entry {
	if len(p.holders) == 0 {
		return holders
	}
	rest := lo.Reject(holders, func(e cells.Entry, _ int) bool { return slices.Contains(p.holders, e.Incarnation) })
	if len(rest) == 0 {
		return holders
	}
	return rest
}

func chooseDomain(s *Snapshot, draw float64, pick picker) (cells.Entry, bool) {
	own := s.View.Self.FailureDomain
	share := s.share(own)
	if draw < share {
		if holders, free := holdersIn(s, own); len(holders) > 0 {
			return pick(holders, free, draw/share)
		}
		return otherHolder(s, draw/share, pick)
	}
	return otherHolder(s, (draw-share)/(1-share), pick)
}

// otherHolder returns a holder of any failure domain that is not evacuated.
func otherHolder(s *Snapshot, draw float64, pick picker) (cells.Entry, bool) {
	var holders []cells.Entry
	var free []int
	for _, domain := range slices.Sorted(maps.Keys(s.CellCounts)) {
		if domain == s.View.Self.FailureDomain && s.share(domain) < 1 || !s.serving(domain) {
			continue
		}
		more, moreFree := holdersIn(s, domain)
		holders, free = append(holders, more...), append(free, moreFree...)
	}
	return pick(holders, free, draw)
}

func pickByCapacity(holders []cells.Entry, free []int, draw float64) (cells.Entry, bool) {
	picked := spread.Pick(free, draw)
	if picked < 0 {
		return cells.Entry{}, false
	}
	return holders[picked], true
}

// pickByID selects a holder by rendezvous hashing, in proportion to the number of its
// cells. While the set of holders changes, few jobs change theirs.
func pickByID(holders []cells.Entry, id leased.JobID) (cells.Entry, bool) {
	var best cells.Entry
	var most uint64
	occurrences := make(map[cells.Incarnation]uint64, len(holders))
	for _, e := range holders {
		occurrences[e.Incarnation]++
		if score := rendezvousScore(id, e.Incarnation, occurrences[e.Incarnation]); score >= most {
			best, most = e, score
		}
	}
	return best, len(holders) > 0
}

// rendezvousScore returns the score of a holder's n-th cell for a job.
func rendezvousScore(id leased.JobID, holder cells.Incarnation, n uint64) uint64 {
	var key [48]byte
	b := append(key[:0], id...)
	b = binary.LittleEndian.AppendUint64(b, uint64(holder))
	b = binary.LittleEndian.AppendUint64(b, n)
	return xxhash.Sum64(b)
}

// holdersIn returns the holder of each cell of a failure domain, as far as it is
// known, and the free capacity that was announced for the cell.
func holdersIn(s *Snapshot, domain string) (holders []cells.Entry, free []int) {
	for _, cell := range cells.All(domain, s.CellCounts[domain]) {
		if e, ok := s.View.Holder(cell); ok {
			holders = append(holders, e)
			free = append(free, s.FreeMilliCores[cell])
		}
	}
	return holders, free
}
