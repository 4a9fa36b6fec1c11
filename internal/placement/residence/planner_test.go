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

// engine is an upstream as its description has it: it counts accepted orders, takes some time to load, and
// may carry out an order late, or lose its answer.
type engine struct {
	places   int
	sequence int64
	loaded   map[string]int64
	loading  map[string]time.Time
	late     []lateOrder
	inUse    map[string]bool
	newest   map[string]int64
	faults   []string
	// fence is that of the holder now, seen the highest that an order bore.
	fence, seen int
	// shownAt is when a report first shows a loaded adapter: reports lag.
	shownAt map[string]time.Time
}

type lateOrder struct {
	at    time.Time
	order residence.Order
	fence int
}

func newEngine(places int) *engine {
	return &engine{
		places: places, loaded: map[string]int64{}, loading: map[string]time.Time{},
		inUse: map[string]bool{}, newest: map[string]int64{}, shownAt: map[string]time.Time{},
	}
}

const (
	loadTime = 250 * time.Millisecond
	// lag is how late a report shows that a load is done; that it is not pending any more shows at once.
	lag = 200 * time.Millisecond
)

// settle finishes loads and carries out late orders that are due.
func (e *engine) settle() {
	for name, done := range e.loading {
		if !time.Now().Before(done) {
			delete(e.loading, name)
			e.loaded[name] = max(e.newest[name], 1)
			e.shownAt[name] = done.Add(lag)
		}
	}
	kept := e.late[:0]
	for _, late := range e.late {
		if time.Now().Before(late.at) {
			kept = append(kept, late)
			continue
		}
		e.order(late.order, late.fence)
	}
	e.late = kept
}

func (e *engine) order(order residence.Order, fence int) residence.Outcome {
	if fence < e.seen {
		return residence.Fenced
	}
	e.seen = fence
	name := order.Adapter.Name
	if _, pending := e.loading[name]; pending && !order.Unload {
		return residence.Accepted
	}
	version, there := e.loaded[name]
	if !order.Unload && there && (order.Version == 0 || version >= order.Version) {
		return residence.Holds
	}
	if order.Sequence != e.sequence {
		return residence.Conflict
	}
	e.sequence++
	if order.Unload {
		if e.inUse[name] && fence < e.fence {
			return residence.Accepted // an earlier holder's; it waits until the adapter's requests have ended
		}
		if e.inUse[name] {
			e.faults = append(e.faults, name+" was evicted while in use")
		}
		delete(e.loaded, name)
		return residence.Holds
	}
	e.loading[name] = time.Now().Add(loadTime)
	delete(e.loaded, name)
	if len(e.loaded)+len(e.loading) > e.places {
		e.faults = append(e.faults, fmt.Sprintf("%d adapters in %d places", len(e.loaded)+len(e.loading), e.places))
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

func newPlanner(places int) *residence.Planner {
	return &residence.Planner{Engine: traffic.Engine{AdapterPlaces: places, Models: []traffic.Model{{Name: model}}}}
}

// drive carries out the planner's steps for a while. lose tells what becomes of an order's answer: whether
// it is lost, and whether the order is carried out late instead of at once.
func drive(p *residence.Planner, e *engine, d time.Duration, lose func() (lost bool, late time.Duration)) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		e.settle()
		var used []traffic.Adapter
		for name := range e.inUse {
			used = append(used, adapter(name))
		}
		p.Use(time.Now(), used)
		switch step := p.Next(time.Now()).(type) {
		case residence.Inspect:
			p.Learn(time.Now(), e.report())
			time.Sleep(time.Millisecond)
		case residence.Give:
			lost, late := lose()
			switch {
			case late > 0:
				e.late = append(e.late, lateOrder{at: time.Now().Add(late), order: step.Order, fence: e.fence})
				time.Sleep(80 * time.Millisecond)
				p.Ordered(time.Now(), step.Order, residence.NoAnswer)
			case lost:
				e.order(step.Order, e.fence)
				time.Sleep(80 * time.Millisecond)
				p.Ordered(time.Now(), step.Order, residence.NoAnswer)
			default:
				time.Sleep(2 * time.Millisecond)
				p.Ordered(time.Now(), step.Order, e.order(step.Order, e.fence))
			}
		case residence.Rest:
			time.Sleep(min(max(time.Until(step.Until), time.Millisecond), 20*time.Millisecond))
		}
	}
}

// begin is the time in which a holder learns what an upstream has: two reports.
const begin = 400 * time.Millisecond

func never() (bool, time.Duration) { return false, 0 }

func want(p *residence.Planner, name string, priority int, onTime time.Duration) {
	p.Want(time.Now(), adapter(name), 0, priority, time.Now().Add(onTime))
}

func has(p *residence.Planner, name string) bool {
	_, ok := p.Has(time.Now(), adapter(name), 0)
	return ok
}

// A request waits for an adapter that is nowhere. It is loaded, and the request hears of it right after.
func TestWantedAdapterIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		drive(p, e, begin, never)
		want(p, "a", 1, time.Second)
		drive(p, e, 300*time.Millisecond, never)
		is.True(has(p, "a"))
	})
}

// The answer to an order is lost, or the order is carried out seconds later. If the holder waited for the
// upstream's report each time, everything that waits for an adapter there would be late.
func TestLostAnswersHardlyDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		drive(p, e, begin, never)
		want(p, "a", 1, time.Second)
		answers := 0
		drive(p, e, 480*time.Millisecond, func() (bool, time.Duration) {
			answers++
			if answers == 1 {
				return false, 3 * time.Second // carried out late, when the adapter is long there
			}
			return answers == 2, 0
		})
		is.True(has(p, "a"))
		sequence := e.sequence
		drive(p, e, 4*time.Second, never)
		is.Equal(e.sequence, sequence) // the late order was void
	})
}

// All places hold adapters that serve requests. Evicting one would cut its requests, or hold up all that
// come for it; the newcomer waits for the first that ends.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		e.loaded = map[string]int64{"a": 1, "b": 1}
		e.inUse = map[string]bool{"a": true, "b": true}
		drive(p, e, begin, never)
		want(p, "c", 1, time.Second)
		drive(p, e, time.Second, never)
		is.True(!has(p, "c"))
		is.True(p.Wait(time.Now(), adapter("d")) > 0)
		delete(e.inUse, "b")
		drive(p, e, 400*time.Millisecond, never)
		is.True(has(p, "c"))
		is.True(has(p, "a"))
		is.Equal(len(e.faults), 0)
	})
}

// All places are in use, and a dozen adapters are waited for. A request that could be on time for a second yet
// would get its adapter long after that: those who can be on time go before it again and again, and its caller
// would hold on until its deadline. It is told at once, and when to come back; so is one that became late while
// it waited. A late request still gets a place that is free, or will be in a moment, and an adapter on its way.
func TestHopelessWaitsEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(3), newEngine(3)
		e.loaded = map[string]int64{"a": 1, "b": 1}
		e.inUse = map[string]bool{"a": true, "b": true}
		drive(p, e, begin, never)
		late := time.Now().Add(-time.Second)
		wait, hopeless := p.Hopeless(time.Now(), adapter("c"), late)
		is.True(!hopeless) // the third place is free
		is.Equal(wait, time.Duration(0))
		want(p, "c", 1, time.Second)
		drive(p, e, 50*time.Millisecond, never)
		_, hopeless = p.Hopeless(time.Now(), adapter("c"), late)
		is.True(!hopeless) // it is on its way
		for _, name := range []string{"d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			want(p, name, 1, time.Second)
		}
		wait, hopeless = p.Hopeless(time.Now(), adapter("m"), time.Now().Add(time.Second))
		is.True(hopeless)
		is.True(wait > time.Second)
		_, hopeless = p.Hopeless(time.Now(), adapter("m"), time.Now().Add(time.Minute))
		is.True(!hopeless)
	})
}

// More adapters are wanted than there are places. Served in the order of arrival all would be late; the
// ones that can still be on time go first.
func TestLateOnesWaitBehindThoseOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(1), newEngine(1)
		e.loaded = map[string]int64{"busy": 1}
		e.inUse = map[string]bool{"busy": true}
		drive(p, e, begin, never)
		want(p, "late", 0, 100*time.Millisecond)
		drive(p, e, 200*time.Millisecond, never)
		want(p, "fresh", 1, time.Second)
		e.inUse = map[string]bool{}
		drive(p, e, 400*time.Millisecond, never)
		is.True(has(p, "fresh"))
		is.True(!has(p, "late"))
	})
}

// A caller leaves while its adapter waits for a place. Loading it all the same would evict one that is
// used, for nobody.
func TestNothingIsLoadedForThoseWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(1), newEngine(1)
		e.loaded = map[string]int64{"a": 1}
		e.inUse = map[string]bool{"a": true}
		drive(p, e, begin, never)
		want(p, "b", 1, time.Second)
		p.Unwant(adapter("b"))
		e.inUse = map[string]bool{}
		drive(p, e, time.Second, never)
		is.True(has(p, "a"))
		is.Equal(e.sequence, int64(0))
	})
}

// A newer version of an adapter in use is declared. Requests that began later than some seconds after that
// on the older one would be answered by the wrong model.
func TestNewerVersionReplacesTheOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(2), newEngine(2)
		e.loaded = map[string]int64{"a": 1}
		e.inUse = map[string]bool{"a": true}
		drive(p, e, begin, never)
		e.newest["a"] = 4
		p.SetNewest(adapter("a"), 4)
		drive(p, e, 600*time.Millisecond, never)
		version, ok := p.Has(time.Now(), adapter("a"), 4)
		is.True(ok)
		is.Equal(version, int64(4))
	})
}

// The answer to an order to unload is lost, and the order may still be carried out. A request that is told
// meanwhile that the adapter is there would lose it under its feet.
func TestAdapterThatMayBeLeavingIsNotPromised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(1), newEngine(1)
		e.loaded = map[string]int64{"a": 1}
		drive(p, e, begin, never)
		is.True(has(p, "a"))
		time.Sleep(time.Second)
		want(p, "b", 1, time.Second)
		drive(p, e, 200*time.Millisecond, func() (bool, time.Duration) { return false, time.Hour })
		p.Unwant(adapter("b"))
		is.True(!has(p, "a"))
		drive(p, e, time.Second, func() (bool, time.Duration) { return false, time.Hour })
		is.True(!has(p, "a")) // nor after the report that shows it still there
	})
}

// A holder takes an upstream over right after an adapter was loaded there. The report shows it neither as
// pending any more nor as loaded yet. Taken at its word, there is a free place, and the load that is ordered
// for it crashes the upstream.
func TestNewHolderDoesNotTrustItsFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(2)
		e.loaded = map[string]int64{"a": 1, "b": 1}
		e.shownAt["b"] = time.Now().Add(lag)
		p := newPlanner(2)
		want(p, "c", 1, time.Second)
		e.inUse["a"] = true
		drive(p, e, time.Second, never)
		is.Equal(len(e.faults), 0)
		is.True(has(p, "c")) // and it is loaded all the same, in a place that was emptied for it
	})
}

// An upstream has restarted empty. Without its base model it can serve nothing, and nobody may think to
// ask for it.
func TestEmptyUpstreamGetsABaseModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPlanner(2)
		p.Learn(time.Now(), residence.Report{})
		give, ok := p.Next(time.Now()).(residence.Give)
		is.True(ok)
		is.Equal(give.Order.Adapter, traffic.Adapter{Model: model})
		is.True(!give.Order.Unload)
	})
}

// Answers are lost, orders carried out late and holders replaced, while adapters are wanted and used. The
// upstream crashes if it is ordered to load more than it has places for, and evicting what is in use cuts
// requests; neither may ever happen.
func TestNoOrderOverfillsOrEvictsWhatIsUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			places := rapid.IntRange(1, 4).Draw(rt, "places")
			p, e := newPlanner(places), newEngine(places)
			names := []string{"a", "b", "c", "d", "e", "f", "g"}
			lose := func() (bool, time.Duration) {
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
				drive(p, e, time.Duration(rapid.IntRange(20, 500).Draw(rt, "wait"))*time.Millisecond, lose)
				if has(p, name) && rapid.Bool().Draw(rt, "use") {
					e.inUse[name] = true
				}
				p.Unwant(adapter(name))
				if rapid.IntRange(0, 5).Draw(rt, "change") == 0 {
					p = newPlanner(places) // another holder
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
