package holder_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// desk plays everything around one holder and notes what each request was told.
type desk struct {
	t         *rapid.T
	now       time.Time
	holder    *holder.Holder
	answers   map[string]int
	deadlines map[string]time.Time
	cancelled map[string]bool
	permits   []model.Reference
	orders    []model.Reference
	number    int
	granted   int
}

func (d *desk) tell(event holder.Event) {
	for _, action := range d.holder.Handle(d.now, event) {
		switch a := action.(type) {
		case holder.Grant:
			d.granted++
			d.answers[a.Pin.RequestID]++
			if d.now.After(d.deadlines[a.Pin.RequestID]) {
				d.t.Fatalf("%s is granted after its deadline", a.Pin.RequestID)
			}
		case holder.Refuse:
			d.answers[a.RequestID]++
		case holder.AskPermit:
			d.permits = append(d.permits, a.Model)
		case holder.OrderLoad:
			d.orders = append(d.orders, a.Load)
		}
	}
	if running := len(d.holder.Pins()); running > d.holder.Upstream.Batch {
		d.t.Fatalf("%d requests run in a batch of %d", running, d.holder.Upstream.Batch)
	}
}

func (d *desk) arrive() {
	d.number++
	id := fmt.Sprint("r", d.number)
	patience := time.Duration(rapid.IntRange(1, 8000).Draw(d.t, "patience")) * time.Millisecond
	d.deadlines[id] = d.now.Add(patience)
	d.tell(holder.Arrived{Request: holder.Request{
		ID: id, Instance: "i1", Incarnation: "x", Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(d.t, "workspace"),
		Weight: 1, Cost: float64(rapid.IntRange(1, 500).Draw(d.t, "cost")), Deadline: d.deadlines[id],
		Model: model.Reference{Adapter: fmt.Sprint("a", rapid.IntRange(1, 3).Draw(d.t, "adapter")), Version: "v1"},
		Alone: rapid.IntRange(0, 9).Draw(d.t, "alone") == 0, Apart: rapid.IntRange(0, 9).Draw(d.t, "apart") == 0,
	}})
}

func (d *desk) cancel() {
	id := fmt.Sprint("r", rapid.IntRange(1, d.number+1).Draw(d.t, "cancelled"))
	if d.answers[id] == 0 {
		d.cancelled[id] = true
	}
	d.tell(holder.Cancelled{RequestID: id})
}

func (d *desk) release() {
	for _, pin := range d.holder.Pins() {
		d.tell(holder.Released{Pin: pin.ID, Tokens: 50, NotResident: rapid.IntRange(0, 9).Draw(d.t, "not resident") == 0})
		return
	}
}

func (d *desk) answerPermit() {
	if len(d.permits) == 0 {
		return
	}
	ref := d.permits[0]
	d.permits = d.permits[1:]
	switch rapid.IntRange(0, 3).Draw(d.t, "permit") {
	case 0: // lost
	case 1:
		d.tell(holder.PermitRefused{Model: ref, RetryAfter: time.Second})
	default:
		d.tell(holder.PermitGranted{Model: ref, UseWithin: time.Second})
	}
}

func (d *desk) answerOrder() {
	if len(d.orders) == 0 {
		return
	}
	ref := d.orders[0]
	d.orders = d.orders[1:]
	cause := rapid.SampledFrom([]holder.Cause{"", "", holder.CauseWeightStore, holder.CauseNoSlot, holder.CauseInUse, holder.CauseUpstream}).Draw(d.t, "cause")
	if cause == "" {
		d.tell(holder.LoadDone{Load: ref})
		return
	}
	d.tell(holder.LoadFailed{Load: ref, Cause: cause, Evicted: rapid.Bool().Draw(d.t, "evicted")})
}

func (d *desk) wait() {
	d.now = d.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(d.t, "ms")) * time.Millisecond)
	d.tell(holder.Tick{})
}

func (d *desk) disturb() {
	up := rapid.IntRange(0, 3).Draw(d.t, "up") > 0
	switch rapid.IntRange(0, 15).Draw(d.t, "disturbance") {
	case 0:
		d.tell(holder.UpstreamHealth{Healthy: up})
	case 1:
		d.tell(holder.UpstreamLeaving{Leaving: !up})
	case 2:
		d.tell(holder.UpstreamRestarted{Incarnation: fmt.Sprint(d.number)})
	case 3:
		d.tell(holder.Reported{Incarnation: fmt.Sprint(d.number), Age: time.Second})
	}
}

// A caller whose request the holder forgets waits for its whole patience and gets no answer; one that is
// answered twice may be run twice. Whatever fails around the holder, each request is granted or refused
// exactly once, by its deadline, and never more run than the batch holds.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		d := &desk{
			t: t, now: time.Unix(0, 0), holder: newHolder(true),
			answers: map[string]int{}, deadlines: map[string]time.Time{}, cancelled: map[string]bool{},
		}
		d.holder.Upstream.Batch = 2
		d.tell(holder.Appointed{Epoch: 5, Members: []string{"i1"}})
		d.tell(holder.EpochInForce{Epoch: 5})
		d.tell(holder.FenceNoted{Fence: 5})
		d.tell(holder.PinsTold{Instance: "i1", Epoch: 5})
		d.tell(holder.Reported{Incarnation: "a"})
		step := func(do func()) func(*rapid.T) { return func(*rapid.T) { do() } }
		steps := map[string]func(*rapid.T){
			"arrive": step(d.arrive), "arrive more": step(d.arrive), "cancel": step(d.cancel), "release": step(d.release),
			"answer permit": step(d.answerPermit), "answer order": step(d.answerOrder), "wait": step(d.wait), "disturb": step(d.disturb),
		}
		for range worldRounds {
			t.Repeat(steps)
		}
		d.now = d.now.Add(10 * time.Second)
		d.tell(holder.Tick{})
		for id := range d.deadlines {
			if d.cancelled[id] && d.answers[id] == 0 {
				continue
			}
			if d.answers[id] != 1 {
				t.Fatalf("%s was answered %d times", id, d.answers[id])
			}
		}
		granted += d.granted
	})
	if granted == 0 {
		t.Fatal("nothing was granted in any sequence")
	}
}
