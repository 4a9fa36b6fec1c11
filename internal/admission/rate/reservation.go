package rate

import (
	"container/list"
	"time"
)

// Reservation holds the maximum cost of a request. It shrinks as tokens are generated, and the rest returns to the
// bucket at the end. It is safe for concurrent use.
type Reservation struct {
	ledger     *Ledger
	bucket     *bucket
	remaining  float64
	spent      float64
	deadline   time.Time
	drainRound int   // drain round of the bucket at creation
	revision   int64 // revision of the head at creation
	element    *list.Element
	closed     bool
}

// Deadline returns when the request must have ended. After it the tokens count as void, and the daemon must cancel
// a request that is still running: the fleet's capacity may have been given to others.
func (r *Reservation) Deadline() time.Time {
	return r.deadline
}

// Spend records generated tokens and returns how many are left. If the result is zero or negative, the request must
// be cancelled.
func (r *Reservation) Spend(tokens float64) (left float64) {
	r.ledger.mutex.Lock()
	defer r.ledger.mutex.Unlock()
	r.ledger.advance(r.bucket)
	if r.closed {
		return 0
	}
	r.consume(tokens)
	return r.remaining
}

// Settle ends the reservation with the total number of tokens used, including those passed to Spend. Only the first
// call counts. Tokens used beyond the reservation are charged to the bucket, whose level may then become negative.
func (r *Reservation) Settle(used float64) {
	r.ledger.mutex.Lock()
	defer r.ledger.mutex.Unlock()
	r.ledger.advance(r.bucket)
	if r.closed {
		return
	}
	over := used - r.spent - r.remaining
	r.consume(used - r.spent)
	r.bucket.level += r.remaining - max(over, 0)
	r.bucket.unreserve(r, r.remaining)
	r.bucket.capLevel()
	r.close()
}

func (r *Reservation) consume(tokens float64) {
	tokens = min(max(tokens, 0), r.remaining)
	r.remaining -= tokens
	r.spent += tokens
	r.bucket.unreserve(r, tokens)
}

func (r *Reservation) close() {
	r.remaining = 0
	r.closed = true
	r.bucket.openReservations.Remove(r.element)
}
