package claim

import (
	"context"
	"sync"
	"time"
)

// Ticket is leave to dispatch one call, once. It is safe for concurrent use.
type Ticket struct {
	registry *Registry
	identity string
	mark     string
	claimed  time.Time

	mutex sync.Mutex
	phase phase
}

type phase int

const (
	phaseClaimed phase = iota
	phaseDispatched
	phaseClosed
)

// Usable answers nil while the call may be dispatched. The holder may have been paused since it
// claimed: longer than the claim is kept, and another could claim the key anew. So it is asked at the
// moment of use, by the monotonic and by the wall clock; the former may stand still in a suspended
// machine.
func (t *Ticket) Usable() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.usable()
}

func (t *Ticket) usable() error {
	if t.phase != phaseClaimed {
		return ErrTicketUsed
	}
	now := time.Now()
	age := max(now.Sub(t.claimed), now.Round(0).Sub(t.claimed.Round(0)))
	if age >= t.registry.usableFor() {
		return ErrTicketExpired
	}
	return nil
}

// Dispatch is called right before the first byte goes out and answers nil exactly once.
func (t *Ticket) Dispatch() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.usable(); err != nil {
		return err
	}
	t.phase = phaseDispatched
	return nil
}

// NotRun records that the call certainly did not run: it was never dispatched, or the upstream said so.
// From then on the key may be claimed again. It returns when the outcome is written, or with the
// context's error; the outcome is then still written as soon as the store allows.
func (t *Ticket) NotRun(ctx context.Context) error {
	if err := t.close(phaseClaimed); err != nil {
		return err
	}
	return t.registry.settle(ctx, settle{identity: t.identity, mark: t.mark, outcome: NotRun{}}, nil)
}

// Ran records that the call ran, with its answer. It returns as NotRun does.
func (t *Ticket) Ran(ctx context.Context, answer Response) error {
	if err := t.close(phaseDispatched); err != nil {
		return err
	}
	outcome, body := t.registry.outcome(answer, t.mark)
	return t.registry.settle(ctx, settle{identity: t.identity, mark: t.mark, outcome: outcome}, body)
}

// Unknown records that the call was dispatched and that its outcome cannot be known. It returns as
// NotRun does.
func (t *Ticket) Unknown(ctx context.Context) error {
	if err := t.close(phaseDispatched); err != nil {
		return err
	}
	return t.registry.settle(ctx, settle{identity: t.identity, mark: t.mark, outcome: Unknown{}}, nil)
}

// close ends the ticket; the phase is the least that the outcome needs.
func (t *Ticket) close(least phase) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.phase == phaseClosed {
		return ErrTicketUsed
	}
	if t.phase < least {
		return ErrNotDispatched
	}
	t.phase = phaseClosed
	return nil
}
