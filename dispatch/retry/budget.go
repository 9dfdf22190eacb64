// Package retry bounds the messages that go beyond one for each task.
package retry

// Budget is a store of tokens. First attempts fill it, retries and hedges
// draw on it, so that their number stays a share of the first attempts.
type Budget struct {
	tokens float64
	share  float64
	limit  float64
}

// NewBudget returns a budget that allows the given share of the first
// attempts, and up to limit at once. It starts full.
func NewBudget(share, limit float64) Budget {
	return Budget{tokens: limit, share: share, limit: limit}
}

// Earn counts a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.limit) }

// Refund gives tokens back for an extra attempt that proved its worth.
func (b *Budget) Refund(tokens float64) { b.tokens = min(b.tokens+tokens, b.limit) }

// Spend takes a token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
