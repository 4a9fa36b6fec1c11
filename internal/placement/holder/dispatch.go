package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

// dispatch.go hands free batch places to waiting requests, and takes places back.

// mostApart is how many requests that were in flight at one crash may run beside each other. Measured:
// with 2 a third fewer innocent requests are refused than with 1, 3 or no bound.
const mostApart = 2

// dispatch grants places while there are any, in fair order, to requests whose version is loaded.
//
// Made for a full batch and for long and short requests mixed. A request whose version is still being
// loaded is passed over: a place kept free for it would be a place wasted. A suspect that has come
// first stops the rest until it has run alone, for otherwise a busy upstream would never be free for it.
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
			if w.request.Apart && h.pins.apart >= mostApart {
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
	h.pins.add(running{Pin: pin, since: now, cost: request.Cost, weight: request.Weight, alone: request.Alone, apart: request.Apart})
	h.residency.use(now, request.Model)
	load, queued := w.waited(now)
	h.act(Grant{Pin: pin, WaitedLoad: load, WaitedQueue: queued})
}

// released takes a place back, and learns from how the request ran.
func (h *Holder) released(now time.Time, e Released) {
	r, ok := h.pins.remove(e.Pin)
	if !ok {
		h.tenure.noteReleased(e.Pin)
		return
	}
	if e.NotResident {
		h.residency.remove(now, r.Model)
		return
	}
	if e.UpstreamFailed || r.since.IsZero() || e.Tokens <= 0 {
		return
	}
	h.speed = h.speed.with(now.Sub(r.since), r.cost)
	h.queue.Settle(r.Workspace, r.weight, r.cost, e.Tokens)
}

// occupancy is how long the next waiting request waits for a place.
func (h *Holder) occupancy(now time.Time) queue.Occupancy {
	idle := time.Duration(0)
	if from, known := h.mayActFrom(now); known && from.After(now) {
		idle = from.Sub(now)
	}
	free := h.pins.len() < h.Upstream.Batch && !h.pins.alone
	if free && idle == 0 {
		return queue.Occupancy{Free: true}
	}
	if free {
		return queue.Occupancy{NextPlace: idle}
	}
	return queue.Occupancy{NextPlace: idle + h.untilPlace(now)}
}

// longestUntilPlace stands for the time until a place is free when nothing is known of what runs, as all
// of it was granted by an older holder. No measured reason yet.
const longestUntilPlace = 10 * time.Second

// untilPlace is when the first of the running requests is expected to end. The mean time per request
// would do for equal ones; among short and long ones it promises places that eight long ones keep.
func (h *Holder) untilPlace(now time.Time) time.Duration {
	least := h.speed.usual / time.Duration(2*max(h.Upstream.Batch, 1)) // of one that runs longer than expected
	first := longestUntilPlace
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

// learning is the weight of the newest sample in a moving mean: about the last ten count. No measured
// reason yet.
const learning = 0.1

// speed is how fast the upstream works: moving means of the time per token of the expected cost and per
// request. The expected cost is the most a request may take, so fewer tokens come than it says; measured
// by it, that is made up for.
type speed struct {
	perToken time.Duration
	usual    time.Duration
}

func (s speed) with(took time.Duration, cost float64) speed {
	s.perToken = blend(s.perToken, time.Duration(float64(took)/max(cost, 1)))
	s.usual = blend(s.usual, took)
	return s
}

// work is how long a request of that cost is expected to occupy a place.
func (s speed) work(cost float64) time.Duration {
	return time.Duration(cost * float64(s.perToken))
}

func blend(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(learning*float64(sample-mean))
}

// ---------------------------------------------------------------------------------------------

// loaded notes, for those that wait for the version, how long they waited for the load.
func (h *Holder) loaded(now time.Time, ref model.Reference) {
	h.queue.Each(func(entry queue.Entry) {
		w := h.waiting.byID[entry.ID]
		if w.request.Model == ref && !w.loadSince.IsZero() {
			w.waitedLoad += now.Sub(w.loadSince)
			w.loadSince = time.Time{}
		}
	})
}
