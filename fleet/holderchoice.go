package fleet

import (
	"maps"
	"slices"

	"lovagespread.example/dispatch/spread"
	"lovagespread.example/membership/cells"
)

// holderFor returns the holder that a new job is submitted to: one of this
// entry's failure domain or, if that has none or is evacuated, one of any other.
// The random number draw, in [0, 1), selects among them by their announced free
// capacity. While the domain is drained or returned, a growing or falling share of
// its jobs goes to the others.
func holderFor(s *Snapshot, draw float64) (cells.Entry, bool) {
	own := s.View.Self.FailureDomain
	share := s.share(own)
	if draw < share {
		if holders, free := holdersIn(s, own); len(holders) > 0 {
			return pickHolder(holders, free, draw/share)
		}
		return otherHolder(s, draw/share)
	}
	return otherHolder(s, (draw-share)/(1-share))
}

// otherHolder returns a holder of any failure domain that is not evacuated.
func otherHolder(s *Snapshot, draw float64) (cells.Entry, bool) {
	var holders []cells.Entry
	var free []int
	for _, domain := range slices.Sorted(maps.Keys(s.CellCounts)) {
		if domain == s.View.Self.FailureDomain && s.share(domain) < 1 || !s.serving(domain) {
			continue
		}
		more, moreFree := holdersIn(s, domain)
		holders, free = append(holders, more...), append(free, moreFree...)
	}
	return pickHolder(holders, free, draw)
}

func pickHolder(holders []cells.Entry, free []int, draw float64) (cells.Entry, bool) {
	picked := spread.Pick(free, draw)
	if picked < 0 {
		return cells.Entry{}, false
	}
	return holders[picked], true
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
