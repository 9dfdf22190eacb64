package ledger

import (
	"time"

	"lovagespread.example/dispatch/jobid"
)

// ClockMargin is how long a record is retained after its ID has expired. The
// clocks of two entries may differ by this much.
const ClockMargin = 30 * time.Second

// PageIDs is the number of consecutive sequence numbers that share a page.
const PageIDs = 1024

const (
	outcomeBits     = 2
	outcomesPerWord = 64 / outcomeBits
	wordsPerPage    = PageIDs / outcomesPerWord
	outcomeMask     = 1<<outcomeBits - 1
)

// pagesPerExpire bounds the number of pages that one call of expire scans.
const pagesPerExpire = 64

// outcome is what the ledger records for an ID that is not open.
type outcome uint8

const (
	outcomeNone   outcome = iota // no record
	outcomeClosed                // rejected as not run
	outcomeNotRun                // ended, no task was started
	outcomeRan                   // ended, a task was started
	outcomeExpired
)

// pageKey identifies a page.
type pageKey struct {
	owner  jobid.Incarnation
	number uint64 // sequence divided by PageIDs
}

func pageOf(id jobid.ID) pageKey {
	return pageKey{owner: id.Owner, number: id.Sequence / PageIDs}
}

// page holds the outcomes of PageIDs consecutive IDs. All its records are
// dropped together.
type page struct {
	key         pageKey
	expiry      int64 // latest expiry of a recorded ID, Unix seconds
	retainUntil int64 // the page is dropped after this time, Unix seconds
	count       int
	words       [wordsPerPage]uint64
}

// pages holds the outcomes of all IDs that are not open.
type pages struct {
	byKey    map[pageKey]*page
	order    []*page // for the rotating scan of expire
	nextScan int
	count    int
	now      int64 // latest time seen, Unix seconds
	horizon  int64 // latest expiry of a dropped record, Unix seconds
}

func newPages() pages {
	return pages{byKey: make(map[pageKey]*page)}
}

func slotOf(id jobid.ID) (word, shift uint64) {
	slot := id.Sequence % PageIDs
	return slot / outcomesPerWord, slot % outcomesPerWord * outcomeBits
}

func (p *pages) get(id jobid.ID) outcome {
	if pg := p.byKey[pageOf(id)]; pg != nil {
		word, shift := slotOf(id)
		if o := outcome(pg.words[word] >> shift & outcomeMask); o != outcomeNone {
			return o
		}
	}
	if id.Expiry().Unix() <= p.horizon {
		return outcomeExpired
	}
	return outcomeNone
}

// set records the outcome of an ID that has none.
func (p *pages) set(id jobid.ID, o outcome) {
	pg := p.page(pageOf(id))
	word, shift := slotOf(id)
	pg.words[word] |= uint64(o) << shift
	pg.count++
	p.count++
	expiry := id.Expiry().Unix()
	pg.expiry = max(pg.expiry, expiry)
	pg.retainUntil = max(pg.retainUntil, max(expiry, p.now)+int64(ClockMargin/time.Second))
}

func (p *pages) page(k pageKey) *page {
	pg := p.byKey[k]
	if pg == nil {
		pg = &page{key: k}
		p.byKey[k] = pg
		p.order = append(p.order, pg)
	}
	return pg
}

// expire scans the next few pages and drops those whose retention has ended.
func (p *pages) expire(now time.Time) {
	p.now = max(p.now, now.Unix())
	for range min(pagesPerExpire, len(p.order)) {
		if p.nextScan >= len(p.order) {
			p.nextScan = 0
		}
		if p.order[p.nextScan].retainUntil < p.now {
			p.drop(p.nextScan)
			continue
		}
		p.nextScan++
	}
}

func (p *pages) drop(i int) {
	pg := p.order[i]
	last := len(p.order) - 1
	p.order[i] = p.order[last]
	p.order[last] = nil
	p.order = p.order[:last]
	delete(p.byKey, pg.key)
	p.count -= pg.count
	p.horizon = max(p.horizon, pg.expiry)
}
