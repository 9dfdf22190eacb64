package fleet

import (
	"slices"

	"github.com/go-faster/errors"

	"lovagespread.example/membership/cells"
)

// holderHistory says which holders may have begun a job, and which one it should go to
// next.
type holderHistory struct {
	lost      lostHolders
	unknown   bool              // others, too, of which only a holder knows
	preferred cells.Incarnation // the holder that a moved job, or one whose call ended, should go to; 0: any
	again     sameHolder
}

// mayHaveBegun reports whether a holder may have begun the job.
func (h *holderHistory) mayHaveBegun() bool { return h.unknown || len(h.lost) > 0 }

// callEnded records that a call to a holder has ended without the end of the job,
// because the context was done. That holder may still have the job, like one whose call
// broke, unless it has received nothing or has returned the job.
func (h *holderHistory) callEnded(holder cells.Entry, err error) {
	var notSent *notSentError
	var moved *movedError
	if errors.As(err, &notSent) || errors.Is(err, errNotHolder) || errors.As(err, &moved) {
		return
	}
	h.lost.add(holder, err)
	h.preferred, h.again.tried = holder.Incarnation, holder.Incarnation
}

// lostHolders are the holders that may have begun a job and were lost since.
type lostHolders []cells.Incarnation

// add records that a holder was lost, unless nothing was sent to it.
func (l *lostHolders) add(holder cells.Entry, err error) {
	var notSent *notSentError
	if !errors.As(err, &notSent) {
		*l = append(*l, holder.Incarnation)
	}
}

// only reports whether a holder is the only one that may have begun the job.
func (l lostHolders) only(holder cells.Entry) bool {
	return len(l) > 0 && !slices.ContainsFunc(l, func(id cells.Incarnation) bool { return id != holder.Incarnation })
}

// sameHolder decides when a job whose call broke goes to the same holder once more.
// That one may still have the job and continues it, or it knows what has become of
// its runs. Another holder has to wait until they have certainly ended.
type sameHolder struct {
	tried cells.Incarnation // the holder that gets or has got the job once more; 0: none
}

// next returns the holder that the job should go to after its call to a holder has
// failed, or 0 for any.
func (s *sameHolder) next(holder cells.Entry, err error) cells.Incarnation {
	var broken *brokenCallError
	if holder.Incarnation == s.tried || !errors.As(err, &broken) || broken.gone {
		s.tried = 0
	} else {
		s.tried = holder.Incarnation
	}
	return s.tried
}
