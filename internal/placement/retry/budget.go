// Package retry bounds the load that an instance's own retries add.
package retry

// Budget allows a retry for every so many first tries. The zero value allows none; use New. It is not
// safe for use by several goroutines.
type Budget struct {
	ratio   float64
	most    float64
	balance float64
}

// DefaultRatio is the share of first tries that may be retried: the limit the operators ask for.
const DefaultRatio = 0.1

// DefaultMaxUnused is how many unused retries are kept. It bounds the burst of retries that follows a
// quiet hour; no measured reason yet.
const DefaultMaxUnused = 10

// New makes an empty budget, so that retries are at no time more than ratio times the first tries.
func New(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most}
}

// NewHalfFull makes a budget that is half full at the beginning, for a limit that allows some retries beside its
// ratio. The other half is kept back for instances that are killed and start again within one window.
func NewHalfFull(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most, balance: most / 2}
}

// SetMax changes how many unused retries are kept, as the part of a limit that instances share follows their
// number. Those beyond it are gone.
func (b *Budget) SetMax(most float64) {
	b.most = most
	b.balance = min(b.balance, most)
}

// CountFirstTry counts a first try.
//
// Made for the load of an outage, when every request fails and is retried: without a budget the
// retries multiply the load just when there is the least capacity, seen as a rising number of sends
// for each answered request.
func (b *Budget) CountFirstTry() {
	b.balance = min(b.balance+b.ratio, b.most)
}

// Allow tells whether one retry may be sent, and takes it from the budget.
func (b *Budget) Allow() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
