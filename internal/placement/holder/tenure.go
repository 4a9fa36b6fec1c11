package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// tenure.go decides from when on this instance may act on the upstream. Two instances that both
// believe to be the holder would evict under each other's running requests: a caller would notice an
// answer cut off, or one by the wrong version. So a new holder waits until no older one can act.

// tenure is how far this instance has become the holder.
type tenure struct {
	holding     bool
	epoch       int64
	inForce     bool
	inForceFrom time.Time
	fenceNoted  time.Time
	// released are pins of earlier tenures that ended before they were told.
	released map[string]bool
	// awaited are the members that have not told their pins.
	awaited map[string]bool
}

func (t tenure) withFenceNoted(now time.Time, fence int64) tenure {
	if fence == t.epoch && t.inForce {
		t.fenceNoted = now
	}
	return t
}

// appointed starts a tenure, or carries the running one on under a new epoch.
func (h *Holder) appointed(e Appointed) {
	if e.Epoch <= h.tenure.epoch && h.tenure.holding {
		return
	}
	if e.Continued && h.tenure.holding && h.tenure.inForce {
		h.tenure.epoch = e.Epoch
		return
	}
	h.tenure = tenure{
		holding:  true,
		epoch:    e.Epoch,
		released: make(map[string]bool),
		awaited:  make(map[string]bool),
	}
	for _, member := range e.Members {
		h.tenure.awaited[member] = true
	}
	h.residency = newResidency()
	h.loads = make(map[model.Reference]*load)
	h.act(AskPins{Epoch: e.Epoch})
}

// epochInForce tells that no older holder starts anything new.
func (h *Holder) epochInForce(now time.Time, e EpochInForce) {
	if !h.tenure.holding || h.tenure.inForce || e.Epoch < h.tenure.epoch {
		return
	}
	h.tenure.inForce = true
	h.tenure.inForceFrom = now
	if h.Upstream.ChecksFencing {
		h.act(OrderFence{Fence: h.tenure.epoch})
	}
}

// mayActFrom is when nothing that an older holder ordered can take effect any more. In force is not
// enough: an order that was sent before may still be under way. An engine that checks fencing refuses
// it once it has noted the new epoch; with any other, and when the note is not answered, the longest
// that an order may take has to pass.
func (h *Holder) mayActFrom(now time.Time) (from time.Time, known bool) {
	t := h.tenure
	if !t.holding || !t.inForce {
		return now, false
	}
	if !t.fenceNoted.IsZero() {
		return t.fenceNoted, true
	}
	return t.inForceFrom.Add(h.Settings.LongestOrder), true
}

func (h *Holder) mayAct(now time.Time) bool {
	from, known := h.mayActFrom(now)
	return known && !now.Before(from)
}

// mayEvict asks in addition that every member has told its pins: a request granted by an older holder
// may still run, and only the instance that forwards it knows.
func (h *Holder) mayEvict(now time.Time) bool {
	return h.mayAct(now) && len(h.tenure.awaited) == 0
}

// pinsTold takes note of what still runs from earlier tenures.
func (h *Holder) pinsTold(e PinsTold) {
	if !h.tenure.holding || e.Epoch != h.tenure.epoch {
		return
	}
	for _, pin := range e.Pins {
		if !h.tenure.released[pin.ID] {
			h.pins.add(running{Pin: pin})
		}
	}
	delete(h.tenure.awaited, e.Instance)
}

// instanceGone drops the pins of an instance that certainly runs no more. Dropped too early, a request
// that still streams through a paused instance loses its adapter; never dropped, each crash of an
// instance takes slots and places away for good.
func (h *Holder) instanceGone(e InstanceGone) {
	for _, pin := range h.pins.list() {
		if pin.Instance == e.Instance && pin.Incarnation == e.Incarnation {
			h.pins.remove(pin.ID)
		}
	}
	h.refuseWhere(func(request Request) bool {
		return request.Instance == e.Instance && request.Incarnation == e.Incarnation
	}, ReasonNotHolder, retryElsewhere)
	delete(h.tenure.awaited, e.Instance)
}

// yielded ends the tenure. Pins are kept by the instances that run the requests, and told to the next
// holder by them.
func (h *Holder) yielded() {
	h.refuseAll(ReasonNotHolder, retryElsewhere)
	h.tenure = tenure{epoch: h.tenure.epoch}
	h.pins = newPins()
	h.residency = newResidency()
	h.loads = make(map[model.Reference]*load)
}

// noteReleased remembers a pin that ended before its instance's list came: taken from the list later,
// it would never be released again, and its version could never be evicted.
func (t tenure) noteReleased(pin string) {
	if len(t.awaited) > 0 {
		t.released[pin] = true
	}
}
