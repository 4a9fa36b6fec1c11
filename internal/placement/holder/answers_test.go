package holder_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// harness simulates the environment of one holder and counts the answers to each request.
type harness struct {
	t              *rapid.T
	now            time.Time
	holder         *holder.Holder
	answers        map[string]int
	deadlines      map[string]time.Time
	cancelled      map[string]bool
	permitRequests []model.Reference
	orders         []model.Reference
	requests       int
	granted        int
}

func (h *harness) handle(event holder.Event) {
	for _, action := range h.holder.Handle(h.now, event) {
		switch a := action.(type) {
		case holder.Grant:
			h.granted++
			h.answers[a.Pin.RequestID]++
			if h.now.After(h.deadlines[a.Pin.RequestID]) {
				h.t.Fatalf("%s is granted after its deadline", a.Pin.RequestID)
			}
		case holder.Refuse:
			h.answers[a.RequestID]++
		case holder.RequestPermit:
			h.permitRequests = append(h.permitRequests, a.Model)
		case holder.OrderLoad:
			h.orders = append(h.orders, a.Load)
		}
	}
	if running := len(h.holder.Pins()); running > h.holder.Upstream.Batch {
		h.t.Fatalf("%d requests run in a batch of %d", running, h.holder.Upstream.Batch)
	}
}

func (h *harness) arrive() {
	h.requests++
	id := fmt.Sprint("r", h.requests)
	patience := time.Duration(rapid.IntRange(1, 8000).Draw(h.t, "patience")) * time.Millisecond
	h.deadlines[id] = h.now.Add(patience)
	h.handle(holder.Arrived{Request: holder.Request{
		ID: id, Instance: "i1", Incarnation: "x", Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(h.t, "workspace"),
		Weight: 1, Cost: float64(rapid.IntRange(1, 500).Draw(h.t, "cost")), Deadline: h.deadlines[id],
		Model: model.Reference{Adapter: fmt.Sprint("a", rapid.IntRange(1, 3).Draw(h.t, "adapter")), Version: "v1"},
		Alone: rapid.IntRange(0, 9).Draw(h.t, "alone") == 0, Apart: rapid.IntRange(0, 9).Draw(h.t, "apart") == 0,
	}})
}

func (h *harness) cancel() {
	id := fmt.Sprint("r", rapid.IntRange(1, h.requests+1).Draw(h.t, "cancelled"))
	if h.answers[id] == 0 {
		h.cancelled[id] = true
	}
	h.handle(holder.Cancelled{RequestID: id})
}

func (h *harness) release() {
	for _, pin := range h.holder.Pins() {
		h.handle(holder.Released{Pin: pin.ID, Tokens: 50, NotResident: rapid.IntRange(0, 9).Draw(h.t, "not resident") == 0})
		return
	}
}

func (h *harness) answerPermit() {
	if len(h.permitRequests) == 0 {
		return
	}
	ref := h.permitRequests[0]
	h.permitRequests = h.permitRequests[1:]
	switch rapid.IntRange(0, 3).Draw(h.t, "permit") {
	case 0: // the answer is lost
	case 1:
		h.handle(holder.PermitRefused{Model: ref, RetryAfter: time.Second})
	default:
		h.handle(holder.PermitGranted{Model: ref, UseWithin: time.Second})
	}
}

func (h *harness) answerOrder() {
	if len(h.orders) == 0 {
		return
	}
	ref := h.orders[0]
	h.orders = h.orders[1:]
	cause := rapid.SampledFrom([]holder.Cause{"", "", holder.CauseWeightStore, holder.CauseNoSlot, holder.CauseInUse, holder.CauseUpstream}).Draw(h.t, "cause")
	if cause == "" {
		h.handle(holder.LoadDone{Load: ref})
		return
	}
	h.handle(holder.LoadFailed{Load: ref, Cause: cause, Evicted: rapid.Bool().Draw(h.t, "evicted")})
}

func (h *harness) advanceClock() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(h.t, "ms")) * time.Millisecond)
	h.handle(holder.Tick{})
}

func (h *harness) injectFault() {
	up := rapid.IntRange(0, 3).Draw(h.t, "up") > 0
	switch rapid.IntRange(0, 15).Draw(h.t, "disturbance") {
	case 0:
		h.handle(holder.UpstreamHealth{Healthy: up})
	case 1:
		h.handle(holder.UpstreamLeaving{Leaving: !up})
	case 2:
		h.handle(holder.UpstreamRestarted{Incarnation: fmt.Sprint(h.requests)})
	case 3:
		h.handle(holder.Reported{Incarnation: fmt.Sprint(h.requests), Age: time.Second})
	}
}

// If the holder loses a request, its caller waits until the deadline and gets no answer. A request that is
// answered twice may run twice. Whatever fails around the holder, each request must be granted or refused
// exactly once, by its deadline, and no more requests may run than the batch holds.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{
			t: t, now: time.Unix(0, 0), holder: newHolder(true),
			answers: map[string]int{}, deadlines: map[string]time.Time{}, cancelled: map[string]bool{},
		}
		h.holder.Upstream.Batch = 2
		h.handle(holder.Appointed{Epoch: 5, Members: []string{"i1"}})
		h.handle(holder.EpochInForce{Epoch: 5})
		h.handle(holder.FenceNoted{Fence: 5})
		h.handle(holder.PinsReported{Instance: "i1", Epoch: 5})
		h.handle(holder.Reported{Incarnation: "a"})
		step := func(do func()) func(*rapid.T) { return func(*rapid.T) { do() } }
		steps := map[string]func(*rapid.T){
			"arrive": step(h.arrive), "arrive more": step(h.arrive), "cancel": step(h.cancel), "release": step(h.release),
			"answer permit": step(h.answerPermit), "answer order": step(h.answerOrder), "wait": step(h.advanceClock), "disturb": step(h.injectFault),
		}
		for range simulationRounds {
			t.Repeat(steps)
		}
		h.now = h.now.Add(10 * time.Second)
		h.handle(holder.Tick{})
		for id := range h.deadlines {
			if h.cancelled[id] && h.answers[id] == 0 {
				continue
			}
			if h.answers[id] != 1 {
				t.Fatalf("%s was answered %d times", id, h.answers[id])
			}
		}
		granted += h.granted
	})
	if granted == 0 {
		t.Fatal("no request was granted in any sequence")
	}
}
