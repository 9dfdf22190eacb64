package evacuationcheck

import (
	"strings"
	"time"

	"lovagespread.example/fleet/follow"
)

// Limits of reads, as in package follow and the platform's adapter.
const (
	pollWait    = 1200 * time.Millisecond
	readTimeout = 1500 * time.Millisecond // in addition to pollWait
	listTimeout = 1500 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	minBackoff  = 150 * time.Millisecond
	maxBackoff  = 1200 * time.Millisecond
)

const requestPrefix = "evacuate/"

// record is a record of the operators' log; an empty value deletes the key.
type record struct {
	key, value string
	at, acked  time.Duration
}

// store is the operators' log.
type store struct {
	log     []record
	waiting []func() // reads that wait for records
}

func (s *store) append(at, acked time.Duration, key, value string) {
	s.log = append(s.log, record{key, value, at, acked})
	waiting := s.waiting
	s.waiting = nil
	for _, check := range waiting {
		check()
	}
}

// end returns the end of the log as it was at a time.
func (s *store) end(at time.Duration) int64 {
	n := 0
	for n < len(s.log) && s.log[n].at <= at {
		n++
	}
	return int64(n)
}

func (s *store) read(from, end int64) []follow.Record {
	var list []follow.Record
	for _, r := range s.log[min(from, end):end] {
		list = append(list, follow.Record{Key: r.key, Value: []byte(r.value)})
	}
	return list
}

// newest returns the newest records of the keys that are not deleted.
func (s *store) newest(end int64) []follow.Record {
	var list []follow.Record
	for i, r := range s.log[:end] {
		superseded := r.value == ""
		for _, later := range s.log[i+1 : end] {
			superseded = superseded || later.key == r.key
		}
		if !superseded {
			list = append(list, follow.Record{Key: r.key, Value: []byte(r.value)})
		}
	}
	return list
}

// request returns the offset of the record since which the evacuation of a domain
// is requested without interruption at a time, and false if it is not requested.
func (s *store) request(domain string, at time.Duration) (int64, bool) {
	first, requested := int64(0), false
	for i, r := range s.log[:s.end(at)] {
		if r.key != requestPrefix+domain {
			continue
		}
		if !requested {
			first = int64(i)
		}
		requested = r.value != ""
	}
	return first, requested
}

// requestedDomains returns the domains that a copy of the records lists.
func requestedDomains(records map[string][]byte) []string {
	var list []string
	for key := range records {
		if domain, ok := strings.CutPrefix(key, requestPrefix); ok {
			list = append(list, domain)
		}
	}
	return list
}

// link is the state of the connection of an entry to the store during a time.
type link struct {
	from, to time.Duration
	cut      bool
	refused  bool          // a read of a cut link fails at once
	least    time.Duration // shortest time that a reply takes
	slow     time.Duration // longest one; 0: no fault
	oneWay   bool          // requests are not slow
	lag      time.Duration // how old the state is that is read
}

func (w *world) storeLinkOf(e *entry) link {
	for _, l := range w.storeLink[e.index] {
		if l.from <= w.now && w.now < l.to {
			return l
		}
	}
	return link{}
}

// read is a read of the operators' log by an entry.
type read struct {
	sent, ended time.Duration
	answered    bool
	end         int64 // of the log, as the reply knows it
}

// follow starts a read of the log, which starts the next one when it has ended, like
// follow.Follower.
func (e *entry) follow() {
	e.reads = append(e.reads, &read{sent: e.now, ended: runLength})
	r := e.reads[len(e.reads)-1]
	list, l := !e.listed, e.storeLinkOf(e)
	timeout, wait := readTimeout+pollWait, pollWait
	if list {
		timeout, wait = listTimeout, 0
	}
	done := false
	finish := func(then func()) {
		if !done {
			done = true
			r.ended = e.now
			then()
		}
	}
	if l.cut {
		timeout = min(timeout, dialTimeout)
		if l.refused {
			timeout = time.Millisecond
		}
	}
	e.later(timeout, func() { finish(e.readFailed) })
	if l.cut {
		return
	}
	from := e.copy.Progress().Offset
	there := l
	if l.oneWay {
		there = link{}
	}
	e.later(e.storeDelay(there), func() {
		e.await(from, list, wait, l.lag, func(reply follow.Reply) {
			e.later(e.storeDelay(l), func() {
				if e.storeLinkOf(e).cut {
					return // the read times out
				}
				finish(func() { r.answered, r.end = true, reply.Next; e.readAnswered(r, reply) })
			})
		})
	})
}

func (w *world) storeDelay(l link) time.Duration {
	if l.slow > 0 {
		return w.between(l.least, l.slow)
	}
	return w.between(time.Millisecond, 4*time.Millisecond)
}

// await answers a read at the store, once there are records or the wait is over.
func (e *entry) await(from int64, list bool, wait, lag time.Duration, reply func(follow.Reply)) {
	until, done := e.now+wait, false
	var check func()
	check = func() {
		end := e.store.end(e.now - lag)
		switch {
		case done:
		case list:
			done = true
			reply(follow.Reply{Records: e.store.newest(end), Next: end, Listed: true})
		case end > from || e.now >= until:
			done = true
			reply(follow.Reply{Records: e.store.read(from, max(from, end)), Next: max(from, end)})
		default:
			e.store.waiting = append(e.store.waiting, func() { e.later(lag, check) })
		}
	}
	check()
	if !done {
		e.later(wait, check)
		for _, r := range e.store.log[from:] { // not visible yet
			e.later(max(0, r.at+lag-e.now), check)
		}
	}
}

func (e *entry) readFailed() {
	e.failures++
	if !e.requests.Known() {
		e.requests.ReadFailed() // fleet.evacuationsUnread.handle
		e.assign()
	}
	backoff := min(minBackoff<<min(e.failures-1, 4), maxBackoff)
	e.later(backoff/2+e.between(0, backoff), e.follow)
}

// gapRate is the share of reads after which the store has deleted old records, so
// that the entry lists all of them again.
const gapRate = 0.02

func (e *entry) readAnswered(r *read, reply follow.Reply) {
	e.failures = 0
	e.listed = !e.chance(gapRate)
	reply.Sent = epoch.Add(r.sent)
	changed := e.copy.Apply(e.time(), reply)
	if changed {
		e.requestsRead()
	}
	e.later(time.Millisecond, e.follow)
}
