package residence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/proof/bubble"
)

// scarce is the traffic of the first deployment at one engine, at twice what its adapter slots can serve. The patience is a
// third of the objective.
func scarce() []requests {
	return []requests{
		{kind: "ranked moves", rate: 5.1, priority: 0, hold: 600 * time.Millisecond, patience: 333 * time.Millisecond},
		{kind: "casual moves", rate: 1.2, priority: 1, hold: 600 * time.Millisecond, patience: 333 * time.Millisecond},
		{kind: "hints", rate: 1.5, priority: 2, hold: 3500 * time.Millisecond, patience: 667 * time.Millisecond},
	}
}

// Guards against adapter slots that are granted in order of arrival. Long answers of the lowest priority then occupy most of
// them, and the requests of the highest priority get the worst service.
func TestScarceSlotsGoToTheHighestPriority(t *testing.T) {
	is := is.New(t)
	before := simulate(t, false, 4, 10*time.Minute, scarce()...)
	after := simulate(t, true, 4, 10*time.Minute, scarce()...)
	ranked, casual, hints := after.results["ranked moves"], after.results["casual moves"], after.results["hints"]
	is.True(ranked.share() > casual.share())
	is.True(ranked.share() > hints.share())
	is.True(ranked.share() > 1.2*before.results["ranked moves"].share())
	is.True(10*hints.loads >= ranked.loads+casual.loads+hints.loads) // the floor
	is.True(after.peak["hints"] <= 4)
}

// Guards against stated waits by which a caller cannot plan: it would come back too early and be refused again, or wait in
// vain. The requests wait for as long as they are told and longer, while bursts ask for more than the adapter slots can serve.
func TestStatedWaitsAreKept(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.7, 0.85} {
		s := simulate(t, true, 4, 4*time.Minute,
			requests{kind: "moves", rate: 1.6 * load, priority: 0, hold: 600 * time.Millisecond, patience: 10 * time.Second},
			requests{kind: "casual", rate: 0.5 * load, priority: 1, hold: 600 * time.Millisecond, patience: 10 * time.Second},
			requests{kind: "hints", rate: 0.5 * load, priority: 2, hold: 3500 * time.Millisecond, patience: 20 * time.Second},
			requests{kind: "burst", rate: 6, priority: 1, hold: 600 * time.Millisecond, patience: 10 * time.Second, from: 30 * time.Second, to: 33 * time.Second},
			requests{kind: "later", rate: 6, priority: 0, hold: 600 * time.Millisecond, patience: 10 * time.Second, from: 90 * time.Second, to: 93 * time.Second},
		)
		told, kept := 0, 0
		for _, o := range s.results {
			told += o.told
			kept += o.kept
		}
		is.True(told > 100)
		is.True(10*kept >= 9*told)
	}
}

// Guards against a popular adapter that waits for an adapter slot like one that a single request needs. Each of its loads
// serves many requests, which wait meanwhile.
func TestPopularAdapterGoesBeforeThoseRequestedOnce(t *testing.T) {
	is := is.New(t)
	kinds := []requests{{kind: "once", rate: 12, hold: 600 * time.Millisecond, patience: 2 * time.Second}}
	for i := range 6 { // an adapter becomes popular for 3 s, and then the next
		from := time.Duration(5+5*i) * time.Second
		kinds = append(kinds, requests{
			kind: fmt.Sprint("popular", i), adapter: fmt.Sprint("popular", i), rate: 10, demand: 40,
			hold: 600 * time.Millisecond, patience: time.Second, from: from, to: from + 3*time.Second,
		})
	}
	served := func(contention bool) (popular, once float64) {
		s := simulate(t, contention, 4, 40*time.Second, kinds...)
		arrived, answered := 0, 0
		for _, kind := range kinds[1:] {
			arrived += s.results[kind.kind].arrived
			answered += s.results[kind.kind].served
		}
		return float64(answered) / float64(arrived), s.results["once"].share()
	}
	before, _ := served(false)
	after, once := served(true)
	t.Logf("popular: %.3f before, %.3f after", before, after)
	is.True(after > 0.95)
	is.True(after > before+0.1)
	is.True(once > 0.15) // three of the four adapter slots serve the others
}

// Guards against a workspace that sends far more than its share, and takes the adapter slots of the others of its priority.
func TestWorkspaceOverItsShareGoesLast(t *testing.T) {
	is := is.New(t)
	within := requests{kind: "within", rate: 3, priority: 1, hold: 600 * time.Millisecond, patience: time.Second}
	over := requests{kind: "over", rate: 18, priority: 0, over: true, hold: 600 * time.Millisecond, patience: time.Second}
	before := simulate(t, false, 4, 4*time.Minute, within, over)
	s := simulate(t, true, 4, 4*time.Minute, within, over)
	is.True(s.results["within"].share() > 0.8) // a running request of the other workspace is not evicted
	is.True(s.results["within"].share() > 3*before.results["within"].share())
	is.True(s.results["over"].loads > 0) // what the others leave
	is.True(s.results["over"].share() < s.results["within"].share()/3)
}

// Guards against reserved adapter slots that stay idle while no higher priority asks for them.
func TestBurstOfTheLowestPriorityGetsIdleSlots(t *testing.T) {
	is := is.New(t)
	known := requests{kind: "known", rate: 2, priority: 0, hold: 200 * time.Millisecond, patience: time.Second, to: 3 * time.Second}
	burst := requests{
		kind: "burst", rate: 20, priority: 2, hold: 3 * time.Second, patience: time.Second,
		from: 6 * time.Second, to: 12 * time.Second,
	}
	s := simulate(t, true, 4, 15*time.Second, known, burst)
	is.True(s.results["known"].arrived > 0)
	is.Equal(s.peak["burst"], 4) // all are lent
}

// Guards against long answers that keep all adapter slots once a higher priority asks: the lent ones come back as their
// streams end, and no more than half are granted again.
func TestLentSlotsComeBack(t *testing.T) {
	is := is.New(t)
	low := requests{kind: "low", rate: 6, priority: 2, hold: 3 * time.Second, patience: 600 * time.Millisecond}
	high := requests{
		kind: "high", rate: 2, priority: 0, hold: 600 * time.Millisecond, patience: 333 * time.Millisecond,
		from: 10 * time.Second, to: 60 * time.Second,
	}
	before := simulate(t, false, 4, time.Minute, low, high)
	after := simulate(t, true, 4, time.Minute, low, high)
	is.Equal(after.peak["low"], 4)
	is.True(after.results["high"].share() > 0.5)
	is.True(after.results["high"].share() > 1.5*before.results["high"].share())
	is.True(after.results["low"].loads > 20)
}

// Guards against replicas that take the adapter slots for which requests wait. They go first only if they have four times
// their demand; one load answers the equal orders of all instances.
func TestReplicaDelaysNoWaitingRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		demand  float64
		replica bool
	}{
		{"of the same demand", 8, false},
		{"of almost four times the demand", 31, false},
		{"of four times the demand", 32, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := contended(1)
			now := time.Now()
			request := residence.Request{Adapter: adapter("waiting"), Priority: 1, Demand: 8, OnTimeUntil: now.Add(time.Minute)}
			replica := residence.Request{
				Adapter: adapter("replica"), Priority: 1, Demand: c.demand, Replica: true, OnTimeUntil: now.Add(time.Minute),
			}
			for range 5 {
				p.AddWaiter(now, replica)
			}
			p.AddWaiter(now.Add(time.Millisecond), request)
			is.Equal(nextLoaded(p, now.Add(2*time.Millisecond)) == replica.Adapter, c.replica)
			for range 5 {
				p.RemoveWaiter(replica) // the one load is for all of them
			}
			p.RemoveWaiter(request)
			is.True(!p.HasWaiters())
		})
	}
}

// Guards against a replica that overtakes requests of a higher class, whatever its demand, and against an adapter that counts
// as a replica although a request waits for it too.
func TestReplicaKeepsItsClass(t *testing.T) {
	is := is.New(t)
	p := contended(1)
	now := time.Now()
	until := now.Add(time.Minute)
	replica := residence.Request{Adapter: adapter("replica"), Priority: 1, Demand: 1000, Replica: true, OnTimeUntil: until}
	p.AddWaiter(now, replica)
	p.AddWaiter(now, residence.Request{Adapter: adapter("higher"), Priority: 0, OnTimeUntil: until})
	is.Equal(nextLoaded(p, now), adapter("higher"))
	p = contended(1)
	p.AddWaiter(now, residence.Request{Adapter: adapter("waiting"), Priority: 1, Demand: 500, OnTimeUntil: until})
	p.AddWaiter(now, replica)
	is.Equal(nextLoaded(p, now), adapter("waiting"))
	p = contended(1)
	p.AddWaiter(now, residence.Request{Adapter: adapter("waiting"), Priority: 1, Demand: 500, OnTimeUntil: until})
	p.AddWaiter(now, replica)
	p.AddWaiter(now, residence.Request{Adapter: adapter("replica"), Priority: 1, OnTimeUntil: until})
	is.Equal(nextLoaded(p, now), adapter("replica")) // its demand is twice the other's
}

// Guards against the eviction of a popular adapter that is idle for a moment: its next request would have to load it again.
func TestIdleAdapterOfTheLowestDemandIsEvicted(t *testing.T) {
	is := is.New(t)
	p := contended(2, "popular", "rare")
	now := time.Now()
	p.RecordRequest(now, residence.Request{Adapter: adapter("popular"), Demand: 30})
	p.Reserve(now, adapter("popular"), 0)
	p.Reserve(now.Add(time.Second), adapter("rare"), 0)
	now = now.Add(2 * time.Second)
	p.AddWaiter(now, residence.Request{Adapter: adapter("new"), OnTimeUntil: now.Add(time.Second)})
	step, ordered := p.NextStep(now).(residence.SendOrder)
	is.True(ordered)
	is.True(step.Order.Unload)
	is.Equal(step.Order.Adapter, adapter("rare")) // although it was used last
}

// Guards against one request that leaves the wait, and whose class its adapter keeps: a lower priority would go first.
func TestAdapterHasTheClassOfThoseThatWait(t *testing.T) {
	is := is.New(t)
	p := contended(1)
	now := time.Now()
	until := now.Add(time.Minute)
	high := residence.Request{Adapter: adapter("left"), Priority: 0, OnTimeUntil: until}
	p.AddWaiter(now, high)
	p.AddWaiter(now, residence.Request{Adapter: adapter("left"), Priority: 2, OnTimeUntil: until})
	p.AddWaiter(now, residence.Request{Adapter: adapter("other"), Priority: 1, OnTimeUntil: until})
	p.RemoveWaiter(high)
	is.Equal(nextLoaded(p, now), adapter("other"))
}

// contended returns a planner under contention at an upstream that has some adapters loaded, all idle.
func contended(slots int, names ...string) *residence.Planner {
	p := newPlanner(slots)
	p.Contention = true
	report := residence.Report{Models: []traffic.LoadedModel{{Name: model, Version: 1}}}
	for _, name := range names {
		report.Models[0].Adapters = append(report.Models[0].Adapters, traffic.LoadedAdapter{Name: name, Version: 1})
	}
	p.ApplyReport(time.Now().Add(-400*time.Millisecond), report)
	p.ApplyReport(time.Now(), report)
	return p
}

// nextLoaded returns the adapter that is loaded next.
func nextLoaded(p *residence.Planner, now time.Time) traffic.Adapter {
	step, ordered := p.NextStep(now).(residence.SendOrder)
	if !ordered || step.Order.Unload {
		return traffic.Adapter{}
	}
	return step.Order.Adapter
}

// Guards against a lowest class that is never served while the higher ones alone ask for more than fits, and against a floor
// that takes more than its part from them.
func TestLowestClassKeepsAFloor(t *testing.T) {
	for _, patience := range []time.Duration{600 * time.Millisecond, 3 * time.Second} {
		t.Run(patience.String(), func(t *testing.T) {
			is := is.New(t)
			s := simulate(t, true, 4, time.Minute,
				requests{kind: "high", rate: 20, priority: 0, hold: 300 * time.Millisecond, patience: 3 * time.Second},
				requests{kind: "low", rate: 5, priority: 2, hold: 300 * time.Millisecond, patience: patience},
			)
			high, low := s.results["high"].loads, s.results["low"].loads
			is.True(10*low >= low+high)
			is.True(3*low <= low+high)
		})
	}
}

// Guards against an upstream that crashes or aborts requests because slots are granted by class: answers are lost, orders are
// executed late and holders are replaced while requests of all classes wait.
func TestNoOrderByClassOverfillsOrEvictsWhatIsUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			slots := rapid.IntRange(1, 4).Draw(rt, "adapter slots")
			e := newEngine(slots)
			p := newPlanner(slots)
			p.Contention = true
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
				now := time.Now()
				request := residence.Request{
					Adapter: adapter(rapid.SampledFrom(names).Draw(rt, "adapter")), Priority: rapid.IntRange(0, 3).Draw(rt, "priority"),
					OverShare: rapid.Bool().Draw(rt, "over"), Demand: rapid.Float64Range(0, 100).Draw(rt, "demand"),
					Replica: rapid.Bool().Draw(rt, "replica"), OnTimeUntil: now.Add(time.Second),
				}
				p.RecordRequest(now, request)
				p.WouldBeLate(now, request, now.Add(300*time.Millisecond))
				p.AddWaiter(now, request)
				drive(p, e, time.Duration(rapid.IntRange(20, 500).Draw(rt, "wait"))*time.Millisecond, fault)
				if isLoaded(p, request.Adapter.Name) && rapid.Bool().Draw(rt, "use") {
					e.inUse[request.Adapter.Name] = true
				}
				if rapid.Bool().Draw(rt, "leaves") {
					p.RemoveWaiter(request)
				}
				if rapid.IntRange(0, 5).Draw(rt, "change") == 0 {
					p = newPlanner(slots) // a new holder
					p.Contention = true
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
