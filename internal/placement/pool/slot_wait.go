package pool

import (
	"time"

	"github.com/pkg/errors"
)

// slot_wait.go keeps the waits for an adapter slot that holders state to classes of requests, and keeps requests from
// upstreams where they would wait for too long.

// ErrNoSlot means that no upstream has the adapter, and at none of them an adapter slot becomes free in time.
var ErrNoSlot = errors.New("pool: no adapter slot becomes free in time")

// SlotClass is the class of a request for an adapter slot. A lower number is a higher priority. All classes within
// their share come before all over it.
type SlotClass struct {
	OverShare bool
	Priority  int
}

// isAtMost reports whether a class is the same as another or a lower one.
func (c SlotClass) isAtMost(other SlotClass) bool {
	if c.OverShare != other.OverShare {
		return c.OverShare
	}
	return c.Priority >= other.Priority
}

// SlotBounds bounds the upstreams that lack the adapter of a request.
type SlotBounds struct {
	Class SlotClass
	// MaxWait is the longest stated wait that is accepted; negative if no such upstream is.
	MaxWait time.Duration
}

// excludes reports whether an upstream is not to be asked for an adapter slot.
func (b *SlotBounds) excludes(choice Choice) bool {
	return b != nil && choice.NeedsSlot && (b.MaxWait < 0 || choice.SlotWait > b.MaxWait)
}

// soonestSlot returns the choice with the shorter wait for an adapter slot.
func soonestSlot(best *Choice, choice Choice) *Choice {
	if best != nil && best.SlotWait <= choice.SlotWait {
		return best
	}
	return &choice
}

// classWaits are when adapter slots are expected, by the class that it was stated to.
type classWaits map[SlotClass]time.Time

// maxClassWaits bounds the classes with a stated wait at one upstream. Expired ones are dropped beyond it, and
// without any the next wait is not kept.
const maxClassWaits = 32

// RecordClassWait records within which time a request of a class would get an adapter slot, as the holder stated when
// it had none. It counts for the class and lower ones until that time.
func (p *Pool) RecordClassWait(now time.Time, id string, class SlotClass, wait time.Duration) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	if u.classWaits == nil {
		u.classWaits = make(classWaits)
	}
	if len(u.classWaits) >= maxClassWaits {
		for other, until := range u.classWaits {
			if !now.Before(until) {
				delete(u.classWaits, other)
			}
		}
	}
	if _, known := u.classWaits[class]; known || len(u.classWaits) < maxClassWaits {
		u.classWaits[class] = now.Add(wait)
	}
}

// dropClassWaits drops the stated waits once a later report of the holder shows that no class waits any more: fewer
// adapter slots are in use than the half that the lowest class may occupy (residence/reserve.go).
func (u *upstream) dropClassWaits(adapterSlots int) {
	if u.slotWait == 0 && adapterSlots-u.idleSlots < max(adapterSlots/2, 1) {
		u.classWaits = nil
	}
}

// slotWaitFor is the wait for an adapter slot that is known for a query.
func (u *upstream) slotWaitFor(now time.Time, query Query) time.Duration {
	wait := u.slotWait
	if query.Slots == nil {
		return wait
	}
	for class, until := range u.classWaits {
		if query.Slots.Class.isAtMost(class) {
			wait = max(wait, until.Sub(now))
		}
	}
	return wait
}
