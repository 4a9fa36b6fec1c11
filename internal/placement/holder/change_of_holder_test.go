package holder_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// world is an engine, the instances that take turns at holding it, and the messages under way between
// them, which arrive in any order. It keeps a plain record of what the engine runs.
type world struct {
	t       *rapid.T
	now     time.Time
	checks  bool
	engine  map[model.Reference]bool
	fence   int64
	runs    map[string]holder.Pin
	holders map[string]*holder.Holder
	epoch   int64
	holding string
	acting  map[string]bool
	orders  []sentOrder
	grants  []holder.Grant
	told    map[string]int64
	made    time.Time
	listed  []model.Reference
	running []model.Reference
	number  int
	evicted int
	granted int
	orphans int
}

// sentOrder is an order on its way; the engine executes it or its sender gives it up.
type sentOrder struct {
	from  string
	order holder.OrderLoad
	at    time.Time
}

const worldSlots = 3

// dead stands for the instances that died: their requests run on at the engine.
const dead = "dead"

// worldRounds is how often a sequence of some thirty steps is drawn in one world.
const worldRounds = 8

var worldInstances = []string{"i1", "i2"}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(0, 0), checks: rapid.Bool().Draw(t, "checks fencing"),
		engine: map[model.Reference]bool{}, runs: map[string]holder.Pin{},
		holders: map[string]*holder.Holder{}, acting: map[string]bool{}, told: map[string]int64{},
	}
	for _, name := range worldInstances {
		w.holders[name] = w.newHolder()
	}
	w.appoint("i1")
	w.settleDown()
	return w
}

func (w *world) newHolder() *holder.Holder {
	return &holder.Holder{
		Upstream: resource.Upstream{Meta: resource.Meta{Name: "u"}, Slots: worldSlots, Batch: 4, ChecksFencing: w.checks},
		Settings: holder.DefaultSettings(),
	}
}

// settleDown lets all messages about the holder arrive, as they do most of the time.
func (w *world) settleDown() {
	w.inForce()
	w.noteFence()
	for _, name := range worldInstances {
		w.tellPins(name)
	}
	w.report()
}

func (w *world) tell(name string, event holder.Event) {
	for _, action := range w.holders[name].Handle(w.now, event) {
		switch a := action.(type) {
		case holder.OrderLoad:
			w.orders = append(w.orders, sentOrder{from: name, order: a, at: w.now})
		case holder.Grant:
			w.grants = append(w.grants, a)
		case holder.AskPermit:
			w.tell(name, holder.PermitGranted{Model: a.Model, UseWithin: time.Second})
		}
	}
}

func (w *world) appoint(name string) {
	w.epoch++
	w.holding = name
	w.acting[name] = true
	w.tell(name, holder.Appointed{Epoch: w.epoch, Members: []string{"i1", "i2"}})
}

// change makes the other instance the holder; the old one learns of it later.
func (w *world) change() {
	if len(w.acting) > 1 {
		return
	}
	next := map[string]string{"i1": "i2", "i2": "i1"}[w.holding]
	w.appoint(next)
}

// inForce stops the old holder, by its own knowledge or because its knowledge has run out, and only
// then tells the new one.
func (w *world) inForce() {
	for _, name := range worldInstances {
		if w.acting[name] && name != w.holding {
			delete(w.acting, name)
			w.tell(name, holder.Yielded{})
		}
	}
	w.tell(w.holding, holder.EpochInForce{Epoch: w.epoch})
}

// noteFence lets the holder's note reach an engine that checks.
func (w *world) noteFence() {
	if !w.checks || len(w.acting) > 1 {
		return
	}
	w.fence = w.epoch
	w.tell(w.holding, holder.FenceNoted{Fence: w.epoch})
}

// tellPins lists what an instance runs; from then on it takes no grant of an older epoch.
func (w *world) tellPins(name string) {
	var pins []holder.Pin
	for _, pin := range w.runs {
		if pin.Instance == name {
			pins = append(pins, pin)
		}
	}
	w.told[name] = w.epoch
	w.tell(w.holding, holder.PinsTold{Instance: name, Epoch: w.epoch, Pins: pins})
}

func (w *world) arrive() {
	w.number++
	name := rapid.SampledFrom(worldInstances).Draw(w.t, "asker")
	ref := model.Reference{Adapter: fmt.Sprint("a", rapid.IntRange(1, 6).Draw(w.t, "adapter")), Version: "v1"}
	request := holder.Request{
		ID: fmt.Sprint("r", w.number), Instance: name, Incarnation: "1", Workspace: "w", Weight: 1,
		Model: ref, Cost: 10, Deadline: w.now.Add(20 * time.Second),
	}
	w.tell(rapid.SampledFrom(w.actors()).Draw(w.t, "asked"), holder.Arrived{Request: request})
}

// actors are the instances that believe to be the holder.
func (w *world) actors() (names []string) {
	for _, name := range worldInstances {
		if w.acting[name] {
			names = append(names, name)
		}
	}
	return names
}

// crash kills an instance, while the engine runs on with its requests, and starts it again. If it held the
// upstream, the other one does from now on, and knows nothing of the dead one's pins. Otherwise the
// holder cancels the streams it knows of before it forgets their pins.
func (w *world) crash(name string) {
	if len(w.acting) > 1 {
		return
	}
	w.grants = slices.DeleteFunc(w.grants, func(g holder.Grant) bool { return g.Pin.Instance == name })
	held := w.holding == name
	for id, pin := range w.runs {
		if pin.Instance != name {
			continue
		}
		if !held {
			delete(w.runs, id)
			continue
		}
		pin.Instance = dead
		w.runs[id] = pin
		w.orphans++
	}
	if !held {
		w.tell(w.holding, holder.InstanceGone{Instance: name, Incarnation: "1"})
		return
	}
	delete(w.acting, name)
	w.holders[name] = w.newHolder()
	w.change()
}

// endOrphan ends a request of a dead instance at the engine; nobody hears of it.
func (w *world) endOrphan() {
	for _, id := range slices.Sorted(maps.Keys(w.runs)) {
		if w.runs[id].Instance == dead {
			delete(w.runs, id)
			return
		}
	}
}

// run lets a grant arrive: the instance sends the request, unless it has told its pins to a newer
// holder since; the engine runs it if the version is loaded.
func (w *world) run() {
	if len(w.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.grants)-1).Draw(w.t, "grant")
	pin := w.grants[i].Pin
	w.grants = append(w.grants[:i], w.grants[i+1:]...)
	epoch := int64(0)
	if _, err := fmt.Sscanf(pin.ID, "u/%d/", &epoch); err != nil {
		w.t.Fatal(err)
	}
	if epoch < w.told[pin.Instance] {
		return
	}
	if !w.engine[pin.Model] {
		w.tell(w.holding, holder.Released{Pin: pin.ID, NotResident: true})
		return
	}
	w.granted++
	w.runs[pin.ID] = pin
}

func (w *world) finish() {
	for _, pin := range w.holders[w.holding].Pins() {
		if _, running := w.runs[pin.ID]; running {
			delete(w.runs, pin.ID)
			w.tell(w.holding, holder.Released{Pin: pin.ID, Tokens: 10})
			return
		}
	}
}

// execute lets an order arrive at the engine.
func (w *world) execute() {
	if len(w.orders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.orders)-1).Draw(w.t, "order")
	sent := w.orders[i]
	w.orders = append(w.orders[:i], w.orders[i+1:]...)
	if w.checks && sent.order.Fence < w.fence {
		w.tell(sent.from, holder.LoadFailed{Load: sent.order.Load, Cause: holder.CauseStaleFence})
		return
	}
	if w.checks {
		w.fence = sent.order.Fence
	}
	for _, pin := range w.runs {
		if pin.Model == sent.order.Evict {
			w.t.Fatalf("%s evicts %s, which serves %s", sent.from, sent.order.Evict, pin.RequestID)
		}
	}
	if w.engine[sent.order.Evict] {
		w.evicted++
	}
	delete(w.engine, sent.order.Evict)
	if len(w.engine) >= worldSlots {
		w.tell(sent.from, holder.LoadFailed{Load: sent.order.Load, Evicted: true, Cause: holder.CauseNoSlot})
		return
	}
	w.engine[sent.order.Load] = true
	if rapid.Bool().Draw(w.t, "answer lost") {
		w.tell(sent.from, holder.LoadFailed{Load: sent.order.Load, Cause: holder.CauseUpstream})
		return
	}
	w.tell(sent.from, holder.LoadDone{Load: sent.order.Load})
}

// report lets the holder know what is loaded now; makeReport keeps it to be heard of later.
func (w *world) report() {
	w.makeReport()
	w.hearReport()
}

func (w *world) makeReport() {
	w.made = w.now
	w.listed, w.running = nil, nil
	for ref := range w.engine {
		w.listed = append(w.listed, ref)
	}
	for _, pin := range w.runs {
		w.running = append(w.running, pin.Model)
	}
}

func (w *world) hearReport() {
	w.tell(w.holding, holder.Reported{Incarnation: "a", Resident: w.listed, Running: w.running, Age: w.now.Sub(w.made)})
}

// wait lets time pass; orders that took too long are given up.
func (w *world) wait() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
	var kept []sentOrder
	under := w.orders
	w.orders = nil
	for _, sent := range under {
		if w.now.Sub(sent.at) < holder.DefaultSettings().LongestOrder {
			kept = append(kept, sent)
		} else {
			w.tell(sent.from, holder.LoadFailed{Load: sent.order.Load, Cause: holder.CauseUpstream})
		}
	}
	w.orders = append(kept, w.orders...)
	for _, name := range w.actors() {
		w.tell(name, holder.Tick{})
	}
}

// The holder of an upstream changes, in order or because it died with requests of its own under way, while
// its orders and grants are still on their way, at engines that check fencing and at ones that do not. If a new holder acted too early, or evicted without knowing
// what still runs, a caller's stream would break off or go on with the wrong weights.
func TestChangeOfHolderEvictsNothingThatServes(t *testing.T) {
	evicted, granted, orphans := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		step := func(do func()) func(*rapid.T) { return func(*rapid.T) { do() } }
		crash := func() { w.crash(rapid.SampledFrom(worldInstances).Draw(t, "crashed")) }
		tellPins := func() { w.tellPins(rapid.SampledFrom(worldInstances).Draw(t, "teller")) }
		steps := map[string]func(*rapid.T){
			"arrive": step(w.arrive), "arrive more": step(w.arrive), "run": step(w.run), "run more": step(w.run),
			"finish": step(w.finish), "execute": step(w.execute), "execute more": step(w.execute),
			"make report": step(w.makeReport), "hear report": step(w.hearReport), "wait": step(w.wait), "change": step(w.change), "in force": step(w.inForce),
			"note fence": step(w.noteFence), "tell pins": step(tellPins), "crash": step(crash), "end orphan": step(w.endOrphan), "settle down": step(w.settleDown),
		}
		for range worldRounds {
			t.Repeat(steps)
		}
		evicted += w.evicted
		granted += w.granted
		orphans += w.orphans
	})
	if evicted == 0 || granted == 0 || orphans == 0 {
		t.Fatalf("nothing was tried: %d evictions, %d runs, %d orphans", evicted, granted, orphans)
	}
	t.Logf("%d evictions, %d runs, %d orphans", evicted, granted, orphans)
}
