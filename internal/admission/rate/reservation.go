package rate

import (
	"container/list"
	"time"
)

// Reservation holds the most a request may cost. It shrinks as tokens are generated, and what is left
// at the end goes back into the bucket. It is safe for concurrent use.
type Reservation struct {
	ledger   *Ledger
	bucket   *bucket
	left     float64
	spent    float64
	deadline time.Time
	round    int   // of the bucket, when it was made
	revision int64 // of the head, when it was made
	element  *list.Element
	closed   bool
}

// Deadline is when the request must have ended. Past it the tokens count as void, and the daemon has
// to cancel what still runs: the fleet's capacity may have been given to others.
func (r *Reservation) Deadline() time.Time {
	return r.deadline
}

// Spend says that tokens were generated and returns how many are left. Nothing left, or negative,
// means that the request must be cancelled.
func (r *Reservation) Spend(tokens float64) (left float64) {
	r.ledger.mutex.Lock()
	defer r.ledger.mutex.Unlock()
	r.ledger.advance(r.bucket)
	if r.closed {
		return 0
	}
	r.take(tokens)
	return r.left
}

// Settle ends the reservation with the tokens used in all; what Spend was told is part of them. Only the
// first call counts. Tokens used beyond the reservation are charged to the bucket, whose level may then
// be below zero.
func (r *Reservation) Settle(used float64) {
	r.ledger.mutex.Lock()
	defer r.ledger.mutex.Unlock()
	r.ledger.advance(r.bucket)
	if r.closed {
		return
	}
	over := used - r.spent - r.left
	r.take(used - r.spent)
	r.bucket.level += r.left - max(over, 0)
	r.bucket.unreserve(r, r.left)
	r.bucket.clip()
	r.close()
}

func (r *Reservation) take(tokens float64) {
	tokens = min(max(tokens, 0), r.left)
	r.left -= tokens
	r.spent += tokens
	r.bucket.unreserve(r, tokens)
}

func (r *Reservation) close() {
	r.left = 0
	r.closed = true
	r.bucket.open.Remove(r.element)
}
