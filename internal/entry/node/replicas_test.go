package node

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/demand"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// loadingEngines are engines that take loadingTime to load an adapter.
type loadingEngines struct {
	mutex sync.Mutex
	byID  map[string]*loadingEngine
}

type loadingEngine struct {
	sequence int64
	loadedAt map[string]time.Time
}

const loadingTime = 100 * time.Millisecond

func (e *loadingEngines) at(id string) *loadingEngine {
	if e.byID[id] == nil {
		e.byID[id] = &loadingEngine{loadedAt: map[string]time.Time{}}
	}
	return e.byID[id]
}

// Order carries out an order.
func (e *loadingEngines) Order(
	_ context.Context, upstream traffic.Upstream, _ string, _ int64, order residence.Order,
) (residence.Response, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	engine := e.at(upstream.ID)
	at, ordered := engine.loadedAt[order.Adapter.Name]
	switch {
	case order.Unload && !ordered, !order.Unload && ordered && !time.Now().Before(at):
		return residence.Response{Outcome: residence.AlreadyDone}, nil
	case ordered && !order.Unload:
		return residence.Response{Outcome: residence.Accepted}, nil
	case order.Sequence != engine.sequence:
		return residence.Response{Outcome: residence.Conflict}, nil
	}
	engine.sequence++
	if order.Unload {
		delete(engine.loadedAt, order.Adapter.Name)
	} else {
		engine.loadedAt[order.Adapter.Name] = time.Now().Add(loadingTime)
	}
	return residence.Response{Outcome: residence.Accepted}, nil
}

// Report returns what an engine has loaded.
func (e *loadingEngines) Report(_ context.Context, upstream traffic.Upstream) (residence.Report, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	engine := e.at(upstream.ID)
	model := traffic.LoadedModel{Name: "m", Version: 1}
	report := residence.Report{Sequence: engine.sequence}
	for name, at := range engine.loadedAt {
		if time.Now().Before(at) {
			report.Pending = append(report.Pending, residence.Pending{Adapter: traffic.Adapter{Model: "m", Name: name}})
			continue
		}
		model.Adapters = append(model.Adapters, traffic.LoadedAdapter{Name: name, Version: 1})
	}
	report.Models = []traffic.LoadedModel{model}
	return report, nil
}

// with lists the engines that have an adapter.
func (e *loadingEngines) with(name string) (list []string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id, engine := range e.byID {
		if at, found := engine.loadedAt[name]; found && !time.Now().Before(at) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// orderingFleet are instances without sockets that hold some engines and order replicas. Orders reach the holder at once,
// and its reports reach the others twice a second.
type orderingFleet struct {
	t         *testing.T
	engines   *loadingEngines
	upstreams []traffic.Upstream
	nodes     map[string]*Node
	stops     map[string]context.CancelFunc

	mutex   sync.Mutex
	holders map[string]string
	fence   int64
	// inFlight counts the orders of each instance for each adapter, and most is the largest number that it had at once.
	inFlight map[string]int
	most     int
	requests []mesh.PrepareRequest
}

const (
	orderingEngines = 12
	hotRate         = 100 // requests a second over all instances
	hotTokens       = 1000
)

func hotAdapter(name string) demand.Key {
	return demand.Key{Service: "llm", Adapter: traffic.Adapter{Model: "m", Name: name}}
}

func newOrderingFleet(t *testing.T, contention Switch, names ...string) *orderingFleet {
	t.Helper()
	f := &orderingFleet{
		t: t, engines: &loadingEngines{byID: map[string]*loadingEngine{}}, nodes: map[string]*Node{},
		stops: map[string]context.CancelFunc{}, holders: map[string]string{}, inFlight: map[string]int{},
	}
	for number := range orderingEngines {
		f.upstreams = append(f.upstreams, traffic.Upstream{ID: fmt.Sprintf("engine%02d", number), Service: "llm", BatchSlots: 64})
	}
	for _, name := range names {
		f.nodes[name] = f.newNode(name, contention)
	}
	for number, upstream := range f.upstreams {
		f.hold(names[number%len(names)], upstream)
	}
	for name, n := range f.nodes {
		ctx, stop := context.WithCancel(t.Context())
		f.stops[name] = stop
		n.sharedState.Pool.Settings.LiveInstances = len(names)
		go func() { _ = n.runReplicas(ctx) }()
	}
	f.run(time.Second, "", 0) // the holders know what is loaded
	return f
}

func (f *orderingFleet) newNode(name string, contention Switch) *Node {
	n := &Node{
		Log: zerolog.Nop(), Orders: f.engines, heldUpstreams: newHeldUpstreams(), scope: tally.NoopScope, forward: &forward.Client{},
		self: roster.Instance{Name: name, Incarnation: name},
		DialUpstream: func(context.Context, string) (net.Conn, error) {
			connection, _ := net.Pipe()
			return connection, nil
		},
	}
	n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: true}, Admission: AdmissionSettings{Contention: contention}})
	n.sharedState = &serve.SharedState{
		Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
		Ledger: &quota.Ledger{Self: name}, Demand: &demand.Tracker{}, ReplicatePopular: contention.IsOn(),
	}
	n.handler = &serve.Handler{State: n.sharedState, Log: zerolog.Nop(), Scope: tally.NoopScope}
	n.overlay.initialise(name)
	services := map[string]traffic.Service{"llm": {Name: "llm", Engine: &traffic.Engine{AdapterSlots: 4, BatchSlots: 64, Models: []traffic.Model{{Name: "m"}}}}}
	n.view.table.Store(traffic.NewTable(traffic.Configuration{Services: services}))
	n.sharedState.Pool.Configure(services)
	for _, upstream := range f.upstreams {
		n.sharedState.Pool.Declare(time.Now(), upstream)
	}
	n.replicas.prepare = func(ctx context.Context, request mesh.PrepareRequest) mesh.PrepareResult {
		return f.prepare(ctx, name, request)
	}
	return n
}

// hold makes an instance the holder of an upstream.
func (f *orderingFleet) hold(name string, upstream traffic.Upstream) {
	f.mutex.Lock()
	f.fence++
	f.holders[upstream.ID] = name
	holder := roster.Holder{Instance: name, Incarnation: name, Fence: f.fence}
	f.mutex.Unlock()
	f.nodes[name].startHolding(f.t.Context(), upstream, holder)
}

// prepare passes an order to the holder of its upstream.
func (f *orderingFleet) prepare(ctx context.Context, from string, request mesh.PrepareRequest) mesh.PrepareResult {
	key := from + request.Adapter.Name
	f.mutex.Lock()
	f.inFlight[key]++
	f.most = max(f.most, f.inFlight[key])
	f.requests = append(f.requests, request)
	holder := f.nodes[f.holders[request.Upstream]]
	f.mutex.Unlock()
	defer func() {
		f.mutex.Lock()
		f.inFlight[key]--
		f.mutex.Unlock()
	}()
	if holder == nil {
		return mesh.NotHolder{}
	}
	held := holder.heldUpstreams.get(request.Upstream)
	if held == nil {
		return mesh.NotHolder{}
	}
	return held.prepare(ctx, request)
}

// run lets the time pass while each instance gets its part of the requests for an adapter, at equal intervals.
func (f *orderingFleet) run(length time.Duration, name string, rate int) {
	const step = 10 * time.Millisecond
	due := 0.0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		if elapsed%(500*time.Millisecond) == 0 {
			f.exchange()
		}
		due += float64(rate) / float64(max(len(f.nodes), 1)) * step.Seconds()
		for ; due >= 1; due-- {
			for _, n := range f.nodes {
				n.sharedState.WithLock(func(state *serve.SharedState) {
					if state.TracksDemand("llm") {
						state.Demand.Record(time.Now(), hotAdapter(name), hotTokens, 1)
					}
				})
			}
		}
		time.Sleep(step)
	}
}

// exchange gives all instances the reports of the holders.
func (f *orderingFleet) exchange() {
	for _, from := range f.nodes {
		residencies := from.heldUpstreams.residencies(time.Now())
		for _, to := range f.nodes {
			to.recordResidencies(time.Now(), residencies)
		}
	}
}

// end ends an instance.
func (f *orderingFleet) end(name string) (left []traffic.Upstream) {
	n := f.nodes[name]
	f.stops[name]()
	f.mutex.Lock()
	delete(f.nodes, name)
	f.mutex.Unlock()
	for _, upstream := range f.upstreams {
		if f.holders[upstream.ID] == name {
			n.stopHolding(upstream.ID)
			left = append(left, upstream)
		}
	}
	return left
}

// stop ends all instances, so that their goroutines end with the test.
func (f *orderingFleet) stop() {
	for name := range f.nodes {
		f.end(name)
	}
	time.Sleep(5 * time.Second)
}

// homesOf are the engines at which the replicas of an adapter belong.
func (f *orderingFleet) homesOf(name string, count int) (list []string) {
	p := &pool.Pool{Settings: pool.DefaultSettings()}
	p.Configure(f.nodes["a"].Table().Configuration.Services)
	for _, upstream := range f.upstreams {
		p.Declare(time.Now(), upstream)
		p.RecordResidency(time.Now(), pool.Residency{Upstream: upstream.ID, Fence: 1, Loaded: []pool.Resident{{Adapter: traffic.Adapter{Model: "m"}, Version: 1}}})
	}
	plan := p.PlanReplicas(time.Now(), pool.ReplicaDemand{Service: "llm", Adapter: hotAdapter(name).Adapter, Rate: 1000, Tokens: 1000})
	for _, next := range plan.Next[:count] {
		list = append(list, next.ID)
	}
	slices.Sort(list)
	return list
}

// hotReplicas is a third of the engines, the most that one adapter gets.
const hotReplicas = orderingEngines / 3

// Guards against a popular adapter that stays at one engine, or is loaded at more than it needs because each instance orders
// replicas of its own.
func TestPopularAdapterGetsItsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newOrderingFleet(t, SwitchOn, "a", "b", "c", "d")
		defer f.stop()
		f.run(2*time.Second, "hot", hotRate)
		is.Equal(f.engines.with("hot"), f.homesOf("hot", hotReplicas))
		f.run(5*time.Second, "hot", hotRate)
		is.Equal(len(f.engines.with("hot")), hotReplicas)
		is.Equal(f.most, 1) // orders of an instance for one adapter at once
		for _, request := range f.requests {
			is.True(request.Replica)
			is.Equal(request.Tokens, 0)
			is.Equal(request.Priority, 1)
			is.True(request.Demand > 0 && request.Demand < 1.5*hotRate) // lower while the first requests are counted
		}
		orders := len(f.requests)
		f.run(2*time.Second, "next", hotRate)
		is.Equal(f.engines.with("next"), f.homesOf("next", hotReplicas))
		f.run(2*time.Second, "", 0)
		for _, request := range f.requests[orders:] {
			is.Equal(request.Adapter.Name, "next") // the demand has moved on
		}
	})
}

// Guards against missing replicas while the holder of the best home is gone: the next upstreams in the ranking take its
// place until the home has another holder.
func TestReplicasAreOrderedElsewhereWhileAHolderIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newOrderingFleet(t, SwitchOn, "a", "b", "c", "d")
		defer f.stop()
		f.run(300*time.Millisecond, "hot", hotRate)
		homes := f.homesOf("hot", hotReplicas)
		gone := f.holders[homes[0]]
		if gone == "a" {
			gone = f.holders[homes[1]]
		}
		left := f.end(gone)
		f.run(3*time.Second, "hot", hotRate)
		is.True(len(f.engines.with("hot")) >= hotReplicas)
		for _, upstream := range left {
			f.hold("a", upstream)
		}
		f.run(3*time.Second, "hot", hotRate)
		is.True(len(f.engines.with("hot")) >= hotReplicas)
		is.True(len(f.engines.with("hot")) <= hotReplicas+1)
	})
}

// Guards against instances that ask all holders in turn, many times a second, for a replica that none has a slot for.
func TestReplicaIsNotOrderedEverywhereWhileSlotsAreScarce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newOrderingFleet(t, SwitchOn, "a", "b")
		defer f.stop()
		f.run(2*time.Second, "hot", hotRate) // one replica is known, and the demand is certain
		var orders atomic.Int32
		for _, n := range f.nodes {
			n.replicas.prepare = func(context.Context, mesh.PrepareRequest) mesh.PrepareResult {
				orders.Add(1)
				return mesh.Busy{}
			}
		}
		for _, upstream := range f.upstreams { // what was loaded is gone
			for _, n := range f.nodes {
				n.sharedState.WithLock(func(state *serve.SharedState) {
					state.Pool.RecordMissingAdapter(upstream.ID, hotAdapter("hot").Adapter)
				})
			}
		}
		for range 300 {
			for _, n := range f.nodes {
				n.sharedState.WithLock(func(state *serve.SharedState) {
					state.Demand.Record(time.Now(), hotAdapter("hot"), hotTokens, 1)
				})
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(orders.Load() > 0)
		is.True(int(orders.Load()) <= 4*len(f.nodes)) // in three seconds, one a second from each instance
	})
}

// Guards against replicas in deployments that do not call for them.
func TestNoReplicasWhereContentionIsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newOrderingFleet(t, SwitchOff, "a", "b")
		defer f.stop()
		f.run(3*time.Second, "hot", hotRate)
		is.Equal(len(f.requests), 0)
		is.Equal(len(f.engines.with("hot")), 0)
	})
}

// Guards against a replica that is loaded at an upstream which takes few requests or none, by an instance that does not
// know that, and against one that waits for a prefill turn or for the room of a request.
func TestHolderRefusesReplicasWhereRequestsCannotGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newOrderingFleet(t, SwitchOn, "a")
		defer f.stop()
		request := mesh.PrepareRequest{
			Upstream: "engine00", Adapter: hotAdapter("hot").Adapter, MaxWait: time.Second, OnTime: time.Second, Tokens: 1000, Replica: true,
		}
		held := f.nodes["a"].heldUpstreams.get("engine00")
		is.Equal(held.prepare(t.Context(), request), mesh.Loaded{Version: 1})
		is.Equal(held.prefillQueue.QueuedTokens(), 0)
		f.nodes["a"].sharedState.WithLock(func(state *serve.SharedState) {
			draining := f.upstreams[0]
			draining.Draining = true
			state.Pool.Declare(time.Now(), draining)
		})
		_, refused := held.prepare(t.Context(), request).(mesh.Busy)
		is.True(refused)
	})
}
