package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// slot_search.go bounds under contention what one request spends on asking holders for an adapter slot. When all
// adapter slots of a service are in use, further questions cost the holders thousands of requests a second, and cost
// the caller the time in which it could come back.

const (
	// maxSlotRequests bounds the holders that are asked for an adapter slot for one request.
	maxSlotRequests = 4
	// refusedWaitFraction is the part of the objective that may pass in waits for holders that end in a refusal. The
	// rest is for the load and the first event.
	refusedWaitFraction = 1.0 / 3
)

// slotSearch is what a request has spent on asking for adapter slots. It begins anew once the request may have run,
// and with each try to find an upstream in place of a silent one.
type slotSearch struct {
	// asked counts the holders that were asked for an adapter slot, and refusedAfter is the sum of the waits for
	// holders that refused.
	asked        int
	refusedAfter time.Duration
}

// slotBounds returns which upstreams may be asked for an adapter slot; nil without contention.
func (j *job) slotBounds() *pool.SlotBounds {
	if !j.handler.Contention {
		return nil
	}
	bounds := &pool.SlotBounds{Class: j.slotClass(), MaxWait: j.slotBudget()}
	if j.slots.asked >= maxSlotRequests || bounds.MaxWait <= 0 {
		bounds.MaxWait = -1
	}
	return bounds
}

func (j *job) slotClass() pool.SlotClass {
	return pool.SlotClass{OverShare: j.overShare, Priority: j.priority}
}

// slotBudget is how long the request may still wait for an adapter slot.
func (j *job) slotBudget() time.Duration {
	objective := j.route.Objective
	if objective <= 0 {
		objective = j.deadline.Sub(j.startedAt)
	}
	budget := time.Duration(refusedWaitFraction*float64(objective)) - j.slots.refusedAfter
	return min(budget, time.Until(j.deadline))
}

// slotTimeout is how long the holder may let the request wait: under contention for an adapter slot, without the load.
func (j *job) slotTimeout(choice pool.Choice) time.Duration {
	if j.handler.Contention && !choice.Loaded {
		return max(min(j.slotBudget(), j.holderTimeout(choice)), 0)
	}
	return j.holderTimeout(choice)
}

// boundAnswer bounds how long the holder may take to answer under contention, where the time that it is sent does not
// include the load.
func (j *job) boundAnswer(ctx context.Context, choice pool.Choice) (context.Context, context.CancelFunc) {
	if !j.handler.Contention {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, j.holderTimeout(choice))
}

// countSlotRequest adds what asking a holder has cost.
func (j *job) countSlotRequest(choice pool.Choice, prepared mesh.PrepareResult, took time.Duration) {
	if choice.NeedsSlot {
		j.slots.asked++
	}
	if _, busy := prepared.(mesh.Busy); busy {
		j.slots.refusedAfter += took
	}
}

// recordSlotWait keeps the wait for an adapter slot that a holder stated, under contention for the class of the
// request.
func (j *job) recordSlotWait(p *pool.Pool, choice pool.Choice, wait time.Duration) {
	if j.handler.Contention {
		p.RecordClassWait(time.Now(), choice.Upstream.ID, j.slotClass(), wait)
		return
	}
	p.RecordSlotWait(choice.Upstream.ID, wait)
}

// noteNoSlot keeps the shortest known wait if no adapter slot becomes free in time, for the refusal.
func (j *job) noteNoSlot(err error, choice pool.Choice) {
	if !errors.Is(err, pool.ErrNoSlot) {
		return
	}
	j.step("noSlot").Str("Upstream", choice.Upstream.ID).Int("Priority", j.priority).Bool("OverShare", j.overShare).
		Int("Asked", j.slots.asked).Int64("RefusedMillis", j.slots.refusedAfter.Milliseconds()).
		Int64("WaitMillis", choice.SlotWait.Milliseconds()).Msg("Decision")
	switch {
	case choice.SlotWait > 0:
		j.noteWait(choice.SlotWait)
	case j.shortestWait == 0:
		j.noteWait(busyRetryAfter)
	}
}

// noteWait keeps the shortest wait that a holder stated.
func (j *job) noteWait(wait time.Duration) {
	if j.shortestWait == 0 || wait < j.shortestWait {
		j.shortestWait = wait
	}
}
