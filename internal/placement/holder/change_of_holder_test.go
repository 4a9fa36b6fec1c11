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

// simulation simulates an engine, the instances that hold it in turn, and the messages in flight between
// them, which arrive in any order. It records which requests the engine runs.
type simulation struct {
	t                *rapid.T
	now              time.Time
	checksFencing    bool
	engine           map[model.Reference]bool
	fence            int64
	inFlight         map[string]holder.Pin
	holders          map[string]*holder.Holder
	epoch            int64
	currentHolder    string
	acting           map[string]bool
	orders           []sentOrder
	grants           []holder.Grant
	reportedEpoch    map[string]int64
	reportMadeAt     time.Time
	reportedResident []model.Reference
	reportedRunning  []model.Reference
	requests         int
	evicted          int
	granted          int
	orphans          int
}

// sentOrder is an order in flight; the engine executes it, or its sender gives up on it.
type sentOrder struct {
	from  string
	order holder.OrderLoad
	at    time.Time
}

const simulatedSlots = 3

// failedInstance is the owner of the requests of failed instances, which continue to run at the engine.
const failedInstance = "dead"

// simulationRounds is how many sequences of about thirty steps are drawn in one simulation.
const simulationRounds = 8

var simulatedInstances = []string{"i1", "i2"}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(0, 0), checksFencing: rapid.Bool().Draw(t, "checks fencing"),
		engine: map[model.Reference]bool{}, inFlight: map[string]holder.Pin{},
		holders: map[string]*holder.Holder{}, acting: map[string]bool{}, reportedEpoch: map[string]int64{},
	}
	for _, name := range simulatedInstances {
		s.holders[name] = s.newHolder()
	}
	s.appoint("i1")
	s.deliverAll()
	return s
}

func (s *simulation) newHolder() *holder.Holder {
	return &holder.Holder{
		Upstream: resource.Upstream{Meta: resource.Meta{Name: "u"}, Slots: simulatedSlots, Batch: 4, ChecksFencing: s.checksFencing},
		Settings: holder.DefaultSettings(),
	}
}

// deliverAll delivers all messages about the holder change, as happens most of the time.
func (s *simulation) deliverAll() {
	s.inForce()
	s.noteFence()
	for _, name := range simulatedInstances {
		s.reportPins(name)
	}
	s.report()
}

func (s *simulation) handle(name string, event holder.Event) {
	for _, action := range s.holders[name].Handle(s.now, event) {
		switch a := action.(type) {
		case holder.OrderLoad:
			s.orders = append(s.orders, sentOrder{from: name, order: a, at: s.now})
		case holder.Grant:
			s.grants = append(s.grants, a)
		case holder.RequestPermit:
			s.handle(name, holder.PermitGranted{Model: a.Model, UseWithin: time.Second})
		}
	}
}

func (s *simulation) appoint(name string) {
	s.epoch++
	s.currentHolder = name
	s.acting[name] = true
	s.handle(name, holder.Appointed{Epoch: s.epoch, Members: []string{"i1", "i2"}})
}

// changeHolder makes the other instance the holder; the previous holder is notified later.
func (s *simulation) changeHolder() {
	if len(s.acting) > 1 {
		return
	}
	next := map[string]string{"i1": "i2", "i2": "i1"}[s.currentHolder]
	s.appoint(next)
}

// inForce stops the previous holder, which has been notified or whose freshness bound has expired, and then notifies
// the new one.
func (s *simulation) inForce() {
	for _, name := range simulatedInstances {
		if s.acting[name] && name != s.currentHolder {
			delete(s.acting, name)
			s.handle(name, holder.Yielded{})
		}
	}
	s.handle(s.currentHolder, holder.EpochInForce{Epoch: s.epoch})
}

// noteFence delivers the holder's fencing order to an engine that checks fencing.
func (s *simulation) noteFence() {
	if !s.checksFencing || len(s.acting) > 1 {
		return
	}
	s.fence = s.epoch
	s.handle(s.currentHolder, holder.FenceNoted{Fence: s.epoch})
}

// reportPins reports an instance's pins; from then on the instance accepts no grant of an older epoch.
func (s *simulation) reportPins(name string) {
	var pins []holder.Pin
	for _, pin := range s.inFlight {
		if pin.Instance == name {
			pins = append(pins, pin)
		}
	}
	s.reportedEpoch[name] = s.epoch
	s.handle(s.currentHolder, holder.PinsReported{Instance: name, Epoch: s.epoch, Pins: pins})
}

func (s *simulation) arrive() {
	s.requests++
	name := rapid.SampledFrom(simulatedInstances).Draw(s.t, "sender")
	ref := model.Reference{Adapter: fmt.Sprint("a", rapid.IntRange(1, 6).Draw(s.t, "adapter")), Version: "v1"}
	request := holder.Request{
		ID: fmt.Sprint("r", s.requests), Instance: name, Incarnation: "1", Workspace: "w", Weight: 1,
		Model: ref, Cost: 10, Deadline: s.now.Add(20 * time.Second),
	}
	s.handle(rapid.SampledFrom(s.actingInstances()).Draw(s.t, "recipient"), holder.Arrived{Request: request})
}

// actingInstances returns the instances that act as the holder.
func (s *simulation) actingInstances() (names []string) {
	for _, name := range simulatedInstances {
		if s.acting[name] {
			names = append(names, name)
		}
	}
	return names
}

// crash stops and restarts an instance while the engine continues to run its requests. If the instance was the
// holder, the other one becomes the holder, without the failed instance's pins. Otherwise the holder cancels the
// instance's streams before it drops their pins.
func (s *simulation) crash(name string) {
	if len(s.acting) > 1 {
		return
	}
	s.grants = slices.DeleteFunc(s.grants, func(g holder.Grant) bool { return g.Pin.Instance == name })
	wasHolder := s.currentHolder == name
	for id, pin := range s.inFlight {
		if pin.Instance != name {
			continue
		}
		if !wasHolder {
			delete(s.inFlight, id)
			continue
		}
		pin.Instance = failedInstance
		s.inFlight[id] = pin
		s.orphans++
	}
	if !wasHolder {
		s.handle(s.currentHolder, holder.InstanceStopped{Instance: name, Incarnation: "1"})
		return
	}
	delete(s.acting, name)
	s.holders[name] = s.newHolder()
	s.changeHolder()
}

// endOrphan ends a request of a failed instance at the engine; no instance is notified.
func (s *simulation) endOrphan() {
	for _, id := range slices.Sorted(maps.Keys(s.inFlight)) {
		if s.inFlight[id].Instance == failedInstance {
			delete(s.inFlight, id)
			return
		}
	}
}

// run delivers a grant: the instance sends the request, unless it has reported its pins to a newer holder since. The
// engine runs the request if the version is loaded.
func (s *simulation) run() {
	if len(s.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.grants)-1).Draw(s.t, "grant")
	pin := s.grants[i].Pin
	s.grants = append(s.grants[:i], s.grants[i+1:]...)
	epoch := int64(0)
	if _, err := fmt.Sscanf(pin.ID, "u/%d/", &epoch); err != nil {
		s.t.Fatal(err)
	}
	if epoch < s.reportedEpoch[pin.Instance] {
		return
	}
	if !s.engine[pin.Model] {
		s.handle(s.currentHolder, holder.Released{Pin: pin.ID, NotResident: true})
		return
	}
	s.granted++
	s.inFlight[pin.ID] = pin
}

func (s *simulation) finish() {
	for _, pin := range s.holders[s.currentHolder].Pins() {
		if _, running := s.inFlight[pin.ID]; running {
			delete(s.inFlight, pin.ID)
			s.handle(s.currentHolder, holder.Released{Pin: pin.ID, Tokens: 10})
			return
		}
	}
}

// execute delivers an order to the engine.
func (s *simulation) execute() {
	if len(s.orders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.orders)-1).Draw(s.t, "order")
	sent := s.orders[i]
	s.orders = append(s.orders[:i], s.orders[i+1:]...)
	if s.checksFencing && sent.order.Fence < s.fence {
		s.handle(sent.from, holder.LoadFailed{Load: sent.order.Load, Cause: holder.CauseStaleFence})
		return
	}
	if s.checksFencing {
		s.fence = sent.order.Fence
	}
	for _, pin := range s.inFlight {
		if pin.Model == sent.order.Evict {
			s.t.Fatalf("%s evicts %s, which serves %s", sent.from, sent.order.Evict, pin.RequestID)
		}
	}
	if s.engine[sent.order.Evict] {
		s.evicted++
	}
	delete(s.engine, sent.order.Evict)
	if len(s.engine) >= simulatedSlots {
		s.handle(sent.from, holder.LoadFailed{Load: sent.order.Load, Evicted: true, Cause: holder.CauseNoSlot})
		return
	}
	s.engine[sent.order.Load] = true
	if rapid.Bool().Draw(s.t, "answer lost") {
		s.handle(sent.from, holder.LoadFailed{Load: sent.order.Load, Cause: holder.CauseUpstream})
		return
	}
	s.handle(sent.from, holder.LoadDone{Load: sent.order.Load})
}

// report delivers a current report to the holder. makeReport only stores one, to be delivered later.
func (s *simulation) report() {
	s.makeReport()
	s.deliverReport()
}

func (s *simulation) makeReport() {
	s.reportMadeAt = s.now
	s.reportedResident, s.reportedRunning = nil, nil
	for ref := range s.engine {
		s.reportedResident = append(s.reportedResident, ref)
	}
	for _, pin := range s.inFlight {
		s.reportedRunning = append(s.reportedRunning, pin.Model)
	}
}

func (s *simulation) deliverReport() {
	s.handle(s.currentHolder, holder.Reported{Incarnation: "a", Resident: s.reportedResident, Running: s.reportedRunning, Age: s.now.Sub(s.reportMadeAt)})
}

// advanceClock advances the clock; senders give up on orders that exceed the timeout.
func (s *simulation) advanceClock() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond)
	var kept []sentOrder
	sentOrders := s.orders
	s.orders = nil
	for _, sent := range sentOrders {
		if s.now.Sub(sent.at) < holder.DefaultSettings().OrderTimeout {
			kept = append(kept, sent)
		} else {
			s.handle(sent.from, holder.LoadFailed{Load: sent.order.Load, Cause: holder.CauseUpstream})
		}
	}
	s.orders = append(kept, s.orders...)
	for _, name := range s.actingInstances() {
		s.handle(name, holder.Tick{})
	}
}

// The holder of an upstream changes, as planned or because it failed with its own requests running, while its orders
// and grants are still in flight, at engines with and without fencing checks. If a new holder acted too early, or
// evicted without knowing which requests still run, a caller's stream would be aborted or continue with the wrong
// weights.
func TestChangeOfHolderEvictsNothingThatServes(t *testing.T) {
	evicted, granted, orphans := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		step := func(do func()) func(*rapid.T) { return func(*rapid.T) { do() } }
		crash := func() { s.crash(rapid.SampledFrom(simulatedInstances).Draw(t, "crashed")) }
		reportPins := func() { s.reportPins(rapid.SampledFrom(simulatedInstances).Draw(t, "member")) }
		steps := map[string]func(*rapid.T){
			"arrive": step(s.arrive), "arrive more": step(s.arrive), "run": step(s.run), "run more": step(s.run),
			"finish": step(s.finish), "execute": step(s.execute), "execute more": step(s.execute),
			"make report": step(s.makeReport), "deliver report": step(s.deliverReport), "wait": step(s.advanceClock), "change": step(s.changeHolder), "in force": step(s.inForce),
			"note fence": step(s.noteFence), "report pins": step(reportPins), "crash": step(crash), "end orphan": step(s.endOrphan), "deliver all": step(s.deliverAll),
		}
		for range simulationRounds {
			t.Repeat(steps)
		}
		evicted += s.evicted
		granted += s.granted
		orphans += s.orphans
	})
	if evicted == 0 || granted == 0 || orphans == 0 {
		t.Fatalf("the sequences covered too little: %d evictions, %d runs, %d orphans", evicted, granted, orphans)
	}
	t.Logf("%d evictions, %d runs, %d orphans", evicted, granted, orphans)
}
