package residence_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/proof/bubble"
)

const model = "base"

func adapter(name string) traffic.Adapter { return traffic.Adapter{Model: model, Name: name} }

// engine simulates an upstream: it counts accepted orders, takes some time to load, and may execute an order late or
// lose its answer.
type engine struct {
	adapterSlots int
	sequence     int64
	loaded       map[string]int64
	loading      map[string]time.Time
	delayed      []delayedOrder
	inUse        map[string]bool
	newest       map[string]int64
	faults       []string
	// fence is the current holder's fencing token, highestFence the highest one received with an order.
	fence, highestFence int
	// shownAt is when a report first lists a loaded adapter: reports lag.
	shownAt map[string]time.Time
}

type delayedOrder struct {
	at    time.Time
	order residence.Order
	fence int
}

func newEngine(adapterSlots int) *engine {
	return &engine{
		adapterSlots: adapterSlots, loaded: map[string]int64{}, loading: map[string]time.Time{},
		inUse: map[string]bool{}, newest: map[string]int64{}, shownAt: map[string]time.Time{},
	}
}

const (
	loadTime = 250 * time.Millisecond
	// reportDelay is the delay until a report lists a finished load as loaded. The load leaves the list of pending
	// loads without delay.
	reportDelay = 200 * time.Millisecond
)

// settle finishes loads and executes the late orders that are due.
func (e *engine) settle() {
	for name, done := range e.loading {
		if !time.Now().Before(done) {
			delete(e.loading, name)
			e.loaded[name] = max(e.newest[name], 1)
			e.shownAt[name] = done.Add(reportDelay)
		}
	}
	kept := e.delayed[:0]
	for _, late := range e.delayed {
		if time.Now().Before(late.at) {
			kept = append(kept, late)
			continue
		}
		e.order(late.order, late.fence)
	}
	e.delayed = kept
}

func (e *engine) order(order residence.Order, fence int) residence.Outcome {
	if fence < e.highestFence {
		return residence.Fenced
	}
	e.highestFence = fence
	name := order.Adapter.Name
	if _, pending := e.loading[name]; pending && !order.Unload {
		return residence.Accepted
	}
	version, isLoaded := e.loaded[name]
	if !order.Unload && isLoaded && (order.Version == 0 || version >= order.Version) {
		return residence.AlreadyDone
	}
	if order.Sequence != e.sequence {
		return residence.Conflict
	}
	e.sequence++
	if order.Unload {
		if e.inUse[name] && fence < e.fence {
			return residence.Accepted // an earlier holder's order; the engine delays it until the adapter's requests have ended
		}
		if e.inUse[name] {
			e.faults = append(e.faults, name+" was evicted while in use")
		}
		delete(e.loaded, name)
		return residence.AlreadyDone
	}
	e.loading[name] = time.Now().Add(loadTime)
	delete(e.loaded, name)
	if len(e.loaded)+len(e.loading) > e.adapterSlots {
		e.faults = append(e.faults, fmt.Sprintf("%d adapters in %d adapter slots", len(e.loaded)+len(e.loading), e.adapterSlots))
	}
	return residence.Accepted
}

func (e *engine) report() residence.Report {
	report := residence.Report{Sequence: e.sequence}
	base := traffic.LoadedModel{Name: model, Version: 1}
	for name, version := range e.loaded {
		if time.Now().Before(e.shownAt[name]) {
			continue
		}
		base.Adapters = append(base.Adapters, traffic.LoadedAdapter{Name: name, Version: version})
	}
	report.Models = []traffic.LoadedModel{base}
	for name := range e.loading {
		report.Pending = append(report.Pending, residence.Pending{Adapter: adapter(name), Version: 1})
	}
	return report
}

func newPlanner(adapterSlots int) *residence.Planner {
	return &residence.Planner{Engine: traffic.Engine{AdapterSlots: adapterSlots, Models: []traffic.Model{{Name: model}}}}
}

// drive executes the planner's steps for the duration d. For each order, fault returns whether its answer is lost, and
// by how much its execution is delayed.
func drive(p *residence.Planner, e *engine, d time.Duration, fault func() (lost bool, delay time.Duration)) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		e.settle()
		var used []traffic.Adapter
		for name := range e.inUse {
			used = append(used, adapter(name))
		}
		p.SetInUse(time.Now(), used)
		switch step := p.NextStep(time.Now()).(type) {
		case residence.FetchReport:
			p.ApplyReport(time.Now(), e.report())
			time.Sleep(time.Millisecond)
		case residence.SendOrder:
			lost, delay := fault()
			switch {
			case delay > 0:
				e.delayed = append(e.delayed, delayedOrder{at: time.Now().Add(delay), order: step.Order, fence: e.fence})
				time.Sleep(80 * time.Millisecond)
				p.RecordOutcome(time.Now(), step.Order, residence.NoAnswer)
			case lost:
				e.order(step.Order, e.fence)
				time.Sleep(80 * time.Millisecond)
				p.RecordOutcome(time.Now(), step.Order, residence.NoAnswer)
			default:
				time.Sleep(2 * time.Millisecond)
				p.RecordOutcome(time.Now(), step.Order, e.order(step.Order, e.fence))
			}
		case residence.Idle:
			time.Sleep(min(max(time.Until(step.Until), time.Millisecond), 20*time.Millisecond))
		}
	}
}

// startUpTime is the time a new holder needs to establish the upstream's state: two reports.
const startUpTime = 400 * time.Millisecond

func noFaults() (bool, time.Duration) { return false, 0 }

func want(p *residence.Planner, name string, priority int, onTime time.Duration) {
	p.AddWaiter(time.Now(), residence.Request{Adapter: adapter(name), Priority: priority, OnTimeUntil: time.Now().Add(onTime)})
}

func isLoaded(p *residence.Planner, name string) bool {
	_, ok := p.Reserve(time.Now(), adapter(name), 0)
	return ok
}

// A request waits for an adapter that is not loaded anywhere. The adapter is loaded and is usable right after that.
func TestRequestedAdapterIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		drive(p, e, startUpTime, noFaults)
		want(p, "a", 1, time.Second)
		drive(p, e, 300*time.Millisecond, noFaults)
		is.True(isLoaded(p, "a"))
	})
}

// The answer to an order is lost, or the order is executed seconds later. If the holder waited for the
// upstream's report each time, every request that waits for an adapter there would be late.
func TestLostAnswersHardlyDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		drive(p, e, startUpTime, noFaults)
		want(p, "a", 1, time.Second)
		answers := 0
		drive(p, e, 480*time.Millisecond, func() (bool, time.Duration) {
			answers++
			if answers == 1 {
				return false, 3 * time.Second // executed late, long after the adapter was loaded
			}
			return answers == 2, 0
		})
		is.True(isLoaded(p, "a"))
		sequence := e.sequence
		drive(p, e, 4*time.Second, noFaults)
		is.Equal(e.sequence, sequence) // the late order was void
	})
}

// All adapter slots hold adapters that serve requests. Evicting one would abort its requests, or delay new requests
// for it. The new adapter waits until the first of them is idle.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		e.loaded = map[string]int64{"a": 1, "b": 1}
		e.inUse = map[string]bool{"a": true, "b": true}
		drive(p, e, startUpTime, noFaults)
		want(p, "c", 1, time.Second)
		drive(p, e, time.Second, noFaults)
		is.True(!isLoaded(p, "c"))
		is.True(p.ExpectedWait(time.Now(), adapter("d")) > 0)
		delete(e.inUse, "b")
		drive(p, e, 400*time.Millisecond, noFaults)
		is.True(isLoaded(p, "c"))
		is.True(isLoaded(p, "a"))
		is.Equal(len(e.faults), 0)
	})
}

// All adapter slots are in use and requests wait for a dozen adapters. A request that can be on time for one more
// second would get its adapter long after that: requests that can be on time overtake it repeatedly, and its caller
// would wait until the deadline. It is refused at once with a retry time, and so is a request that became late while
// it waited. A late request still gets an adapter slot that is free or about to be free, and an adapter that is being
// loaded.
func TestRequestThatCannotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(3), newEngine(3)
		e.loaded = map[string]int64{"a": 1, "b": 1}
		e.inUse = map[string]bool{"a": true, "b": true}
		drive(p, e, startUpTime, noFaults)
		past := time.Now().Add(-time.Second)
		wait, tooLate := p.WouldBeLate(time.Now(), residence.Request{Adapter: adapter("c")}, past)
		is.True(!tooLate) // the third adapter slot is free
		is.Equal(wait, time.Duration(0))
		want(p, "c", 1, time.Second)
		drive(p, e, 50*time.Millisecond, noFaults)
		_, tooLate = p.WouldBeLate(time.Now(), residence.Request{Adapter: adapter("c")}, past)
		is.True(!tooLate) // it is being loaded
		for _, name := range []string{"d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			want(p, name, 1, time.Second)
		}
		wait, tooLate = p.WouldBeLate(time.Now(), residence.Request{Adapter: adapter("m")}, time.Now().Add(time.Second))
		is.True(tooLate)
		is.True(wait > time.Second)
		_, tooLate = p.WouldBeLate(time.Now(), residence.Request{Adapter: adapter("m")}, time.Now().Add(time.Minute))
		is.True(!tooLate)
	})
}

// Requests wait for more adapters than there are adapter slots. Served in the order of arrival all would be late, so
// those that can still be on time go first.
func TestRequestsOnTimeGoBeforeLateOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(1), newEngine(1)
		e.loaded = map[string]int64{"busy": 1}
		e.inUse = map[string]bool{"busy": true}
		drive(p, e, startUpTime, noFaults)
		want(p, "late", 0, 100*time.Millisecond)
		drive(p, e, 200*time.Millisecond, noFaults)
		want(p, "fresh", 1, time.Second)
		e.inUse = map[string]bool{}
		drive(p, e, 400*time.Millisecond, noFaults)
		is.True(isLoaded(p, "fresh"))
		is.True(!isLoaded(p, "late"))
	})
}

// A caller cancels while its adapter waits for an adapter slot. Loading the adapter anyway would evict one that is in
// use, with no request to serve.
func TestNoLoadAfterCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(1), newEngine(1)
		e.loaded = map[string]int64{"a": 1}
		e.inUse = map[string]bool{"a": true}
		drive(p, e, startUpTime, noFaults)
		want(p, "b", 1, time.Second)
		p.RemoveWaiter(residence.Request{Adapter: adapter("b")})
		e.inUse = map[string]bool{}
		drive(p, e, time.Second, noFaults)
		is.True(isLoaded(p, "a"))
		is.Equal(e.sequence, int64(0))
	})
}

// A newer version of an adapter in use is declared. Requests that start on the older version more than a few seconds
// later would be answered by the wrong model.
func TestNewerVersionReplacesTheOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		e.loaded = map[string]int64{"a": 1}
		e.inUse = map[string]bool{"a": true}
		drive(p, e, startUpTime, noFaults)
		e.newest["a"] = 4
		p.SetNewest(adapter("a"), 4)
		drive(p, e, 600*time.Millisecond, noFaults)
		version, ok := p.Reserve(time.Now(), adapter("a"), 4)
		is.True(ok)
		is.Equal(version, int64(4))
	})
}

// The answer to an unload order is lost, and the order may still be executed. If the planner reported the adapter as
// loaded meanwhile, the adapter could be unloaded while a request runs on it.
func TestAdapterWithUnansweredUnloadIsNotReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(1), newEngine(1)
		e.loaded = map[string]int64{"a": 1}
		drive(p, e, startUpTime, noFaults)
		is.True(isLoaded(p, "a"))
		time.Sleep(time.Second)
		want(p, "b", 1, time.Second)
		drive(p, e, 200*time.Millisecond, func() (bool, time.Duration) { return false, time.Hour })
		p.RemoveWaiter(residence.Request{Adapter: adapter("b")})
		is.True(!isLoaded(p, "a"))
		drive(p, e, time.Second, func() (bool, time.Duration) { return false, time.Hour })
		is.True(!isLoaded(p, "a")) // nor after the report that still lists it
	})
}

// A new holder takes over an upstream right after an adapter was loaded there. The first report lists the adapter
// neither as pending any more nor as loaded yet. If the holder trusted it, an adapter slot would look free, and the
// load ordered into that adapter slot would crash the upstream.
func TestNewHolderDoesNotTrustItsFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(2)
		e.loaded = map[string]int64{"a": 1, "b": 1}
		e.shownAt["b"] = time.Now().Add(reportDelay)
		p := newPlanner(2)
		want(p, "c", 1, time.Second)
		e.inUse["a"] = true
		drive(p, e, time.Second, noFaults)
		is.Equal(len(e.faults), 0)
		is.True(isLoaded(p, "c")) // and it is still loaded, into an adapter slot that was freed for it
	})
}

// An upstream has restarted with nothing loaded. It can serve nothing without its base model, and possibly no request
// waits for that model.
func TestEmptyUpstreamGetsABaseModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlanner(2)
		p.ApplyReport(time.Now(), residence.Report{})
		give, ok := p.NextStep(time.Now()).(residence.SendOrder)
		is.True(ok)
		is.Equal(give.Order.Adapter, traffic.Adapter{Model: model})
		is.True(!give.Order.Unload)
	})
}

// Answers are lost, orders are executed late and holders are replaced while requests wait for adapters and use them.
// The upstream crashes if it is ordered to load more adapters than it has adapter slots for, and evicting an adapter
// in use aborts its requests. Neither may ever happen.
func TestNoOrderOverfillsOrEvictsWhatIsUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			adapterSlots := rapid.IntRange(1, 4).Draw(rt, "adapter slots")
			p, e := newPlanner(adapterSlots), newEngine(adapterSlots)
			names := []string{"a", "b", "c", "d", "e", "f", "g"}
			fault := func() (bool, time.Duration) {
				switch rapid.IntRange(0, 5).Draw(rt, "answer") {
				case 0:
					return true, 0
				case 1:
					return false, time.Duration(rapid.IntRange(100, 6000).Draw(rt, "late")) * time.Millisecond
				}
				return false, 0
			}
			for range rapid.IntRange(5, 20).Draw(rt, "steps") {
				name := rapid.SampledFrom(names).Draw(rt, "adapter")
				want(p, name, rapid.IntRange(0, 3).Draw(rt, "priority"), time.Second)
				drive(p, e, time.Duration(rapid.IntRange(20, 500).Draw(rt, "wait"))*time.Millisecond, fault)
				if isLoaded(p, name) && rapid.Bool().Draw(rt, "use") {
					e.inUse[name] = true
				}
				p.RemoveWaiter(residence.Request{Adapter: adapter(name)})
				if rapid.IntRange(0, 5).Draw(rt, "change") == 0 {
					p = newPlanner(adapterSlots) // a new holder
					e.fence++
				}
				delete(e.inUse, rapid.SampledFrom(names).Draw(rt, "ended"))
				if len(e.faults) > 0 {
					return e.faults[0]
				}
			}
			return ""
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against orders that are not sent while an upstream is doubted again and again, and against reports that are fetched without end
// when the next life counts its orders from zero and does not state its start.
func TestDoubtLeavesOrdersToBeSent(t *testing.T) {
	tests := []struct {
		name string
		// again: the life is doubted every ten milliseconds. sequence is that of the reports after the first doubt.
		again    bool
		sequence int64
		most     int
	}{
		{"doubted again and again", true, 5, 4 * 7},
		{"doubted once, the next life has no orders", false, 0, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			p := &residence.Planner{Engine: traffic.Engine{AdapterSlots: 4}}
			report := func(sequence int64) {
				p.ApplyReport(now, residence.Report{Sequence: sequence, Models: []traffic.LoadedModel{{Name: model}}})
			}
			report(5)
			now = now.Add(400 * time.Millisecond)
			report(5)
			p.AddWaiter(now, residence.Request{Adapter: adapter("a"), Version: 1, OnTimeUntil: now.Add(5 * time.Second)})
			now = now.Add(200 * time.Millisecond)
			p.Doubt()
			orders, fetches := 0, 0
			for range 400 {
				if tt.again {
					p.Doubt()
				}
				switch p.NextStep(now).(type) {
				case residence.FetchReport:
					fetches++
					report(tt.sequence)
				case residence.SendOrder:
					orders++
				}
				now = now.Add(10 * time.Millisecond)
			}
			is.True(orders > 0)
			is.True(fetches > 0)
			is.True(fetches <= tt.most)
		})
	}
}

// Guards against a holder that sends no order any more, because the upstream has said that it accepted one and counts fewer in
// all its reports: a faulty upstream answered, or the response belonged to another order. Requests for its adapters wait in vain.
func TestFewerOrdersThanAcceptedAreBelievedInTheEnd(t *testing.T) {
	const outage = 12 * time.Second // longer than the state of a report is used
	for _, c := range []struct {
		name    string
		outcome residence.Outcome
	}{{"accepted", residence.Accepted}, {"unloaded", residence.AlreadyDone}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, e := newPlanner(2), newEngine(2)
				drive(p, e, startUpTime, noFaults)
				notAccepted := residence.Order{Adapter: adapter("a1"), Unload: c.outcome == residence.AlreadyDone, Sequence: e.sequence}
				p.RecordOutcome(time.Now(), notAccepted, c.outcome)
				time.Sleep(900 * time.Millisecond)
				p.ApplyReport(time.Now(), e.report()) // it may be older than the order
				residents, _ := p.Residents(time.Now())
				is.Equal(len(residents) == 2, c.outcome == residence.Accepted) // the model, and what has been accepted
				time.Sleep(outage)
				want(p, "a2", 1, time.Minute)
				drive(p, e, 2*time.Second, noFaults)
				is.True(isLoaded(p, "a2"))
				is.Equal(e.faults, nil)
			})
		})
	}
}
