package stored

import (
	"slices"

	"lovagespread.example/dispatch/leased"
)

// enqueue adds an event to those that wait for the next batch.
func (s *Shard) enqueue(e Event, t Ticket, from uint64) {
	p := pendingEvent{event: e, from: from, size: maxEncodedSize(&e)}
	if t != 0 {
		p.tickets = append(p.tickets, t)
	}
	s.waiting = append(s.waiting, p)
}

// maxEncodedSize returns an upper bound of the size of an event on the log.
func maxEncodedSize(e *Event) int {
	const fixed, perStep = 64, 128
	size := fixed + len(e.Checkpoint) + len(e.Run.Endpoint)
	if e.Spec != nil {
		size += len(e.Spec.Spec) + len(e.Spec.Queue) + len(e.Spec.Service) + perStep*len(e.Spec.Steps)
	}
	for i := range e.Progress {
		size += progressSize(&e.Progress[i])
	}
	return size
}

// sameEvent reports whether one event says what another one does. The checkpoint of a
// run does not tell events apart.
func sameEvent(a, b *Event) bool {
	return a.Kind == b.Kind && a.Job == b.Job && a.Task == b.Task && a.Run == b.Run && a.Done == b.Done && a.Loss == b.Loss
}

// joinPending lets a ticket wait for an equal event that is not stored yet. It
// returns false if there is none.
func (s *Shard) joinPending(e *Event, t Ticket) bool {
	for _, list := range [][]pendingEvent{s.inFlight, s.waiting} {
		for i := range list {
			p := &list[i]
			if !sameEvent(&p.event, e) {
				continue
			}
			if t != 0 {
				p.tickets = append(p.tickets, t)
			}
			return true
		}
	}
	return false
}

// hasPending reports whether an event of a job is not stored yet.
func (s *Shard) hasPending(id leased.JobID) bool {
	for _, list := range [][]pendingEvent{s.inFlight, s.waiting} {
		for i := range list {
			if list[i].event.Job == id {
				return true
			}
		}
	}
	return false
}

// flush sends the next batch, unless one is in flight.
func (s *Shard) flush() {
	if len(s.inFlight) > 0 || len(s.waiting) == 0 || s.now.Before(s.backoffUntil) {
		return
	}
	n, size := 0, 0
	for n < len(s.waiting) && (n == 0 || size+s.waiting[n].size <= maxBatchBytes) {
		size += s.waiting[n].size
		n++
	}
	s.inFlight = slices.Clone(s.waiting[:n])
	s.waiting = slices.Delete(s.waiting, 0, n)
	s.sequence++
	events := make([]Event, n)
	for i := range s.inFlight {
		events[i] = s.inFlight[i].event
	}
	s.out.Appends = append(s.out.Appends, Append{Sequence: s.sequence, Events: events})
}

// handleAppended applies the events of the batch that has been stored.
func (s *Shard) handleAppended(in *Appended) {
	if in.Sequence != s.sequence || len(s.inFlight) == 0 {
		return
	}
	batch := s.inFlight
	s.inFlight = nil
	for i := range batch {
		p := &batch[i]
		s.apply(&p.event, in.Offset)
		s.afterStored(p)
		for _, t := range p.tickets {
			s.replyUnlessWaiting(t, p, batch[i+1:])
		}
	}
}

// replyUnlessWaiting answers a ticket of an event that is stored, unless it waits for further
// events.
func (s *Shard) replyUnlessWaiting(t Ticket, p *pendingEvent, rest []pendingEvent) {
	for _, list := range [][]pendingEvent{rest, s.waiting} {
		for i := range list {
			if slices.Contains(list[i].tickets, t) {
				return
			}
		}
	}
	if tasks, isReport := s.reports[t]; isReport {
		delete(s.reports, t)
		s.replyToReport(t, Stored, tasks)
		return
	}
	if s.queries[t] {
		delete(s.queries, t)
		s.answerQuery(t, p.event.Job)
		return
	}
	s.reply(t, s.resultOf(&p.event))
}

// handleAppendRefused handles a batch that was not stored. Jobs that were to be
// accepted are refused, including those that wait for the next batch; the other
// events are put into it.
func (s *Shard) handleAppendRefused(in *AppendRefused) {
	if in.Sequence != s.sequence || len(s.inFlight) == 0 {
		return
	}
	s.backoffUntil = s.now.Add(refusedBackoff)
	var retry []pendingEvent
	for _, list := range [][]pendingEvent{s.inFlight, s.waiting} {
		for i := range list {
			p := &list[i]
			if p.event.Kind != JobAccepted {
				retry = append(retry, *p)
				continue
			}
			delete(s.jobs, p.event.Job)
			for _, t := range p.tickets {
				s.refuse(t, p.event.Job)
			}
		}
	}
	s.inFlight = nil
	s.waiting = retry
}

// refuse answers a ticket that waits for the acceptance of a job, which was refused.
func (s *Shard) refuse(t Ticket, id leased.JobID) {
	if s.queries[t] {
		delete(s.queries, t)
		s.answerQuery(t, id)
		return
	}
	s.reply(t, Refused)
}
