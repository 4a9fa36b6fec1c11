package claim

import (
	"context"
	"sync"
	"time"
)

// Ticket permits one call to be dispatched once. It is safe for concurrent use.
type Ticket struct {
	registry  *Registry
	keyHash   string
	claimID   string
	claimedAt time.Time

	mutex sync.Mutex
	phase phase
}

type phase int

const (
	phaseClaimed phase = iota
	phaseDispatched
	phaseClosed
)

// CheckUsable returns nil while the call may be dispatched. The holder may have been paused since it claimed the key,
// for longer than the claim is kept, so that another caller could claim the key again. Call CheckUsable right before
// use. It checks both the monotonic and the wall clock, since the monotonic clock may stop while the machine is
// suspended.
func (t *Ticket) CheckUsable() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.checkUsable()
}

func (t *Ticket) checkUsable() error {
	if t.phase != phaseClaimed {
		return ErrTicketUsed
	}
	now := time.Now()
	age := max(now.Sub(t.claimedAt), now.Round(0).Sub(t.claimedAt.Round(0)))
	if age >= t.registry.dispatchWindow() {
		return ErrTicketExpired
	}
	return nil
}

// Dispatch must be called right before the first byte is sent. It returns nil exactly once.
func (t *Ticket) Dispatch() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.checkUsable(); err != nil {
		return err
	}
	t.phase = phaseDispatched
	return nil
}

// NotRun records that the call certainly did not run: it was never dispatched, or the upstream reported so. From
// then on the key may be claimed again. NotRun returns when the outcome is written, or with the context's error; in
// that case the outcome is still written as soon as the store allows.
func (t *Ticket) NotRun(ctx context.Context) error {
	if err := t.close(phaseClaimed); err != nil {
		return err
	}
	return t.registry.recordOutcome(ctx, outcomeOperation{keyHash: t.keyHash, claimID: t.claimID, outcome: NotRun{}}, nil)
}

// Ran records that the call ran, with its response. It returns as NotRun does.
func (t *Ticket) Ran(ctx context.Context, response Response) error {
	if err := t.close(phaseDispatched); err != nil {
		return err
	}
	outcome, body := t.registry.ranOutcome(response, t.claimID)
	return t.registry.recordOutcome(ctx, outcomeOperation{keyHash: t.keyHash, claimID: t.claimID, outcome: outcome}, body)
}

// Unknown records that the call was dispatched and that its outcome cannot be determined. It returns as NotRun
// does.
func (t *Ticket) Unknown(ctx context.Context) error {
	if err := t.close(phaseDispatched); err != nil {
		return err
	}
	return t.registry.recordOutcome(ctx, outcomeOperation{keyHash: t.keyHash, claimID: t.claimID, outcome: Unknown{}}, nil)
}

// close ends the ticket. The outcome requires the ticket to have reached at least the given phase.
func (t *Ticket) close(required phase) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.phase == phaseClosed {
		return ErrTicketUsed
	}
	if t.phase < required {
		return ErrNotDispatched
	}
	t.phase = phaseClosed
	return nil
}
