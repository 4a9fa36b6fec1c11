package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/demand"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

const (
	replicaInstances = 66
	replicaEngines   = 140
	replicaStep      = 20 * time.Millisecond
	// orderInterval is how often an instance counts replicas, loadTime how long a load takes, and stateInterval how old the
	// holders' reports are at the other instances.
	orderInterval = 100 * time.Millisecond
	loadTime      = 288 * time.Millisecond
	stateInterval = time.Second
	replicaStream = 600 * time.Millisecond
)

// replicaFleet is a fleet of instances that order replicas. Its engines have 4 adapter slots each, of which the popular
// adapters take what the instances order; nothing else is loaded.
type replicaFleet struct {
	random    *rand.Rand
	instances []*replicaInstance
	engines   map[string]*replicaEngine
	names     []string
	// weights are the shares of the instances in the requests; nil for equal ones.
	weights []float64
	// loads counts the loads of each adapter.
	loads map[string]int
	began time.Time
	// tokens is the length of the prompts.
	tokens int
}

type replicaInstance struct {
	name    string
	pool    *pool.Pool
	tracker *demand.Tracker
	share   demand.Share
	// admitted is what the instance has admitted in total.
	admitted float64
	// pending are the orders in flight, at most one for each adapter.
	pending map[string]string
	offset  time.Duration
}

type replicaEngine struct {
	loadedAt map[string]time.Time
	lost     bool
	// draining: the engine takes no new requests.
	draining bool
	version  int64
}

func newReplicaFleet(seed uint64, instances int) *replicaFleet {
	f := &replicaFleet{random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*replicaEngine{}, loads: map[string]int{}, began: time.Now(), tokens: 400}
	for i := range replicaEngines {
		name := fmt.Sprintf("engine-%03d", i)
		f.names = append(f.names, name)
		f.engines[name] = &replicaEngine{loadedAt: map[string]time.Time{}}
	}
	for range instances {
		f.start()
	}
	return f
}

// start starts an instance, which knows what the holders report.
func (f *replicaFleet) start() *replicaInstance {
	i := &replicaInstance{
		name: fmt.Sprint("instance-", len(f.instances)), pool: newPool(), tracker: &demand.Tracker{},
		pending: map[string]string{}, offset: time.Duration(f.random.Int64N(int64(stateInterval))).Truncate(replicaStep),
	}
	f.instances = append(f.instances, i)
	for _, name := range f.names {
		if !f.engines[name].lost {
			declare(i.pool, name, func(u *traffic.Upstream) { u.Draining = f.engines[name].draining })
		}
	}
	f.report(i)
	return i
}

// report gives an instance the holders' reports.
func (f *replicaFleet) report(to *replicaInstance) {
	for _, name := range f.names {
		engine := f.engines[name]
		if engine.lost {
			continue
		}
		engine.version++
		residency := pool.Residency{Upstream: name, Fence: 1, Version: engine.version}
		residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: traffic.Adapter{Model: model}, Version: 1})
		for loaded, at := range engine.loadedAt {
			residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: adapter(loaded), Version: 1, InTransit: time.Now().Before(at)})
		}
		to.pool.RecordResidency(time.Now(), residency)
	}
}

// run lets the time pass with the given rates of requests for each adapter.
func (f *replicaFleet) run(length time.Duration, rates map[string]float64) {
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	for end := time.Now().Add(length); time.Now().Before(end); {
		for _, name := range names {
			f.send(name, rates[name]*replicaStep.Seconds())
		}
		elapsed := time.Since(f.began)
		for _, i := range f.instances {
			if (elapsed+i.offset)%stateInterval == 0 {
				f.report(i)
				f.countShare(i)
			}
			f.finish(i)
			if (elapsed+i.offset)%orderInterval == 0 {
				f.order(i)
			}
		}
		time.Sleep(replicaStep)
	}
}

// send sends the requests of one step, a mean number of them, to random instances.
func (f *replicaFleet) send(name string, mean float64) {
	for at := f.random.ExpFloat64(); at < mean; at += f.random.ExpFloat64() {
		i := f.pick()
		key := demand.Key{Service: engines, Adapter: adapter(name)}
		i.tracker.Record(time.Now(), key, f.tokens, 0)
		i.tracker.RecordEnd(key, replicaStream)
		i.admitted++
	}
}

func (f *replicaFleet) pick() *replicaInstance {
	if f.weights == nil {
		return f.instances[f.random.IntN(len(f.instances))]
	}
	sum := 0.0
	for _, weight := range f.weights {
		sum += weight
	}
	at := f.random.Float64() * sum
	for i, weight := range f.weights {
		if at < weight {
			return f.instances[i]
		}
		at -= weight
	}
	return f.instances[len(f.instances)-1]
}

func (f *replicaFleet) countShare(to *replicaInstance) {
	totals := map[string]float64{}
	for _, i := range f.instances {
		totals[i.name] = i.admitted
	}
	to.share.Record(time.Now(), to.name, totals)
	to.tracker.Factor = to.share.Factor(time.Now(), len(f.instances))
}

// order orders replicas as an instance does, see node.orderReplicas.
func (f *replicaFleet) order(i *replicaInstance) {
	now := time.Now()
	i.tracker.Instances = len(f.instances)
	for _, popular := range i.tracker.Popular(now) {
		plan := i.pool.PlanReplicas(now, pool.ReplicaDemand{
			Service: engines, Adapter: popular.Key.Adapter, Rate: popular.Certain, Tokens: popular.Tokens, Duration: popular.Duration,
		})
		name := popular.Key.Adapter.Name
		if plan.Needed < 2 || len(plan.Next) == 0 || i.pending[name] != "" {
			continue
		}
		upstream := plan.Pick(i.name, popular.Key.Adapter).ID
		engine := f.engines[upstream]
		if _, found := engine.loadedAt[name]; !found && !engine.lost {
			engine.loadedAt[name] = now.Add(loadTime)
			f.loads[name]++
		}
		i.pending[name] = upstream
	}
	i.pool.FinishReplicaPlans()
}

// finish gives an instance the responses to its orders.
func (f *replicaFleet) finish(i *replicaInstance) {
	for name, upstream := range i.pending {
		engine := f.engines[upstream]
		at, loaded := engine.loadedAt[name]
		switch {
		case engine.lost:
			i.pool.RecordReplicaRefusal(time.Now(), upstream, adapter(name))
			delete(i.pending, name)
		case loaded && !time.Now().Before(at):
			i.pool.RecordLoadedAdapter(upstream, adapter(name), 1)
			delete(i.pending, name)
		}
	}
}

// loaded lists the live engines that have an adapter.
func (f *replicaFleet) loaded(name string) (list []string) {
	for _, upstream := range f.names {
		engine := f.engines[upstream]
		if at, found := engine.loadedAt[name]; found && !engine.lost && !time.Now().Before(at) {
			list = append(list, upstream)
		}
	}
	return list
}

// ordered counts the engines at which an adapter is loaded or in transit.
func (f *replicaFleet) ordered(name string) (count int) {
	for _, engine := range f.engines {
		if _, found := engine.loadedAt[name]; found {
			count++
		}
	}
	return count
}

// needed is how many replicas a rate of requests needs.
func (f *replicaFleet) needed(rate float64) int {
	plan := f.instances[0].pool.PlanReplicas(time.Now(), pool.ReplicaDemand{
		Service: engines, Adapter: adapter("none"), Rate: rate, Tokens: f.tokens, Duration: replicaStream,
	})
	return plan.Needed
}

// lose ends an engine at all instances.
func (f *replicaFleet) lose(upstream string) {
	f.engines[upstream].lost = true
	for _, i := range f.instances {
		i.pool.Remove(time.Now(), upstream)
	}
}

// ranking lists the engines in the order in which replicas of an adapter are loaded.
func (f *replicaFleet) ranking(name string, count int) (list []string) {
	is := newPool()
	for _, upstream := range f.names {
		if engine := f.engines[upstream]; !engine.lost && !engine.draining {
			declare(is, upstream, func(*traffic.Upstream) {})
			resident(is, upstream)
		}
	}
	plan := is.PlanReplicas(time.Now(), pool.ReplicaDemand{Service: engines, Adapter: adapter(name), Rate: 1e6, Tokens: f.tokens})
	for _, next := range plan.Next[:min(count, len(plan.Next))] {
		list = append(list, next.ID)
	}
	return list
}

// outside lists the engines of a list that are not among others.
func outside(list, others []string) (outside []string) {
	for _, name := range list {
		if !slices.Contains(others, name) {
			outside = append(outside, name)
		}
	}
	return outside
}

const (
	// popularRate is the requests a second for a popular adapter, and replicaSeeds the number of runs of each test.
	popularRate  = 120
	replicaSeeds = 4
)

// onlyHot are the requests while one adapter is popular.
var onlyHot = map[string]float64{"hot": popularRate}

// simulate runs a test for some seeds.
func simulate(t *testing.T, test func(t *testing.T, is *is.I, f *replicaFleet)) {
	t.Helper()
	for seed := range uint64(replicaSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newReplicaFleet(seed, replicaInstances)) })
		})
	}
}

// Guards against prompts that queue for seconds at the only engine with an adapter that has just become popular, and
// against a replica at each engine because 66 instances order them. Needed replicas are used for half of the time, so that
// two thirds of them are used for three quarters of it.
func TestPopularAdapterAppears(t *testing.T) {
	t.Parallel()
	for _, tokens := range []int{400, 1000} {
		t.Run(fmt.Sprint("tokens=", tokens), func(t *testing.T) {
			simulate(t, func(t *testing.T, is *is.I, f *replicaFleet) {
				f.tokens = tokens
				needed := f.needed(popularRate)
				f.run(2*time.Second, onlyHot)
				soon := len(f.loaded("hot"))
				f.run(2*time.Second, onlyHot)
				later := len(f.loaded("hot"))
				f.run(10*time.Second, onlyHot)
				all := f.loaded("hot")
				t.Logf("needed %d, after 2 s %d, after 4 s %d, after 14 s %d", needed, soon, later, len(all))
				is.True(10*soon >= 4*needed)
				is.True(3*later >= 2*needed)
				is.True(len(all) <= needed+1)
				is.Equal(len(outside(all, f.ranking("hot", needed+2))), 0) // all instances order at the same engines
				is.Equal(f.loads["hot"], f.ordered("hot"))                 // one load for each
			})
		})
	}
}

// Guards against replicas of an adapter whose demand has just ended: they would take the adapter slots that the next
// popular adapter needs.
func TestDemandMovesOn(t *testing.T) {
	simulate(t, func(t *testing.T, is *is.I, f *replicaFleet) {
		f.run(1500*time.Millisecond, onlyHot) // not all replicas are ordered yet
		next := map[string]float64{"next": popularRate}
		f.run(700*time.Millisecond, next)
		before := f.loads["hot"]
		f.run(4*time.Second, next)
		is.Equal(f.loads["hot"], before)
		is.True(len(f.loaded("next")) >= f.needed(popularRate)-2)
	})
}

// Guards against too few replicas where another adapter becomes popular each second: the one with the newest demand
// must not wait for those before it.
func TestPopularAdapterChangesEachSecond(t *testing.T) {
	simulate(t, func(t *testing.T, is *is.I, f *replicaFleet) {
		total := 0
		for number := range 6 {
			name := fmt.Sprint("hot", number)
			f.run(time.Second, map[string]float64{name: 3 * popularRate})
			f.run(500*time.Millisecond, nil)
			total += len(f.loaded(name))
			is.True(len(f.loaded(name)) >= 2)
			is.True(f.loads[name] <= f.needed(3*popularRate)+1)
		}
		t.Logf("%d replicas of 6 adapters", total)
	})
}

// Guards against an instance that gets five times the requests of the others and orders five times the replicas.
func TestRequestsAreSpreadUnevenly(t *testing.T) {
	simulate(t, func(t *testing.T, is *is.I, f *replicaFleet) {
		for i := range f.instances {
			f.weights = append(f.weights, 1)
			if i < 5 {
				f.weights[i] = 5
			}
		}
		f.run(10*time.Second, map[string]float64{"a": 5, "b": 5, "c": 5, "d": 5, "e": 5, "f": 5, "g": 5, "h": 5})
		rates := map[string]float64{"hot": popularRate, "a": 5, "b": 5, "c": 5, "d": 5, "e": 5, "f": 5, "g": 5, "h": 5}
		f.run(8*time.Second, rates)
		t.Logf("needed %d, has %d", f.needed(popularRate), len(f.loaded("hot")))
		is.True(len(f.loaded("hot")) >= f.needed(popularRate)-1)
		is.True(len(f.loaded("hot")) <= f.needed(popularRate)+2)
	})
}

// Guards against a popular adapter that stays short of replicas, or gets them at engines that are gone, after a third of
// the engines were lost.
func TestThirdOfUpstreamsLost(t *testing.T) {
	simulate(t, func(t *testing.T, is *is.I, f *replicaFleet) {
		f.run(10*time.Second, onlyHot)
		before := len(f.loaded("hot"))
		first := f.loaded("hot")[0]
		for number, name := range f.names {
			if number%3 == 0 || name == first {
				f.lose(name)
			}
		}
		left := len(f.loaded("hot"))
		f.run(2*time.Second, onlyHot)
		t.Logf("needed %d, had %d, kept %d, has %d", f.needed(popularRate), before, left, len(f.loaded("hot")))
		is.True(len(f.loaded("hot")) >= min(before, f.needed(popularRate))-1)
		f.run(4*time.Second, onlyHot)
		is.True(len(f.loaded("hot")) <= f.needed(popularRate)+1)
	})
}

// Guards against an instance that has just started and takes its first requests for a flood, or orders replicas that
// exist because it has no report yet.
func TestInstanceHasJustStarted(t *testing.T) {
	simulate(t, func(t *testing.T, is *is.I, f *replicaFleet) {
		f.run(6*time.Second, onlyHot)
		for range 5 {
			f.start()
		}
		f.run(6*time.Second, onlyHot)
		is.True(len(f.loaded("hot")) <= f.needed(popularRate)+1)
		is.Equal(len(outside(f.loaded("hot"), f.ranking("hot", f.needed(popularRate)+2))), 0)
	})
}

// Guards against replicas at upstreams that take no requests or few, and against counting those that cannot be used.
func TestReplicasAreOrderedWhereRequestsCanGo(t *testing.T) {
	for _, c := range []struct {
		name string
		// change changes the upstream that ranks highest.
		change func(p *pool.Pool, name string)
		// known: a replica at that upstream counts.
		known int
	}{
		{"draining", func(p *pool.Pool, name string) { declare(p, name, func(u *traffic.Upstream) { u.Draining = true }) }, 0},
		{"evacuated", func(p *pool.Pool, name string) {
			declare(p, name, func(u *traffic.Upstream) { u.DataCentre = "there" })
			p.SetEvacuated(time.Now(), "there", true)
		}, 0},
		{"unreachable", func(p *pool.Pool, name string) {
			p.RecordResidency(time.Now(), pool.Residency{Upstream: name, Fence: 2, Unreachable: true, Loaded: baseAnd("hot")})
		}, 0},
		{"not connected", func(p *pool.Pool, name string) {
			upstream, _ := p.Upstream(name)
			p.RecordCrash(time.Now(), upstream)
		}, 0},
		{"cold", func(p *pool.Pool, name string) {
			declare(p, name, func(u *traffic.Upstream) { u.ColdRemaining = 5 * time.Second })
		}, 1},
		{"limited", func(p *pool.Pool, name string) {
			upstream, _ := p.Upstream(name)
			p.MergeLimits(time.Now(), []pool.LimitStatement{{Life: upstream.Life(), Limited: true, PerSecond: 1}})
		}, 1},
		{"brittle", func(p *pool.Pool, _ string) {
			p.RecordBrittleness(time.Now(), engines, pool.Brittleness{Brittle: true})
		}, 1},
		{"refused a replica", func(p *pool.Pool, name string) { p.RecordReplicaRefusal(time.Now(), name, adapter("hot")) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				wanted := pool.ReplicaDemand{Service: engines, Adapter: adapter("hot"), Rate: popularRate, Tokens: 200}
				build := func(loaded ...string) *pool.Pool {
					p := newPool()
					p.Configure(map[string]traffic.Service{engines: {
						Name: engines, ColdRate: 1, ColdStart: time.Second, Engine: &traffic.Engine{BatchSlots: 64, AdapterSlots: 5},
					}})
					for number := range 12 {
						name := fmt.Sprint("engine-", number)
						declare(p, name, func(*traffic.Upstream) {})
						resident(p, name, loaded...)
					}
					return p
				}
				p := build()
				plan := p.PlanReplicas(time.Now(), wanted)
				is.Equal(plan.Needed, 3)
				is.Equal(plan.Known, 0)
				is.Equal(len(plan.Next), 3)
				first, second := plan.Next[0].ID, plan.Next[1].ID
				c.change(p, first)
				plan = p.PlanReplicas(time.Now(), wanted)
				if c.name == "brittle" {
					is.Equal(len(plan.Next), 0) // all upstreams of the service are
				} else {
					is.Equal(len(plan.Next), 3)
					is.Equal(plan.Next[0].ID, second) // the next one in the ranking takes its place
				}
				p = build("hot")
				c.change(p, first)
				is.Equal(p.PlanReplicas(time.Now(), wanted).Known, 11+c.known)
			})
		})
	}
}

// baseAnd is what an upstream with the base model and some adapters has loaded.
func baseAnd(names ...string) (list []pool.Resident) {
	list = append(list, pool.Resident{Adapter: traffic.Adapter{Model: model}, Version: 1})
	for _, name := range names {
		list = append(list, pool.Resident{Adapter: adapter(name), Version: 1})
	}
	return list
}

// Guards against too many replicas: one that another instance has ordered is in transit for some hundred milliseconds.
func TestReplicasInTransitAreKnown(t *testing.T) {
	is := is.New(t)
	p := newPool("e1", "e2", "e3")
	p.RecordResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 1, Loaded: []pool.Resident{{Adapter: adapter("hot"), InTransit: true}}})
	plan := p.PlanReplicas(time.Now(), pool.ReplicaDemand{Service: engines, Adapter: adapter("hot"), Rate: 1000, Tokens: 1000})
	is.Equal(plan.Needed, 1) // a third of the upstreams
	is.Equal(plan.Known, 1)
	is.Equal(len(plan.Next), 0)
}

// Guards against too few replicas for long streams of short prompts: they need batch slots rather than prefill time.
func TestLongStreamsNeedReplicas(t *testing.T) {
	is := is.New(t)
	var names []string
	for number := range 30 {
		names = append(names, fmt.Sprint("e", number))
	}
	p := newPool(names...)
	long := pool.ReplicaDemand{Service: engines, Adapter: adapter("hot"), Rate: 40, Tokens: 10, Duration: 4 * time.Second}
	is.Equal(p.PlanReplicas(time.Now(), long).Needed, 5) // 160 streams in half of 64 batch slots each
	long.Duration = 0
	is.Equal(p.PlanReplicas(time.Now(), long).Needed, 1)
}

// Guards against requests that load a popular adapter at upstreams where no instance would order a replica. All replicas
// that it needs are then at the same upstreams, however many there are.
func TestRequestsLoadPopularAdapterAtItsHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var names []string
		for number := range 60 {
			names = append(names, fmt.Sprintf("engine-%02d", number))
		}
		p := newPool(names...)
		for _, name := range names {
			resident(p, name)
		}
		wanted := pool.ReplicaDemand{Service: engines, Adapter: adapter("hot"), Rate: popularRate, Tokens: 800}
		plan := p.PlanReplicas(time.Now(), wanted)
		p.FinishReplicaPlans()
		is.Equal(plan.Needed, 10)
		var homes []string
		for _, next := range plan.Next {
			homes = append(homes, next.ID)
		}
		used := map[string]bool{}
		for range 10 {
			choice, _ := place(is, p, generation("hot"))
			used[choice.Upstream.ID] = true
			is.True(slices.Contains(homes, choice.Upstream.ID))
		}
		is.Equal(len(used), 10) // each of them is as good
		p.FinishReplicaPlans()  // the adapter is not popular any more
		choice, _ := place(is, p, generation("hot"))
		is.True(slices.Contains(homes[:4], choice.Upstream.ID))
	})
}
