package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

// dispatch.go assigns free batch slots to waiting requests and releases them.

// maxApart limits how many requests that were in flight at one crash may run concurrently. In measurements, 2 gave a
// third fewer refusals of innocent requests than 1, 3 or no limit.
const maxApart = 2

// dispatch grants free batch slots, in fair order, to requests whose version is loaded.
//
// This is for a full batch with long and short requests mixed. A request whose version is still being loaded is
// skipped: a batch slot reserved for it would be wasted. A suspect at the head of the queue blocks the others until
// it has run alone; otherwise a busy upstream would never be free for it.
func (h *Holder) dispatch(now time.Time) {
	if !h.mayAct(now) {
		return
	}
	for h.pins.len() < h.Upstream.Batch && !h.pins.alone {
		draining := false
		entry, _, ok := h.queue.Take(func(entry queue.Entry) bool {
			w := h.waiting.byID[entry.ID]
			if draining || !h.residency.has(w.request.Model) {
				return false
			}
			if w.request.Apart && h.pins.apart >= maxApart {
				return false
			}
			draining = w.request.Alone && h.pins.len() > 0
			return !draining
		})
		if !ok {
			return
		}
		h.grant(now, entry)
	}
}

func (h *Holder) grant(now time.Time, entry queue.Entry) {
	w := h.waiting.remove(entry.ID)
	request := w.request
	pin := Pin{
		ID:          h.pins.nextID(h.Upstream.Meta.Name, h.tenure.epoch),
		RequestID:   request.ID,
		Instance:    request.Instance,
		Incarnation: request.Incarnation,
		Workspace:   request.Workspace,
		Model:       request.Model,
	}
	h.pins.add(runningPin{Pin: pin, since: now, cost: request.Cost, weight: request.Weight, alone: request.Alone, apart: request.Apart})
	h.residency.markUsed(now, request.Model)
	load, queued := w.waited(now)
	h.emit(Grant{Pin: pin, WaitedLoad: load, WaitedQueue: queued})
}

// released frees the batch slot and updates the speed estimate and the workspace's share.
func (h *Holder) released(now time.Time, e Released) {
	r, ok := h.pins.remove(e.Pin)
	if !ok {
		h.tenure.recordReleased(e.Pin)
		return
	}
	if e.NotResident {
		h.residency.remove(now, r.Model)
		return
	}
	if e.UpstreamFailed || r.since.IsZero() || e.Tokens <= 0 {
		return
	}
	h.speed = h.speed.withSample(now.Sub(r.since), r.cost)
	h.queue.Settle(r.Workspace, r.weight, r.cost, e.Tokens)
}

// occupancy returns how long the next waiting request waits for a batch slot.
func (h *Holder) occupancy(now time.Time) queue.Occupancy {
	untilMayAct := time.Duration(0)
	if from, known := h.mayActFrom(now); known && from.After(now) {
		untilMayAct = from.Sub(now)
	}
	free := h.pins.len() < h.Upstream.Batch && !h.pins.alone
	if free && untilMayAct == 0 {
		return queue.Occupancy{Free: true}
	}
	if free {
		return queue.Occupancy{NextSlot: untilMayAct}
	}
	return queue.Occupancy{NextSlot: untilMayAct + h.untilBatchSlotFree(now)}
}

// maxUntilBatchSlotFree caps the estimated time until a batch slot is free. It is the estimate when an earlier holder
// granted all running requests, as nothing is known of them.
const maxUntilBatchSlotFree = 10 * time.Second

// untilBatchSlotFree returns how long until the first running request is expected to end. The mean time per request
// would suffice for equal requests. With short and long requests mixed, it would predict free batch slots while eight
// long requests occupy them.
func (h *Holder) untilBatchSlotFree(now time.Time) time.Duration {
	least := h.speed.perRequest / time.Duration(2*max(h.Upstream.Batch, 1)) // for a request that runs longer than expected
	first := maxUntilBatchSlotFree
	for _, r := range h.pins.byID {
		if r.since.IsZero() {
			continue
		}
		left := h.speed.work(r.cost) - now.Sub(r.since)
		first = min(first, max(left, least))
	}
	return first
}

// ---------------------------------------------------------------------------------------------

// sampleWeight is the weight of the newest sample in a moving mean: about the last ten samples count.
const sampleWeight = 0.1

// speed holds moving means of the upstream's time per token of expected cost and time per request. The expected cost
// is an upper bound, so requests produce fewer tokens; dividing the time by the expected cost compensates for that.
type speed struct {
	perToken   time.Duration
	perRequest time.Duration
}

func (s speed) withSample(took time.Duration, cost float64) speed {
	s.perToken = movingMean(s.perToken, time.Duration(float64(took)/max(cost, 1)))
	s.perRequest = movingMean(s.perRequest, took)
	return s
}

// work returns how long a request of that cost is expected to occupy a batch slot.
func (s speed) work(cost float64) time.Duration {
	return time.Duration(cost * float64(s.perToken))
}

func movingMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// ---------------------------------------------------------------------------------------------

// recordLoadWaits records the load wait of the requests that wait for the version.
func (h *Holder) recordLoadWaits(now time.Time, ref model.Reference) {
	h.queue.Each(func(entry queue.Entry) {
		w := h.waiting.byID[entry.ID]
		if w.request.Model == ref && !w.loadSince.IsZero() {
			w.waitedLoad += now.Sub(w.loadSince)
			w.loadSince = time.Time{}
		}
	})
}
