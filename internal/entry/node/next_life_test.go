package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

var usedAdapter = traffic.Adapter{Model: "m", Name: "a"}

// entries decodes the entry of an upstream: its only byte is its start.
type entries struct{ Decoder }

func (entries) UpstreamID(key string) (string, bool) { return key, true }

func (entries) Decode(_ string, value []byte) (traffic.Declaration, error) {
	return upstreamOfLife(int64(value[0])), nil
}

func upstreamOfLife(started int64) traffic.Upstream {
	return traffic.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Software: "v1", StartedMillis: started}
}

func reportOfLife(started int64, adapters ...traffic.LoadedAdapter) residence.Report {
	return residence.Report{Born: started, Sequence: int64(len(adapters)), Models: []traffic.LoadedModel{{Name: "m", Version: 1, Adapters: adapters}}}
}

// holderOfLife returns the holder of an upstream whose life 7 has the adapter loaded.
func holderOfLife(t *testing.T) *heldUpstream {
	t.Helper()
	h := heldUpstreamAt("127.0.0.1:1")
	h.stop = func() {}
	n := h.node
	n.Decoder = entries{}
	n.view.wake = make(chan struct{}, 1)
	engine := traffic.Engine{AdapterSlots: 2}
	services := map[string]traffic.Service{"s": {Name: "s", Engine: &engine}}
	n.view.table.Store(traffic.NewTable(traffic.Configuration{Services: services}))
	n.sharedState.Pool.Configure(services)
	n.overlay.initialise("self")
	h.planner.Engine = engine
	h.upstream = upstreamOfLife(7)
	n.sharedState.Pool.Declare(time.Now(), h.upstream)
	n.heldUpstreams.byID["u"] = h
	n.Orders = statingOrders{report: reportOfLife(7, traffic.LoadedAdapter{Name: "a", Version: 1})}
	h.fetchReport(t.Context())
	return h
}

// isLoadedAt reports whether a pool takes the adapter for loaded, and the life that it would send requests to.
func isLoadedAt(p *pool.Pool) (loaded bool, started int64) {
	choice, err := p.Choose(time.Now(), pool.Query{Service: "s", Adapter: usedAdapter, OnTime: time.Second})
	return err == nil && choice.Loaded, choice.Upstream.StartedMillis
}

// Guards against an upstream that is not used any more after it has ended and started again under its ID while the store is away: its entry names
// the life that has ended, all instances go on to take its adapters for loaded, and its holder waits for a report of that life.
func TestHolderGoesOnWithTheNextLifeOfItsUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		report  residence.Report
		loaded  bool
		started int64
		crashes int
	}{
		{"the same life", reportOfLife(7, traffic.LoadedAdapter{Name: "a", Version: 1}), true, 7, 0},
		{"a later life", reportOfLife(8), false, 8, 1},
		{"a later life that has loaded the adapter", reportOfLife(8, traffic.LoadedAdapter{Name: "a", Version: 1}), true, 8, 1},
		{"an earlier life", reportOfLife(6), true, 7, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := holderOfLife(t)
			state := h.node.sharedState
			state.Suspects.RecordUnfinished(time.Now(), h.upstream.Life(), suspect.Attempt{CallID: "r", Fingerprint: "f", Began: time.Now()})
			h.node.Orders = statingOrders{report: c.report}
			for range 2 {
				h.fetchReport(t.Context())
			}
			loaded, started := isLoadedAt(state.Pool)
			is.Equal(loaded, c.loaded)
			is.Equal(started, c.started)
			is.Equal(h.upstream.StartedMillis, c.started)
			is.Equal(state.Suspects.Crashes("f"), c.crashes)
		})
	}
}

// Guards against requests that wait for an adapter at an upstream until its entry names its next life, and against orders that count what the life
// before had accepted.
func TestNextLifeLoadsWhatIsWaitedFor(t *testing.T) {
	is := is.New(t)
	h := holderOfLife(t)
	now := time.Now()
	h.planner.AddWaiter(now, residence.Request{Adapter: usedAdapter, OnTimeUntil: now.Add(time.Second)})
	h.node.Orders = statingOrders{report: reportOfLife(8)}
	h.fetchReport(t.Context())
	_, ordered := h.next().(residence.SendOrder)
	is.True(!ordered) // until a second report agrees
	time.Sleep(310 * time.Millisecond)
	_, fetches := h.next().(residence.FetchReport)
	is.True(fetches)
	h.fetchReport(t.Context())
	step, ordered := h.next().(residence.SendOrder)
	is.True(ordered)
	is.Equal(step.Order, residence.Order{Adapter: usedAdapter})
}

// Guards against a holding that starts anew, and forgets what it knows and who waits, when the entry arrives for the life that it has gone on with.
func TestEntryOfALifeThatIsKnownChangesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		entry   int64
		kept    bool
		started int64
	}{
		{"of the life that has ended", 7, true, 8},
		{"of the life that is known", 8, true, 8},
		{"of a still later life", 9, false, 9},
		{"of another life that started earlier, as clocks are set back", 5, false, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := holderOfLife(t)
			n := h.node
			n.Orders = statingOrders{report: reportOfLife(8)}
			h.fetchReport(t.Context())
			n.applyUpstream("u", replica.Item{Key: "u", Value: []byte{byte(c.entry)}})
			declared, _ := n.declaredUpstream("u")
			is.Equal(declared.StartedMillis, c.started)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			n.startHolding(ctx, declared, roster.Holder{Fence: h.fence})
			is.Equal(n.heldUpstreams.get("u") == h, c.kept)
		})
	}
}

// Guards against instances that send requests to what the holder knows to be gone, and count the crashes of two lives as one.
func TestOthersLearnTheNextLifeFromTheHolder(t *testing.T) {
	is := is.New(t)
	holder, other := holderOfLife(t), holderOfLife(t).node
	state := other.sharedState
	state.Suspects.RecordUnfinished(time.Now(), upstreamOfLife(7).Life(), suspect.Attempt{CallID: "r", Fingerprint: "f", Began: time.Now()})
	send := func() {
		content, err := mesh.EncodeHeld(holder.node.heldReport(time.Now(), holder.node.heldUpstreams.residencies(time.Now())))
		is.NoErr(err)
		other.applyRecord(time.Now(), gossip.Record{Instance: "holder", Part: gossip.PartHeld, Content: content}, true)
	}
	send()
	loaded, started := isLoadedAt(state.Pool)
	is.True(loaded)
	is.Equal(started, int64(7))
	before := holder.node.heldUpstreams.residencies(time.Now())
	holder.node.Orders = statingOrders{report: reportOfLife(8)}
	holder.fetchReport(t.Context())
	send()
	loaded, started = isLoadedAt(state.Pool)
	is.True(!loaded)
	is.Equal(started, int64(8))
	is.Equal(state.Suspects.Crashes("f"), 1)
	for _, residency := range before { // arrives late, through a relay
		residency.Version += time.Hour.Microseconds()
		state.Pool.RecordResidency(time.Now(), residency)
	}
	loaded, _ = isLoadedAt(state.Pool)
	is.True(!loaded)
}
