// Package retry limits the number of attempts beyond the first one of each task.
package retry

// Budget is a token bucket. First attempts add tokens and retries or hedges
// remove them, so that their number stays within a share of the first attempts.
type Budget struct {
	tokens float64
	share  float64
	limit  float64
}

// NewBudget returns a budget that allows extra attempts up to the given share of
// the first attempts, and up to limit of them in a burst. The budget starts full.
func NewBudget(share, limit float64) Budget {
	return Budget{tokens: limit, share: share, limit: limit}
}

// Earn adds the tokens for a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.limit) }

// Refund returns tokens for an extra attempt that was useful.
func (b *Budget) Refund(tokens float64) { b.tokens = min(b.tokens+tokens, b.limit) }

// Spend removes a token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
