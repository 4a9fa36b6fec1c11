package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// waiting.go keeps what the holder knows of the requests in its queue.

// waiter is a request in the queue. loadSince is when it began to wait for a load, zero if it did not.
type waiter struct {
	request    Request
	arrived    time.Time
	loadSince  time.Time
	waitedLoad time.Duration
}

// waited is how long the waiter has waited for a load and, apart from that, in the queue.
func (w *waiter) waited(now time.Time) (load, queue time.Duration) {
	load = w.waitedLoad
	if !w.loadSince.IsZero() {
		load += now.Sub(w.loadSince)
	}
	return load, now.Sub(w.arrived) - load
}

// waiting holds the waiters by request, and how many wait for each version.
type waiting struct {
	byID   map[string]*waiter
	perRef map[model.Reference]int
}

func newWaiting() waiting {
	return waiting{byID: make(map[string]*waiter), perRef: make(map[model.Reference]int)}
}

func (ws *waiting) add(w *waiter) {
	ws.byID[w.request.ID] = w
	ws.perRef[w.request.Model]++
}

// remove takes a waiter out; it returns nil if there is none.
func (ws *waiting) remove(id string) *waiter {
	w := ws.byID[id]
	if w == nil {
		return nil
	}
	delete(ws.byID, id)
	ws.perRef[w.request.Model]--
	if ws.perRef[w.request.Model] == 0 {
		delete(ws.perRef, w.request.Model)
	}
	return w
}

// awaitsLoad tells whether anybody waits for a version that is not loaded. It saves a walk through the
// queue for each event of a busy upstream that has all that it needs.
func (h *Holder) awaitsLoad() bool {
	for ref := range h.waiting.perRef {
		if !h.residency.has(ref) {
			return true
		}
	}
	return false
}
