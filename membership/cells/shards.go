package cells

import (
	"iter"
	"time"

	"github.com/samber/lo"
)

// Limits of the decision to yield shards.
const (
	// yieldAfter is how long the log must have answered none of an entry's calls,
	// while it answers others, before the entry yields its shards. It is longer than
	// the time after which an owner withdraws its offers because it is not sure to be
	// the owner.
	yieldAfter = 1500 * time.Millisecond
	// minFailedCalls is the number of calls that must have failed by then, because
	// single answers may be lost.
	minFailedCalls = 4
	// servedMargin is how much later than the first of these calls the log must have
	// answered another entry. It covers the delay of heartbeats, and a log that
	// fails for one entry slightly earlier than for others.
	servedMargin = 750 * time.Millisecond
	// maxAnswerAge is the age up to which an answer shows that the log serves an
	// entry. Entries without other calls probe the log more often.
	maxAnswerAge = 1500 * time.Millisecond
	// minReturnDelay is how long the log must have answered an entry before it
	// takes shards again. The delay doubles with each time that the entry yields,
	// up to maxReturnDelay, so that an entry that is turned away time and again
	// moves few shards.
	minReturnDelay = 3 * time.Second
	maxReturnDelay = 48 * time.Second
	// returnDelayReset is how long an entry must have kept its shards for the delay
	// to begin at minReturnDelay again.
	returnDelayReset = time.Minute
)

// LogCalls summarizes an entry's calls to the log of stored jobs. The zero value
// knows of no call.
type LogCalls struct {
	AnsweredAt   time.Time // when the latest call that was answered was sent; zero: none was
	FailingSince time.Time // when the first call that failed since then was sent; zero: none has
	ServedSince  time.Time // when the first call that was answered after a failed one was sent; zero: it fails
	Failed       int       // calls that failed since FailingSince
}

// Answered records that the log has answered a call, if only with an error that
// depends on what the log holds.
func (c *LogCalls) Answered(sentAt time.Time) {
	if !c.FailingSince.IsZero() || c.ServedSince.IsZero() {
		c.ServedSince = sentAt
	}
	if c.FailingSince.After(sentAt) {
		c.ServedSince = c.FailingSince // the call was answered late
	}
	if sentAt.After(c.AnsweredAt) {
		c.AnsweredAt = sentAt
	}
	c.FailingSince, c.Failed = time.Time{}, 0
}

// NotServed records that the log has turned a call away or has not answered it. A
// call that was sent before one that was answered says nothing new.
func (c *LogCalls) NotServed(sentAt time.Time) {
	if sentAt.Before(c.AnsweredAt) {
		return
	}
	if c.FailingSince.IsZero() || sentAt.Before(c.FailingSince) {
		c.FailingSince = sentAt
	}
	c.ServedSince = time.Time{}
	c.Failed++
}

// shardYield is the state of the decision of this entry to yield its shards.
type shardYield struct {
	turnedAwaySince time.Time     // since when the log serves others but not this entry; zero: it is not so
	changedAt       time.Time     // when this entry last yielded its shards or took some again
	returnDelay     time.Duration // 0: this entry has never yielded
	logFails        bool          // the log has not answered the latest call of this entry
}

// LogContact is what an entry announces about its calls to the log.
type LogContact struct {
	Answered bool          // the log has answered a call
	Ago      time.Duration // since the latest such call was sent
	Fails    bool          // the log has not answered the latest call
}

// Contact returns what the calls show at a time.
func (c *LogCalls) Contact(now time.Time) LogContact {
	return LogContact{Answered: !c.AnsweredAt.IsZero(), Ago: now.Sub(c.AnsweredAt), Fails: !c.FailingSince.IsZero()}
}

// ReceiveLogContact records what an entry has announced about its calls to the log.
func (r *Roster) ReceiveLogContact(now time.Time, id Incarnation, c LogContact) {
	for _, m := range r.members {
		if m.Incarnation != id {
			continue
		}
		m.logFails = c.Fails
		if at := now.Add(-c.Ago); c.Answered && at.After(m.logAnsweredAt) {
			m.logAnsweredAt = at
		}
	}
}

// ReviewShards decides whether this entry yields its shards, from its own calls to
// the log and from the answers that other entries have announced. It returns true if
// that has changed.
//
// The entry yields if the log has answered none of its calls for yieldAfter, but has
// answered another entry all the while. If the log answers nobody, nobody yields.
func (r *Roster) ReviewShards(now time.Time, calls LogCalls) bool {
	r.reviewContrast(now, calls)
	yields := r.self.YieldsShards
	if yields {
		yields = !r.mayReturn(now, calls)
	} else {
		yields = r.mustYield(now, calls)
	}
	r.yield.logFails = !calls.FailingSince.IsZero()
	if yields == r.self.YieldsShards {
		return false
	}
	if yields {
		r.yield.increaseDelay(now)
	}
	r.self.YieldsShards = yields
	r.yield.changedAt = now
	return true
}

func (y *shardYield) increaseDelay(now time.Time) {
	if y.returnDelay == 0 || now.Sub(y.changedAt) > returnDelayReset {
		y.returnDelay = minReturnDelay
		return
	}
	y.returnDelay = min(2*y.returnDelay, maxReturnDelay)
}

// reviewContrast notes since when the log serves other entries but not this one.
func (r *Roster) reviewContrast(now time.Time, calls LogCalls) {
	if calls.FailingSince.IsZero() {
		r.yield.turnedAwaySince = time.Time{}
		return
	}
	answered := r.latestLogAnswer(now)
	switch {
	case !answered.After(calls.FailingSince) || now.Sub(answered) > maxAnswerAge:
		r.yield.turnedAwaySince = time.Time{}
	case r.yield.turnedAwaySince.IsZero() && now.Sub(calls.FailingSince) < yieldAfter:
		r.yield.turnedAwaySince = calls.FailingSince
	case r.yield.turnedAwaySince.IsZero(): // the log has begun to serve again
		r.yield.turnedAwaySince = now
	}
}

// latestLogAnswer returns when another live entry sent the latest call that the log
// has answered.
func (r *Roster) latestLogAnswer(now time.Time) time.Time {
	var latest time.Time
	for m := range r.liveMembers(now) {
		if m.logAnsweredAt.After(latest) {
			latest = m.logAnsweredAt
		}
	}
	return latest
}

func (r *Roster) mustYield(now time.Time, calls LogCalls) bool {
	since := r.yield.turnedAwaySince
	if since.IsZero() || now.Sub(since) < yieldAfter || calls.Failed < minFailedCalls {
		return false
	}
	return r.latestLogAnswer(now).After(since.Add(servedMargin))
}

// mayReturn reports whether this entry, which has yielded its shards, takes some
// again. It does so without a delay if all others have yielded theirs.
func (r *Roster) mayReturn(now time.Time, calls LogCalls) bool {
	if calls.ServedSince.IsZero() {
		return false
	}
	if now.Sub(calls.ServedSince) >= r.yield.returnDelay {
		return true
	}
	for m := range r.liveMembers(now) {
		if !m.YieldsShards {
			return false
		}
	}
	return true
}

// YieldsShards reports whether this entry yields its shards.
func (r *Roster) YieldsShards() bool { return r.self.YieldsShards }

// ProbesLog reports whether this entry must find out whether the log serves it,
// although it may have no other reason to call the log: its latest call has failed,
// it has yielded its shards, or another entry's calls fail, whose shards this entry
// may have to take over.
func (r *Roster) ProbesLog(now time.Time) bool {
	if r.yield.logFails || r.self.YieldsShards {
		return true
	}
	for m := range r.liveMembers(now) {
		if m.logFails || m.YieldsShards {
			return true
		}
	}
	return false
}

// liveMembers iterates over the other live entries that are not leaving.
func (r *Roster) liveMembers(now time.Time) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for _, m := range r.members {
			if !m.Leaving && r.live(now, m) && !yield(m) {
				return
			}
		}
	}
}

// Owner returns the entry, of any failure domain, that should own a shard of
// stored jobs. It returns false if there is none.
func (v *View) Owner(shard, total int) (Entry, bool) {
	a := v.assigned
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.shardOwners) != total {
		a.shardOwners = assignShards(total, a.candidates)
	}
	if shard >= len(a.shardOwners) {
		return Entry{}, false
	}
	return a.shardOwners[shard], true
}

// shardsHashKey takes the place of the failure domain in the hash that assigns
// shards. All entries must use the same text to pick the same owners.
const shardsHashKey = "shards of kept jobs"

// assignShards assigns the shards of stored jobs. Those of entries that yield go to
// other entries; the other shards stay where they are. If all entries yield, none
// does.
func assignShards(total int, entries []Entry) []Entry {
	owners := assignCells(shardsHashKey, total, entries)
	serving := lo.Filter(entries, func(e Entry, _ int) bool { return !e.YieldsShards })
	if len(serving) == 0 || len(serving) == len(entries) {
		return owners
	}
	substitutes := assignCells(shardsHashKey, total, serving)
	for i := range owners {
		if owners[i].YieldsShards {
			owners[i] = substitutes[i]
		}
	}
	return owners
}
