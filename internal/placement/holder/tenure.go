package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// tenure.go decides when this instance may start to act on the upstream. Two instances that both act as the holder
// would evict versions that the other's requests run on: callers would get truncated answers, or answers by the wrong
// version. So a new holder waits until no earlier one can act.

// tenure is the progress of this instance's takeover as the holder.
type tenure struct {
	holding      bool
	epoch        int64
	inForce      bool
	inForceSince time.Time
	fenceNotedAt time.Time
	// releasedEarly are pins of earlier tenures that ended before a member reported them.
	releasedEarly map[string]bool
	// unreported are the members that have not reported their pins.
	unreported map[string]bool
}

func (t tenure) withFenceNoted(now time.Time, fence int64) tenure {
	if fence == t.epoch && t.inForce {
		t.fenceNotedAt = now
	}
	return t
}

// appointed starts a tenure, or continues the current one under a new epoch.
func (h *Holder) appointed(e Appointed) {
	if e.Epoch <= h.tenure.epoch && h.tenure.holding {
		return
	}
	if e.Continued && h.tenure.holding && h.tenure.inForce {
		h.tenure.epoch = e.Epoch
		return
	}
	h.tenure = tenure{
		holding:       true,
		epoch:         e.Epoch,
		releasedEarly: make(map[string]bool),
		unreported:    make(map[string]bool),
	}
	for _, member := range e.Members {
		h.tenure.unreported[member] = true
	}
	h.residency = newResidency()
	h.loads = make(map[model.Reference]*load)
	h.emit(RequestPins{Epoch: e.Epoch})
}

// epochInForce records that no earlier holder starts anything new.
func (h *Holder) epochInForce(now time.Time, e EpochInForce) {
	if !h.tenure.holding || h.tenure.inForce || e.Epoch < h.tenure.epoch {
		return
	}
	h.tenure.inForce = true
	h.tenure.inForceSince = now
	if h.Upstream.ChecksFencing {
		h.emit(OrderFence{Fence: h.tenure.epoch})
	}
}

// mayActFrom returns the time from which no order of an earlier holder can take effect any more. An epoch in force is
// not sufficient: an order sent before may still be in flight. An engine that checks fencing refuses it once it has
// recorded the new epoch. For any other engine, and if the fencing order is not answered, Settings.OrderTimeout has
// to pass.
func (h *Holder) mayActFrom(now time.Time) (from time.Time, known bool) {
	t := h.tenure
	if !t.holding || !t.inForce {
		return now, false
	}
	if !t.fenceNotedAt.IsZero() {
		return t.fenceNotedAt, true
	}
	return t.inForceSince.Add(h.Settings.OrderTimeout), true
}

func (h *Holder) mayAct(now time.Time) bool {
	from, known := h.mayActFrom(now)
	return known && !now.Before(from)
}

// mayEvict additionally requires that every member has reported its pins: a request granted by an earlier holder
// may still be running, and only the instance that forwards it has its pin.
func (h *Holder) mayEvict(now time.Time) bool {
	return h.mayAct(now) && len(h.tenure.unreported) == 0
}

// pinsReported adds the pins of requests that still run from earlier tenures.
func (h *Holder) pinsReported(e PinsReported) {
	if !h.tenure.holding || e.Epoch != h.tenure.epoch {
		return
	}
	for _, pin := range e.Pins {
		if !h.tenure.releasedEarly[pin.ID] {
			h.pins.add(runningPin{Pin: pin})
		}
	}
	delete(h.tenure.unreported, e.Instance)
}

// instanceStopped drops the pins of an instance that has certainly stopped. If they were dropped too early, a request
// that still streams through a paused instance would lose its adapter. If they were never dropped, each crash of an
// instance would take adapter slots and batch slots permanently.
func (h *Holder) instanceStopped(e InstanceStopped) {
	for _, pin := range h.pins.list() {
		if pin.Instance == e.Instance && pin.Incarnation == e.Incarnation {
			h.pins.remove(pin.ID)
		}
	}
	h.refuseWhere(func(request Request) bool {
		return request.Instance == e.Instance && request.Incarnation == e.Incarnation
	}, ReasonNotHolder, retryElsewhere)
	delete(h.tenure.unreported, e.Instance)
}

// yielded ends the tenure. The instances that run the requests keep the pins and report them to the next holder.
func (h *Holder) yielded() {
	h.refuseAll(ReasonNotHolder, retryElsewhere)
	h.tenure = tenure{epoch: h.tenure.epoch}
	h.pins = newPins()
	h.residency = newResidency()
	h.loads = make(map[model.Reference]*load)
}

// recordReleased records a pin that ended before its instance reported its pins. If the pin were later added from that
// report, it would never be released again, and its version could never be evicted.
func (t tenure) recordReleased(pin string) {
	if len(t.unreported) > 0 {
		t.releasedEarly[pin] = true
	}
}
