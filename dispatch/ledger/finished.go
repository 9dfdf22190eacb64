package ledger

import (
	"time"

	"lovagespread.example/dispatch/jobid"
)

// ClockMargin is how long a record outlives its ID: the clocks of two entries
// may differ by this much.
const ClockMargin = 30 * time.Second

// PageIDs is the number of consecutive sequence numbers that share a page.
const PageIDs = 1024

const (
	verdictBits     = 2
	verdictsPerWord = 64 / verdictBits
	wordsPerPage    = PageIDs / verdictsPerWord
	verdictMask     = 1<<verdictBits - 1
)

// pagesPerExpire bounds the pages that one call of expire looks at.
const pagesPerExpire = 64

// verdict is what the ledger keeps of an ID that is not open.
type verdict uint8

const (
	verdictNone   verdict = iota // no record
	verdictClosed                // refused as not run
	verdictNotRun                // ended, no task was started
	verdictRan                   // ended, a task was started
	verdictForgotten
)

// pageKey names the page of an ID.
type pageKey struct {
	owner  jobid.Incarnation
	number uint64 // sequence divided by PageIDs
}

func pageOf(id jobid.ID) pageKey {
	return pageKey{owner: id.Owner, number: id.Sequence / PageIDs}
}

// page holds the verdicts of PageIDs consecutive IDs. All its records are
// dropped together.
type page struct {
	key    pageKey
	expiry int64 // latest expiry of a recorded ID, Unix seconds
	keep   int64 // dropped after this, Unix seconds
	count  int
	words  [wordsPerPage]uint64
}

// pages holds the verdicts of all IDs that are not open.
type pages struct {
	byKey   map[pageKey]*page
	order   []*page // for the rotating scan of expire
	next    int
	count   int
	now     int64 // latest time seen, Unix seconds
	horizon int64 // latest expiry of a dropped record, Unix seconds
}

func newPages() pages {
	return pages{byKey: make(map[pageKey]*page)}
}

func slotOf(id jobid.ID) (word, shift uint64) {
	slot := id.Sequence % PageIDs
	return slot / verdictsPerWord, slot % verdictsPerWord * verdictBits
}

func (p *pages) get(id jobid.ID) verdict {
	if found := p.byKey[pageOf(id)]; found != nil {
		word, shift := slotOf(id)
		if v := verdict(found.words[word] >> shift & verdictMask); v != verdictNone {
			return v
		}
	}
	if id.Expiry().Unix() <= p.horizon {
		return verdictForgotten
	}
	return verdictNone
}

// set records the verdict of an ID that has none.
func (p *pages) set(id jobid.ID, v verdict) {
	found := p.page(pageOf(id))
	word, shift := slotOf(id)
	found.words[word] |= uint64(v) << shift
	found.count++
	p.count++
	expiry := id.Expiry().Unix()
	found.expiry = max(found.expiry, expiry)
	found.keep = max(found.keep, max(expiry, p.now)+int64(ClockMargin/time.Second))
}

func (p *pages) page(k pageKey) *page {
	found := p.byKey[k]
	if found == nil {
		found = &page{key: k}
		p.byKey[k] = found
		p.order = append(p.order, found)
	}
	return found
}

// expire drops the pages that are no longer kept, among the next few.
func (p *pages) expire(now time.Time) {
	p.now = max(p.now, now.Unix())
	for range min(pagesPerExpire, len(p.order)) {
		if p.next >= len(p.order) {
			p.next = 0
		}
		if p.order[p.next].keep < p.now {
			p.drop(p.next)
			continue
		}
		p.next++
	}
}

func (p *pages) drop(i int) {
	found := p.order[i]
	last := len(p.order) - 1
	p.order[i] = p.order[last]
	p.order[last] = nil
	p.order = p.order[:last]
	delete(p.byKey, found.key)
	p.count -= found.count
	p.horizon = max(p.horizon, found.expiry)
}
