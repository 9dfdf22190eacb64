package stored

import (
	"slices"

	"lovagespread.example/dispatch/leased"
)

// add puts an event into the next batch.
func (s *Shard) add(e Event, t Ticket, from uint64) {
	p := pending{event: e, from: from, size: sizeOf(&e)}
	if t != 0 {
		p.replies = append(p.replies, t)
	}
	s.waiting = append(s.waiting, p)
}

// sizeOf bounds the bytes of an event on the log.
func sizeOf(e *Event) int {
	const fixed, perStep, perTask = 64, 128, 24
	size := fixed + len(e.Saved)
	if e.Spec != nil {
		size += len(e.Spec.Spec) + len(e.Spec.Queue) + len(e.Spec.Service) + perStep*len(e.Spec.Steps)
	}
	for i := range e.Progress {
		size += perTask + len(e.Progress[i].Checkpoint)
	}
	return size
}

// join lets a ticket wait for an event that is not stored yet. It returns false
// if there is none.
func (s *Shard) join(e *Event, t Ticket) bool {
	for _, list := range [][]pending{s.flight, s.waiting} {
		for i := range list {
			p := &list[i]
			if p.event.Kind != e.Kind || p.event.Job != e.Job || p.event.Task != e.Task || p.event.Run != e.Run {
				continue
			}
			if t != 0 {
				p.replies = append(p.replies, t)
			}
			return true
		}
	}
	return false
}

// hasPending reports whether an event of a job is not stored yet.
func (s *Shard) hasPending(id leased.JobID) bool {
	for _, list := range [][]pending{s.flight, s.waiting} {
		for i := range list {
			if list[i].event.Job == id {
				return true
			}
		}
	}
	return false
}

// flush sends the next batch, unless one is under way.
func (s *Shard) flush() {
	if len(s.flight) > 0 || len(s.waiting) == 0 || s.now.Before(s.pauseTo) {
		return
	}
	n, size := 0, 0
	for n < len(s.waiting) && (n == 0 || size+s.waiting[n].size <= maxBatch) {
		size += s.waiting[n].size
		n++
	}
	s.flight = slices.Clone(s.waiting[:n])
	s.waiting = slices.Delete(s.waiting, 0, n)
	s.sequence++
	events := make([]Event, n)
	for i := range s.flight {
		events[i] = s.flight[i].event
	}
	s.out.Appends = append(s.out.Appends, Append{Sequence: s.sequence, Events: events})
}

// appended applies the events of the batch that is stored now.
func (s *Shard) appended(in *Appended) {
	if in.Sequence != s.sequence || len(s.flight) == 0 {
		return
	}
	batch := s.flight
	s.flight = nil
	for i := range batch {
		p := &batch[i]
		s.apply(&p.event, in.Offset)
		s.afterwards(p)
		for _, t := range p.replies {
			s.settle(t, batch[i+1:])
		}
	}
}

// settle answers a ticket, unless it waits for further events.
func (s *Shard) settle(t Ticket, rest []pending) {
	for _, list := range [][]pending{rest, s.waiting} {
		for i := range list {
			if slices.Contains(list[i].replies, t) {
				return
			}
		}
	}
	s.reply(t, Stored)
}

// refused takes a batch back that was not stored. Jobs that were to be accepted
// are refused; the other events wait for the next batch.
func (s *Shard) refused(in *AppendRefused) {
	if in.Sequence != s.sequence || len(s.flight) == 0 {
		return
	}
	s.pauseTo = s.now.Add(refusedPause)
	var again []pending
	for _, list := range [][]pending{s.flight, s.waiting} {
		for i := range list {
			p := &list[i]
			if p.event.Kind != JobAccepted {
				again = append(again, *p)
				continue
			}
			delete(s.jobs, p.event.Job)
			for _, t := range p.replies {
				s.reply(t, Refused)
			}
		}
	}
	s.flight = nil
	s.waiting = again
}
