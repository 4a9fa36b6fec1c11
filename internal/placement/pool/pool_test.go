package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

const (
	engines  = "engines"
	services = "services"
	model    = "base"
)

func newPool(names ...string) *pool.Pool {
	settings := pool.DefaultSettings()
	settings.DataCentre = "here"
	p := &pool.Pool{Settings: settings}
	p.Configure(map[string]traffic.Service{
		engines:  {Name: engines, Engine: &traffic.Engine{BatchSlots: 64, MemoryTokens: 100_000, AdapterSlots: 5}},
		services: {Name: services, MaxConnections: 100},
	})
	for _, name := range names {
		declare(p, name, func(*traffic.Upstream) {})
	}
	return p
}

// declare adds an upstream. Names that begin with s are plain services.
func declare(p *pool.Pool, name string, change func(*traffic.Upstream)) {
	u := traffic.Upstream{ID: name, Service: engines, Address: "10.0.0.1:1", DataCentre: "here", BatchSlots: 64, StartedMillis: 1}
	if name[0] == 's' {
		u.Service = services
		u.BatchSlots = 6
	}
	change(&u)
	p.Declare(time.Now(), u)
}

func resident(p *pool.Pool, upstream string, adapters ...string) {
	residency := pool.Residency{Upstream: upstream, Fence: 1, FreeSlots: 5 - len(adapters)}
	residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: traffic.Adapter{Model: model}, Version: 1})
	for _, name := range adapters {
		residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: adapter(name), Version: 1})
	}
	p.RecordResidency(time.Now(), residency)
}

func adapter(name string) traffic.Adapter { return traffic.Adapter{Model: model, Name: name} }

func generation(name string) pool.Query {
	return pool.Query{Service: engines, Adapter: adapter(name), Tokens: 2400, Output: 40}
}

func plain() pool.Query { return pool.Query{Service: services} }

// place chooses an upstream for a request and counts it as in flight.
func place(is *is.I, p *pool.Pool, query pool.Query) (pool.Choice, *pool.Attempt) {
	is.Helper()
	choice, err := p.Choose(time.Now(), query)
	is.NoErr(err)
	return choice, p.Begin(time.Now(), choice, query)
}

// Guards against a needless load: an adapter is loaded at one of three upstreams, and at any other the request
// would wait for a load.
func TestLoadedAdapterIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2", "e3")
		for _, name := range []string{"e1", "e2", "e3"} {
			resident(p, name)
		}
		resident(p, "e2", "a")
		for range 3 {
			choice, _ := place(is, p, generation("a"))
			is.Equal(choice.Upstream.ID, "e2")
			is.True(choice.Loaded)
		}
	})
}

// Guards against late answers for one adapter with a flood of requests. They would queue at the one upstream that
// has it although others are idle; from some queue length on, a second copy costs less.
func TestHotAdapterSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2", "e3")
		for _, name := range []string{"e1", "e2", "e3"} {
			resident(p, name)
		}
		resident(p, "e1", "a")
		used := map[string]int{}
		for range 30 {
			choice, _ := place(is, p, generation("a"))
			used[choice.Upstream.ID]++
			is.True(choice.Expected < 4*time.Second)
		}
		is.Equal(len(used), 3)
	})
}

// Guards against loading rarely used adapters at a new upstream each time. Their requests arrive at any instance.
// If each choice went to the least loaded upstream, no upstream would have a copy when the adapter is requested
// again.
func TestColdAdapterHasAHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		names := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
		homes := map[string]bool{}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			first := ""
			for range 3 { // three instances that do not communicate
				p := newPool(names...)
				for _, upstream := range names {
					resident(p, upstream)
				}
				choice, _ := place(is, p, generation(name))
				if first == "" {
					first = choice.Upstream.ID
				}
				is.Equal(choice.Upstream.ID, first)
			}
			homes[first] = true
		}
		is.True(len(homes) >= 3) // the homes are distributed
	})
}

// One of three upstreams becomes slow while its health check passes. Requests that continue to go there are late;
// without any, its recovery would never be noticed.
func TestSlowUpstreamGetsLittleUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1", "s2", "s3")
		slowFor := 12 * time.Second
		start := time.Now()
		used := map[string]int{}
		recovered := 0
		for i := range 400 {
			choice, attempt := place(is, p, plain())
			took := 30 * time.Millisecond
			if choice.Upstream.ID == "s1" && time.Since(start) < slowFor {
				took *= 10
			}
			time.Sleep(took)
			attempt.RecordAnswer(time.Now())
			p.Finish(time.Now(), attempt, pool.EndServed)
			time.Sleep(20 * time.Millisecond)
			if time.Since(start) < slowFor {
				used[choice.Upstream.ID]++
			} else if choice.Upstream.ID == "s1" && i > 300 {
				recovered++
			}
		}
		is.True(used["s1"] < (used["s2"]+used["s3"])/4)
		is.True(recovered > 0)
	})
}

// Guards against an upstream that fails half of its requests and passes its health check. A request that may not be
// repeated is lost there.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1", "s2", "s3")
		used := map[string]int{}
		for i := range 200 {
			choice, attempt := place(is, p, plain())
			time.Sleep(30 * time.Millisecond)
			attempt.RecordAnswer(time.Now())
			end := pool.EndServed
			if choice.Upstream.ID == "s1" && i%2 == 0 {
				end = pool.EndFailed
			}
			p.Finish(time.Now(), attempt, end)
			used[choice.Upstream.ID]++
		}
		is.True(used["s1"] < 40)
	})
}

// An upstream has crashed and its entry still exists. Each request sent to it costs a connection and a retry. It is
// tried again shortly after, as it may only have restarted.
func TestUnreachableUpstreamIsSkippedDuringBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1")
		_, attempt := place(is, p, plain())
		p.Finish(time.Now(), attempt, pool.EndUnreachable)
		_, err := p.Choose(time.Now(), plain())
		is.Equal(err, pool.ErrNoUpstream)
		time.Sleep(2 * time.Second)
		_, err = p.Choose(time.Now(), plain())
		is.NoErr(err)
	})
}

// One upstream is draining, and another's address now belongs to a new incarnation. The first gets no new requests,
// and the state of the old incarnation does not apply to the new one.
func TestLeavingAndRestartedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		resident(p, "e2")
		declare(p, "e1", func(u *traffic.Upstream) { u.Draining = true })
		choice, _ := place(is, p, generation("a"))
		is.Equal(choice.Upstream.ID, "e2")
		is.True(!choice.Loaded)
		declare(p, "e1", func(u *traffic.Upstream) { u.StartedMillis = 2 })
		choice, _ = place(is, p, generation("a"))
		is.True(!choice.Loaded)
	})
}

// Guards against an upstream that starts to drain while a request waits for an adapter there. Sent there after the
// wait, the request could be cut off when the upstream stops.
func TestChoiceIsCheckedWhenItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		choice, _ := place(is, p, generation("a"))
		is.True(p.IsChoiceValid(time.Now(), choice.Upstream))
		declare(p, "e1", func(u *traffic.Upstream) { u.Draining = true })
		is.True(!p.IsChoiceValid(time.Now(), choice.Upstream))
		declare(p, "e1", func(u *traffic.Upstream) { u.StartedMillis = 2 })
		is.True(!p.IsChoiceValid(time.Now(), choice.Upstream))
		p.Remove(time.Now(), "e1")
		is.True(!p.IsChoiceValid(time.Now(), choice.Upstream))
	})
}

// Guards against too many connections in a burst of calls. An upstream limits the connections from all instances,
// and resets those above the limit; calls that may not be repeated would be lost. They are refused before they are
// sent.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1")
		var last *pool.Attempt
		for range 10 {
			_, last = place(is, p, plain())
		}
		_, err := p.Choose(time.Now(), plain())
		is.Equal(err, pool.ErrNoUpstream)
		p.Finish(time.Now(), last, pool.EndServed)
		_, err = p.Choose(time.Now(), plain())
		is.NoErr(err)
	})
}

// Guards against an instance that has nearly all callers and refuses them, because it may use only its own share of the connections
// that an upstream accepts; and against one that takes what the others may be using.
func TestUnusedConnectionsAreLent(t *testing.T) {
	const limit, share, others = 100, 10, 6
	for _, c := range []struct {
		name string
		know func(p *pool.Pool)
		want int
	}{
		{"nothing is known of the others", func(*pool.Pool) {}, share},
		{"the holder reports that they use none", func(p *pool.Pool) { p.RecordHolderLoad(time.Now(), "s1", pool.Load{}) }, limit - others*share},
		{"the holder reports that they use some", func(p *pool.Pool) { p.RecordHolderLoad(time.Now(), "s1", pool.Load{Running: 30}) }, limit/2 - 30},
		{"the holder reports that they use most", func(p *pool.Pool) { p.RecordHolderLoad(time.Now(), "s1", pool.Load{Running: 60}) }, share},
		{"the report is old", func(p *pool.Pool) {
			p.RecordHolderLoad(time.Now(), "s1", pool.Load{})
			time.Sleep(time.Second)
		}, share},
		{"this instance is the holder", func(p *pool.Pool) { p.SetHeld("s1", true) }, limit - others*share},
		{"this instance is the holder, and others use some", func(p *pool.Pool) {
			p.SetHeld("s1", true)
			p.RecordPeerReport(time.Now(), "i2", map[string]pool.Load{"s1": {Running: 30}})
		}, limit/2 - 30},
		{"this instance was the holder", func(p *pool.Pool) {
			p.SetHeld("s1", true)
			p.SetHeld("s1", false)
		}, share},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool("s1")
				p.Settings.LiveInstances = others + 1
				c.know(p)
				begun := 0
				for ; begun < limit; begun++ {
					choice, err := p.Choose(time.Now(), plain())
					if err != nil {
						break
					}
					p.Begin(time.Now(), choice, plain())
				}
				is.Equal(begun, c.want)
			})
		})
	}
}

// Guards against a replaced holder that resumes and reports outdated residents. Its successor has evicted the
// adapter since, and requests sent because of the old report would be refused.
func TestEarlierHoldersWordIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 7})
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 3, Loaded: []pool.Resident{{Adapter: adapter("a"), Version: 1}}})
		choice, _ := place(is, p, generation("a"))
		is.True(!choice.Loaded)
	})
}

// A newer version of an adapter is required. An upstream that still has the older one would answer with the wrong
// weights.
func TestOlderVersionDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e2", Fence: 1, FreeSlots: 4, Loaded: []pool.Resident{
			{Adapter: traffic.Adapter{Model: model}, Version: 1}, {Adapter: adapter("a"), Version: 2},
		}})
		query := generation("a")
		query.Version = 2
		for range 3 {
			choice, _ := place(is, p, query)
			is.Equal(choice.Upstream.ID, "e2")
		}
	})
}

// Guards against instances that count only their own requests. When bursts arrive at all instances at once, such an
// instance sends all of its requests to the upstream that the others have filled.
func TestLoadsOfOtherInstancesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		resident(p, "e2", "a")
		p.RecordPeerLoads(time.Now(), "peer", map[string]pool.Load{"e1": {Running: 20, PromptTokens: 30_000, MemoryTokens: 60_000}})
		choice, _ := place(is, p, generation("a"))
		is.Equal(choice.Upstream.ID, "e2")
		time.Sleep(5 * time.Second) // the peer is gone, and its requests with it
		used := map[string]bool{}
		for range 4 {
			choice, _ = place(is, p, generation("a"))
			used[choice.Upstream.ID] = true
		}
		is.True(used["e1"])
	})
}

// Guards against decisions on old heartbeats. In a fleet of eighty, instances learn of each other's requests every
// two seconds. A popular adapter is loaded at two upstreams. All instances saw the first one idle at their last
// heartbeat and send there, and callers wait while the second is idle. The holder's newer report takes precedence
// over older heartbeats.
func TestHolderReportOverridesOldHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		p.Settings.HeartbeatInterval = 2 * time.Second
		p.Settings.HolderLoadTTL = 2 * time.Second
		p.Settings.PeerLoadTTL = 3 * time.Second
		resident(p, "e1", "a")
		resident(p, "e2", "a")
		p.RecordPeerLoads(time.Now(), "peer", map[string]pool.Load{"e2": {Running: 9, PromptTokens: 9000, MemoryTokens: 9000}})
		time.Sleep(time.Second)
		query := generation("a")
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e1")
		is.True(choice.LoadStale)
		p.RecordHolderLoad(time.Now(), "e1", pool.Load{Running: 30, PromptTokens: 40_000, MemoryTokens: 60_000})
		p.RecordHolderLoad(time.Now(), "e2", pool.Load{})
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2")
		is.True(!choice.LoadStale)
		time.Sleep(400 * time.Millisecond)
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.LoadStale) // more requests have come since
	})
}

// Guards against asking the holder too often or too rarely when requests arrive in quick succession. If each
// request asked the holder of the same upstream again, the queries would be most of the traffic between instances.
// If none did, all would be sent to an upstream that was idle a quarter of a second ago.
func TestFreshReportIsNotRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		resident(p, "e1", "a")
		time.Sleep(time.Minute)
		choice, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.True(choice.LoadStale)
		p.RecordHolderLoad(time.Now(), "e1", pool.Load{})
		for range 3 {
			choice, _ = place(is, p, generation("a"))
			is.True(!choice.LoadStale)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		choice, err = p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.True(choice.LoadStale)
	})
}

// Guards against an older report that arrives through relays after the holder's own answer: an adapter that has
// just been loaded would look missing, and be fetched for another upstream.
func TestOlderResidencyIsDropped(t *testing.T) {
	is := is.New(t)
	p := newPool("e1")
	learn := func(fence, version int64, adapters ...string) {
		residency := pool.Residency{Upstream: "e1", Fence: fence, Version: version}
		for _, name := range adapters {
			residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: adapter(name)})
		}
		p.RecordResidency(time.Now(), residency)
	}
	loaded := func() bool {
		choice, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		return choice.Loaded
	}
	learn(5, 200, "a")
	is.True(loaded())
	learn(5, 100)
	is.True(loaded())
	learn(5, 300)
	is.True(!loaded())
	learn(6, 1, "a") // versions start again with another holder
	is.True(loaded())
}

// The holder returns the load of the other instances to the instance that asks, which counts its own requests
// itself.
func TestTotalExcludingLeavesOutTheAsker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		p.RecordPeerLoads(time.Now(), "asker", map[string]pool.Load{"e1": {Running: 5, PromptTokens: 500}})
		p.RecordPeerLoads(time.Now(), "other", map[string]pool.Load{"e1": {Running: 2, PromptTokens: 200}})
		is.Equal(p.TotalExcluding(time.Now(), "e1", "asker"), pool.Load{Running: 2, PromptTokens: 200})
		is.Equal(p.TotalExcluding(time.Now(), "gone", "asker"), pool.Load{})
	})
}

// Guards against counting requests instead of tokens: long and short prompts arrive together at full load, and the
// short ones would queue behind the long ones.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		resident(p, "e2", "a")
		long := generation("a")
		long.Tokens = 12_000
		first, _ := place(is, p, long)
		short := generation("a")
		short.Tokens = 600
		for i := range 5 {
			choice, _ := place(is, p, short)
			if choice.Upstream.ID == first.Upstream.ID {
				t.Fatalf("short request %d was sent to the upstream with the long one", i)
			}
		}
	})
}

// Guards against a request that was in flight at two crashes: other requests beside it would be lost at the third.
func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2", "e3")
		for _, name := range []string{"e1", "e2", "e3"} {
			resident(p, name, "a")
		}
		busy := map[string]bool{}
		for range 2 {
			choice, _ := place(is, p, generation("a"))
			busy[choice.Upstream.ID] = true
		}
		query := generation("a")
		query.Alone = true
		choice, _ := place(is, p, query)
		is.True(!busy[choice.Upstream.ID])
	})
}

// Guards against requests to upstreams that the holder cannot reach. A rack of upstreams fails, with the adapters
// that are requested. Their entries remain for some seconds. Each instance would send requests there one after the
// other, and each of these would wait until it is late. The holder, which cannot reach them either, has reported
// it.
func TestAwayUpstreamsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		resident(p, "e2")
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 1, Unreachable: true})
		choice, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2")
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e2", Fence: 1, Unreachable: true})
		_, err = p.Choose(time.Now(), generation("a"))
		is.Equal(err, pool.ErrNoUpstream) // refused at once: no upstream could serve it
		resident(p, "e1", "a")
		choice, err = p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e1") // available again as soon as the holder reports it
		time.Sleep(time.Second)
		query := generation("a")
		query.Exclude = []string{"e1"}
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2") // the last report has expired; the holder may be gone
	})
}

// Guards against excluding an upstream that only its holder cannot reach. The other instances reach it and get
// answers; if the holder's report overrode these, a working service would look unavailable.
func TestOwnAnswersGoBeforeTheHoldersWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		resident(p, "e1", "a")
		_, attempt := place(is, p, generation("a"))
		p.Finish(time.Now(), attempt, pool.EndServed)
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 1, Unreachable: true})
		_, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
	})
}

// Guards against a popular adapter whose requests all wait at the one engine that has it until they are late, while
// the next engine is idle: a fetch has a cost to others, but a smaller one.
func TestPopularAdapterGetsACopyBeforeItsCallersAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2", "e3")
		resident(p, "e1", "a")
		resident(p, "e2")
		resident(p, "e3")
		query := generation("a")
		query.Objective = time.Second
		query.OnTime = time.Second
		for {
			choice, _ := place(is, p, query)
			if choice.Upstream.ID != "e1" {
				break
			}
			is.True(choice.Expected < 700*time.Millisecond) // forecasts are off by some tenths
		}
	})
}

// Guards against an engine that looks idle while many requests wait for their adapter there. A popular adapter is
// loaded at one engine; all requests for it wait there, and are sent to it at the same moment, because each of
// them, and the other instances, saw the engine as idle.
func TestPromptsThatAwaitTheirAdapterAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, holder := newPool("e1", "e2"), newPool("e1", "e2")
		loading := pool.Residency{Upstream: "e1", Fence: 1, Loaded: []pool.Resident{
			{Adapter: traffic.Adapter{Model: model}, Version: 1}, {Adapter: adapter("a"), Version: 1, InTransit: true},
		}}
		p.RecordResidency(time.Now(), loading)
		resident(p, "e2")
		var waiting []pool.Preparation
		for {
			choice, err := p.Choose(time.Now(), generation("a"))
			is.NoErr(err)
			if choice.Upstream.ID != "e1" {
				break
			}
			is.True(len(waiting) < 8)
			waiting = append(waiting, p.Prepare("e1", generation("a").Tokens))
		}
		all := func(string) bool { return true }
		holder.RecordPeerReport(time.Now(), "i", p.Report(all))
		is.Equal(holder.Total(time.Now(), "e1").AwaitingTokens, len(waiting)*generation("a").Tokens)
		for _, one := range waiting {
			one.Done()
		}
		holder.RecordPeerReport(time.Now(), "i", p.Report(all))
		is.Equal(holder.Total(time.Now(), "e1"), pool.Load{})
	})
}

// Guards against two faults of one cost for all fetches. With free slots, requests would queue for a popular
// adapter that another upstream could load. Without any, copies of it would evict adapters that are requested the
// next moment.
func TestFetchCostsMoreWhereSlotsAreScarce(t *testing.T) {
	queued := func(is *is.I, idle int) (count int) {
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		residency := pool.Residency{Upstream: "e2", Fence: 1, FreeSlots: idle}
		residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: traffic.Adapter{Model: model}, Version: 1})
		p.RecordResidency(time.Now(), residency)
		query := generation("a")
		query.Tokens = 600
		for {
			choice, _ := place(is, p, query)
			if choice.Upstream.ID != "e1" {
				return count
			}
			count++
		}
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		spare, scarce := queued(is, 5), queued(is, 0)
		is.True(spare > 0)
		is.True(scarce >= spare+8) // ten of these prompts take as long as a load
	})
}
