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
		engines:  {Name: engines, Engine: &traffic.Engine{BatchPlaces: 64, MemoryTokens: 100_000, AdapterPlaces: 5}},
		services: {Name: services, MaxConnections: 100},
	})
	for _, name := range names {
		declare(p, name, func(*traffic.Upstream) {})
	}
	return p
}

// declare adds an upstream: names that begin with s are plain services.
func declare(p *pool.Pool, name string, change func(*traffic.Upstream)) {
	u := traffic.Upstream{ID: name, Service: engines, Address: "10.0.0.1:1", DataCentre: "here", Places: 64, Born: 1}
	if name[0] == 's' {
		u.Service = services
		u.Places = 6
	}
	change(&u)
	p.Declare(time.Now(), u)
}

func resident(p *pool.Pool, upstream string, adapters ...string) {
	residency := pool.Residency{Upstream: upstream, Fence: 1, Idle: 5 - len(adapters)}
	residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: traffic.Adapter{Model: model}, Version: 1})
	for _, name := range adapters {
		residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: adapter(name), Version: 1})
	}
	p.LearnResidency(time.Now(), residency)
}

func adapter(name string) traffic.Adapter { return traffic.Adapter{Model: model, Name: name} }

func generation(name string) pool.Query {
	return pool.Query{Service: engines, Adapter: adapter(name), Tokens: 2400, Output: 40}
}

func plain() pool.Query { return pool.Query{Service: services} }

// place chooses for a request and counts it as under way.
func place(is *is.I, p *pool.Pool, query pool.Query) (pool.Choice, *pool.Send) {
	is.Helper()
	choice, err := p.Choose(time.Now(), query)
	is.NoErr(err)
	return choice, p.Begin(time.Now(), choice, query)
}

// An adapter is loaded at one of three upstreams. Anywhere else the request would wait for a load.
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

// One adapter gets a flood of requests. Behind the one upstream that has it they would be late, though
// others are idle; past some queue a second copy is cheaper.
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

// Cold adapters come once in a while, from any instance. If each choice went wherever it is quiet, no
// upstream would have a copy when the adapter comes again.
func TestColdAdapterHasAHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		names := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
		homes := map[string]bool{}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			first := ""
			for range 3 { // three instances that know nothing of each other
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
		is.True(len(homes) >= 3) // and the homes are spread
	})
}

// One of three upstreams turns slow while its health check is good. Requests that go on to it are late;
// with none at all its recovery would never be seen.
func TestSlowUpstreamGetsLittleUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1", "s2", "s3")
		slowFor := 12 * time.Second
		start := time.Now()
		used := map[string]int{}
		recovered := 0
		for i := range 400 {
			choice, send := place(is, p, plain())
			took := 30 * time.Millisecond
			if choice.Upstream.ID == "s1" && time.Since(start) < slowFor {
				took *= 10
			}
			time.Sleep(took)
			send.Answered(time.Now())
			p.Finish(time.Now(), send, pool.EndServed)
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

// An upstream fails half of its requests and passes its health check. A caller whose request may not be
// repeated loses it there.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1", "s2", "s3")
		used := map[string]int{}
		for i := range 200 {
			choice, send := place(is, p, plain())
			time.Sleep(30 * time.Millisecond)
			send.Answered(time.Now())
			end := pool.EndServed
			if choice.Upstream.ID == "s1" && i%2 == 0 {
				end = pool.EndFailed
			}
			p.Finish(time.Now(), send, end)
			used[choice.Upstream.ID]++
		}
		is.True(used["s1"] < 40)
	})
}

// An upstream has crashed and its entry is still there. Each request sent to it costs a connection and a
// retry; it is tried again shortly, as it may only have restarted.
func TestUnreachableUpstreamIsLeftOutForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1")
		_, send := place(is, p, plain())
		p.Finish(time.Now(), send, pool.EndUnreachable)
		_, err := p.Choose(time.Now(), plain())
		is.Equal(err, pool.ErrNone)
		time.Sleep(2 * time.Second)
		_, err = p.Choose(time.Now(), plain())
		is.NoErr(err)
	})
}

// An upstream is leaving, and another's address now belongs to a new incarnation. The first gets nothing
// new; what was known of the old incarnation does not hold for the new.
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
		declare(p, "e1", func(u *traffic.Upstream) { u.Born = 2 })
		choice, _ = place(is, p, generation("a"))
		is.True(!choice.Loaded)
	})
}

// A request waits for an adapter at an upstream, which begins to leave meanwhile. Sent there after the wait,
// the request could be cut when the upstream goes.
func TestChoiceIsCheckedWhenItIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		choice, _ := place(is, p, generation("a"))
		is.True(p.Takes(choice.Upstream))
		declare(p, "e1", func(u *traffic.Upstream) { u.Draining = true })
		is.True(!p.Takes(choice.Upstream))
		declare(p, "e1", func(u *traffic.Upstream) { u.Born = 2 })
		is.True(!p.Takes(choice.Upstream))
		p.Forget("e1")
		is.True(!p.Takes(choice.Upstream))
	})
}

// A burst of calls meets one upstream that takes so many connections from all instances. Past that it resets
// them, and calls that may not be repeated are lost; the rest is refused before it is sent.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1")
		var last *pool.Send
		for range 10 {
			_, last = place(is, p, plain())
		}
		_, err := p.Choose(time.Now(), plain())
		is.Equal(err, pool.ErrNone)
		p.Finish(time.Now(), last, pool.EndServed)
		_, err = p.Choose(time.Now(), plain())
		is.NoErr(err)
	})
}

// A holder that was replaced wakes up and tells what it believes. Its successor has evicted the adapter
// since, and requests sent on the old word would be refused.
func TestEarlierHoldersWordIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 7})
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 3, Loaded: []pool.Resident{{Adapter: adapter("a"), Version: 1}}})
		choice, _ := place(is, p, generation("a"))
		is.True(!choice.Loaded)
	})
}

// A newer version of an adapter is required. An upstream that still has the older one would answer from
// the wrong weights.
func TestOlderVersionDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "e2", Fence: 1, Idle: 4, Loaded: []pool.Resident{
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

// Bursts hit a service from all instances at once. An instance that counts only its own requests sends
// all of them to the upstream that the others have filled.
func TestLoadsOfOtherInstancesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		resident(p, "e2", "a")
		p.LearnLoads(time.Now(), "peer", map[string]pool.Load{"e1": {Running: 20, Prompt: 30_000, Memory: 60_000}})
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

// A fleet of eighty hears of each other's requests every two seconds. A popular adapter is loaded at two
// upstreams; all instances saw the first one idle at their last heartbeat and send there, and callers wait while
// the second is idle. Its holder knows better, and what it says goes before what is older.
func TestHoldersWordGoesBeforeOldHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		p.Settings.HeardEvery = 2 * time.Second
		p.Settings.HeldFor = 2 * time.Second
		p.Settings.PeerLoadFor = 3 * time.Second
		resident(p, "e1", "a")
		resident(p, "e2", "a")
		p.LearnLoads(time.Now(), "peer", map[string]pool.Load{"e2": {Running: 9, Prompt: 9000, Memory: 9000}})
		time.Sleep(time.Second)
		query := generation("a")
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e1")
		is.True(choice.Uncertain)
		p.LearnHeld(time.Now(), "e1", pool.Load{Running: 30, Prompt: 40_000, Memory: 60_000})
		p.LearnHeld(time.Now(), "e2", pool.Load{})
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2")
		is.True(!choice.Uncertain)
		time.Sleep(400 * time.Millisecond)
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.Uncertain) // more requests have come since
	})
}

// Requests come in quick succession. If each of them asked the holder of the same upstream anew, the questions would
// be most of what goes between instances; if none did, all would be sent to an upstream that was idle a quarter of a
// second ago.
func TestFreshWordIsNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		resident(p, "e1", "a")
		time.Sleep(time.Minute)
		choice, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.True(choice.Uncertain)
		p.LearnHeld(time.Now(), "e1", pool.Load{})
		for range 3 {
			choice, _ = place(is, p, generation("a"))
			is.True(!choice.Uncertain)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		choice, err = p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.True(choice.Uncertain)
	})
}

// Guards against news of an upstream that comes through relays after the holder's own answer, and is older: an adapter
// that has just been loaded would look missing, and be fetched for another upstream.
func TestOlderResidencyIsDropped(t *testing.T) {
	is := is.New(t)
	p := newPool("e1")
	learn := func(fence, version int64, adapters ...string) {
		residency := pool.Residency{Upstream: "e1", Fence: fence, Version: version}
		for _, name := range adapters {
			residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: adapter(name)})
		}
		p.LearnResidency(time.Now(), residency)
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
	learn(6, 1, "a") // another holder counts anew
	is.True(loaded())
}

// The holder tells an asker what the others have under way; the asker counts its own requests itself.
func TestBesideLeavesTheAskerOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		p.LearnLoads(time.Now(), "asker", map[string]pool.Load{"e1": {Running: 5, Prompt: 500}})
		p.LearnLoads(time.Now(), "other", map[string]pool.Load{"e1": {Running: 2, Prompt: 200}})
		is.Equal(p.Beside(time.Now(), "e1", "asker"), pool.Load{Running: 2, Prompt: 200})
		is.Equal(p.Beside(time.Now(), "gone", "asker"), pool.Load{})
	})
}

// Long and short prompts come together at full load. Counting requests instead of tokens would put the
// short ones behind the long.
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
				t.Fatalf("short request %d went behind the long one", i)
			}
		}
	})
}

// A request was in flight at two crashes. Beside others it would take them down with it at the third.
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

// A rack of upstreams falls silent, with the adapters that are asked for. Their entries stay for some seconds. Each
// instance would send requests there one after the other, and each of these waits until it is late; the holder, which
// cannot reach them either, has said so.
func TestAwayUpstreamsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		resident(p, "e2")
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 1, Away: true})
		choice, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2")
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "e2", Fence: 1, Away: true})
		_, err = p.Choose(time.Now(), generation("a"))
		is.Equal(err, pool.ErrNone) // refused at once: nobody could serve it
		resident(p, "e1", "a")
		choice, err = p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e1") // back as soon as the holder says so
		time.Sleep(time.Second)
		query := generation("a")
		query.Exclude = []string{"e1"}
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2") // nobody has said so for long; the holder may be gone
	})
}

// Only the way from the holder to an upstream is lost. The other instances reach it and are answered there; if they
// took the holder's word, a service that is served would look as if it were not.
func TestOwnAnswersGoBeforeTheHoldersWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1")
		resident(p, "e1", "a")
		_, send := place(is, p, generation("a"))
		p.Finish(time.Now(), send, pool.EndServed)
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "e1", Fence: 1, Away: true})
		_, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
	})
}

// Guards against a popular adapter whose requests all wait at the one engine that has it, until they are late, while the
// next engine is idle: a fetch costs others something, but not as much.
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

// Guards against a popular adapter that is loaded at one engine while all that want it wait there, and are sent to it in
// the same moment: each of them, and the other instances, took the engine for idle.
func TestPromptsThatAwaitTheirAdapterAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, holder := newPool("e1", "e2"), newPool("e1", "e2")
		loading := pool.Residency{Upstream: "e1", Fence: 1, Loaded: []pool.Resident{
			{Adapter: traffic.Adapter{Model: model}, Version: 1}, {Adapter: adapter("a"), Version: 1, InTransit: true},
		}}
		p.LearnResidency(time.Now(), loading)
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
		holder.LearnReport(time.Now(), "i", p.Report(all))
		is.Equal(holder.Total(time.Now(), "e1").Awaiting, len(waiting)*generation("a").Tokens)
		for _, one := range waiting {
			one.Done()
		}
		holder.LearnReport(time.Now(), "i", p.Report(all))
		is.Equal(holder.Total(time.Now(), "e1"), pool.Load{})
	})
}

// Guards against two harms of one price for all fetches: with places to spare, requests queue for a popular adapter that
// could be had next door; with none, copies of it push out adapters that are wanted the next moment.
func TestFetchIsDearWherePlacesAreScarce(t *testing.T) {
	queued := func(is *is.I, idle int) (count int) {
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		residency := pool.Residency{Upstream: "e2", Fence: 1, Idle: idle}
		residency.Loaded = append(residency.Loaded, pool.Resident{Adapter: traffic.Adapter{Model: model}, Version: 1})
		p.LearnResidency(time.Now(), residency)
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
