// Package retry implements retry budgets, which bound the load that an instance's own retries add.
package retry

// Budget is a token bucket for retries: each first attempt adds a fraction of a retry. The zero value allows no
// retries, use New. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	max     float64
	balance float64
}

// DefaultRatio is the ratio of retries to first attempts that operators have set as the limit.
const DefaultRatio = 0.1

// DefaultMaxUnused is the maximum number of unused retries. It bounds the burst of retries after an hour of low traffic.
const DefaultMaxUnused = 10

// New returns an empty budget. Retries never exceed ratio times the first attempts.
func New(ratio, maxUnused float64) *Budget {
	return &Budget{ratio: ratio, max: maxUnused}
}

// NewHalfFull returns a budget that is half full, for a limit that allows some retries beyond its ratio. The other half is
// held back for instances that are killed and restart within one window.
func NewHalfFull(ratio, maxUnused float64) *Budget {
	return &Budget{ratio: ratio, max: maxUnused, balance: maxUnused / 2}
}

// SetMax changes the maximum number of unused retries, and discards those above it. Instances share a limit, so the
// maximum of each changes with the size of the fleet.
func (b *Budget) SetMax(maxUnused float64) {
	b.max = maxUnused
	b.balance = min(b.balance, maxUnused)
}

// CountFirstTry counts a first attempt.
//
// In an outage every request fails and is retried. Without a budget the retries multiply the load when capacity is
// lowest, and the number of attempts per answered request rises.
func (b *Budget) CountFirstTry() {
	b.balance = min(b.balance+b.ratio, b.max)
}

// IsAvailable reports whether a retry may be sent, and takes none from the budget.
func (b *Budget) IsAvailable() bool { return b.balance >= 1 }

// Allow reports whether a retry may be sent, and takes it from the budget.
func (b *Budget) Allow() bool {
	if !b.IsAvailable() {
		return false
	}
	b.balance--
	return true
}
