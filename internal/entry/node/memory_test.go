package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

const boundedMemory = 10_000

// boundedNodes returns the holder of an engine and another instance.
func boundedNodes(t *testing.T, bounded bool) (holder, asking *Node, scope tally.TestScope) {
	t.Helper()
	nodes := make([]*Node, 2)
	for i := range nodes {
		nodes[i] = nodeWithPeers(t, 3, nil)
		p := nodes[i].sharedState.Pool
		p.Configure(map[string]traffic.Service{
			"s": {Name: "s", Engine: &traffic.Engine{BatchSlots: 64, AdapterSlots: 4, MemoryTokens: boundedMemory}},
		})
		p.Declare(time.Now(), traffic.Upstream{ID: "u", Service: "s", BatchSlots: 64, StartedMillis: 1})
		nodes[i].setHolder(t, "u", "peer0", 100)
		p.Settings.BoundMemory = bounded // not before, as a new holder gets a report
	}
	holder, asking = nodes[0], nodes[1]
	holder.self.Name, asking.self.Name = "peer0", "peer1"
	scope = tally.NewTestScope("", nil)
	holder.scope = scope
	held := heldUpstreamAt("127.0.0.1:1")
	held.node, held.plain, held.hasReport = holder, true, true
	holder.heldUpstreams.byID["u"] = held
	holder.sharedState.Pool.SetHeld("u", true)
	return holder, asking, scope
}

// ask has an instance ask the holder for a request, and begins it if it is admitted.
func ask(t *testing.T, holder, asking *Node, tokens int) (prepared mesh.PrepareResult, attempt *pool.Attempt) {
	t.Helper()
	p := asking.sharedState.Pool
	query := pool.Query{Service: "s", Adapter: traffic.Adapter{Model: "m"}, Tokens: tokens}
	choice, err := p.Choose(time.Now(), query)
	if err != nil {
		return mesh.Busy{}, nil
	}
	if choice.MightNotFit {
		choice.Memory = p.AskMemory(time.Now(), "u", query)
	}
	request := asking.withSender(mesh.PrepareRequest{Upstream: "u", MaxWait: time.Second, OnTime: time.Second, Memory: choice.Memory})
	prepared = holder.heldUpstreams.get("u").prepare(t.Context(), request)
	if _, admitted := prepared.(mesh.Loaded); admitted {
		p.RecordMemoryGrant(time.Now(), choice.Memory.Ask)
		return prepared, p.Begin(time.Now(), choice, query)
	}
	p.GiveUpMemory(choice.Memory.Ask)
	return prepared, nil
}

// Guards against a holder that admits more than the memory of its engine, from itself or from another instance, and against
// memory that is not given back.
func TestHolderBoundsTheMemoryOfItsEngine(t *testing.T) {
	for _, own := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			holder, asking, scope := boundedNodes(t, true)
			time.Sleep(5 * time.Second) // the holder is not new any more
			if own {
				asking = holder
			}
			var attempts []*pool.Attempt
			for range 4 {
				prepared, attempt := ask(t, holder, asking, 2000)
				is.Equal(prepared, mesh.Loaded{})
				attempts = append(attempts, attempt)
			}
			prepared, _ := ask(t, holder, asking, 2000)
			_, busy := prepared.(mesh.Busy)
			is.True(busy)
			is.Equal(scope.Snapshot().Counters()["memory_refusals+kind=full"].Value(), int64(1))
			holder.updateMemory(time.Now())
			is.Equal(scope.Snapshot().Gauges()["upstream_memory_used+upstream=u"].Value(), 0.8)
			asking.sharedState.Pool.Finish(time.Now(), attempts[0], pool.EndServed)
			if !own {
				holder.Report(asking.loadReport("peer0"))
			}
			time.Sleep(time.Second)
			prepared, _ = ask(t, holder, asking, 2000)
			is.Equal(prepared, mesh.Loaded{})
			holder.sharedState.Pool.SetHeld("u", false)
			holder.updateMemory(time.Now())
			is.Equal(scope.Snapshot().Gauges()["upstream_memory_used+upstream=u"].Value(), 0.0) // the next holder shows it
		})
	}
}

// Guards against a new holder that fills the memory of its engine before it knows what is in flight there.
func TestNewHolderAdmitsUpToHalfTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder, asking, _ := boundedNodes(t, true)
		holder.updateMemory(time.Now())
		holder.sharedState.Pool.SetHeld("u", false)
		holder.sharedState.Pool.SetHeld("u", true)
		prepared, _ := ask(t, holder, asking, 4000)
		is.Equal(prepared, mesh.Loaded{})
		prepared, _ = ask(t, holder, asking, 4000)
		is.Equal(prepared, mesh.NotHolder{})
		time.Sleep(time.Second)
		prepared, _ = ask(t, holder, asking, 4000)
		is.Equal(prepared, mesh.Loaded{})
	})
}

// Guards against questions and messages where memory is not bounded.
func TestUnboundedMemoryIsNotAskedFor(t *testing.T) {
	is := is.New(t)
	holder, asking, scope := boundedNodes(t, false)
	for range 10 {
		prepared, _ := ask(t, holder, asking, 2000)
		is.Equal(prepared, mesh.Loaded{})
	}
	report := asking.loadReport("peer0")
	is.Equal(report.Memory, pool.MemoryStatement{})
	holder.Report(report)
	holder.updateMemory(time.Now())
	is.Equal(len(scope.Snapshot().Gauges()), 0)
}

// Guards against a bound that a reload does not switch.
func TestReloadSwitchesTheMemoryBound(t *testing.T) {
	is := is.New(t)
	n := &Node{Settings: Settings{Memory: MemorySettings{UpstreamBound: SwitchOn}}}
	n.assembleSharedState()
	is.True(n.sharedState.Pool.Settings.BoundMemory)
	n.current.Store(&n.Settings)
	n.ApplySettings = func(Settings) {}
	n.ReloadSettings = func() (Settings, error) { return Settings{Memory: MemorySettings{UpstreamBound: SwitchOff}}, nil }
	n.reload(false)
	is.True(!n.sharedState.Pool.Settings.BoundMemory)
}
