package holder

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// waiters.go tracks the requests in the holder's queue.

// waiter is a request in the queue. loadSince is when it started to wait for a load; zero if it does not wait for one.
type waiter struct {
	request    Request
	arrived    time.Time
	loadSince  time.Time
	waitedLoad time.Duration
}

// waited returns how long the waiter has waited for a load, and the rest of its time in the queue.
func (w *waiter) waited(now time.Time) (load, queue time.Duration) {
	load = w.waitedLoad
	if !w.loadSince.IsZero() {
		load += now.Sub(w.loadSince)
	}
	return load, now.Sub(w.arrived) - load
}

// waiting indexes the waiters by request ID and counts them by version.
type waiting struct {
	byID       map[string]*waiter
	perVersion map[model.Reference]int
}

func newWaiting() waiting {
	return waiting{byID: make(map[string]*waiter), perVersion: make(map[model.Reference]int)}
}

func (ws *waiting) add(w *waiter) {
	ws.byID[w.request.ID] = w
	ws.perVersion[w.request.Model]++
}

// remove removes and returns a waiter; nil if there is none.
func (ws *waiting) remove(id string) *waiter {
	w := ws.byID[id]
	if w == nil {
		return nil
	}
	delete(ws.byID, id)
	ws.perVersion[w.request.Model]--
	if ws.perVersion[w.request.Model] == 0 {
		delete(ws.perVersion, w.request.Model)
	}
	return w
}

// awaitsLoad reports whether any request waits for a version that is not loaded. It avoids a scan of the queue for
// each event of a busy upstream that has all requested versions loaded.
func (h *Holder) awaitsLoad() bool {
	for ref := range h.waiting.perVersion {
		if !h.residency.has(ref) {
			return true
		}
	}
	return false
}
