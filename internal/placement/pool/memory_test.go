package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// memory_test.go simulates engines that end if what they hold exceeds their memory, before many instances.

const (
	memoryInstances = 60
	memoryEngines   = 3
	engineMemory    = 120_000
	// memoryDemand is how much more memory is asked for than the engines have.
	memoryDemand = 3.0
	// memorySeeds is how many runs each case has.
	memorySeeds = 1
	memoryTick  = 200 * time.Millisecond
	// rosterTTL is how long an instance that has ended stays in the roster.
	rosterTTL = 10 * time.Second
)

// memoryInstance is an instance of the simulation.
type memoryInstance struct {
	name        string
	incarnation int
	pool        *pool.Pool
	dead        bool
	gone        bool
	// cut: it reaches no holder.
	cut     bool
	pending map[int]bool
}

// memoryFleet simulates instances before engines. What is in flight is counted apart from what the instances know.
type memoryFleet struct {
	random    *rand.Rand
	began     time.Time
	now       time.Duration
	names     []string
	instances []*memoryInstance
	// holders are the instances that hold each engine, -1 for none.
	holders map[string]int
	events  unevenEvents
	held    map[string]int
	peak    int
	// usedSum sums the memory in use at each tick from measuredFrom on.
	usedSum      float64
	ticks        int
	measuredFrom time.Duration
	lowest       float64
	served       int
	// Reports take minDelay to maxDelay, requests minTime to maxTime.
	minDelay time.Duration
	maxDelay time.Duration
	minTime  time.Duration
	maxTime  time.Duration
}

func newMemoryFleet(seed uint64) *memoryFleet {
	f := &memoryFleet{
		random: rand.New(rand.NewPCG(seed, 1)), began: time.Unix(1_700_000_000, 0), holders: map[string]int{}, held: map[string]int{},
		minDelay: 250 * time.Millisecond, maxDelay: time.Second, minTime: 2 * time.Second, maxTime: 5 * time.Second, measuredFrom: 5 * time.Second, lowest: 1,
	}
	for i := range memoryEngines {
		f.names = append(f.names, fmt.Sprint("engine-", i))
	}
	for i := range memoryInstances {
		f.instances = append(f.instances, &memoryInstance{name: fmt.Sprint("instance-", i)})
		f.restart(f.instances[i])
	}
	f.holdAll()
	return f
}

func (f *memoryFleet) time() time.Time { return f.began.Add(f.now) }

// restart gives an instance a new pool.
func (f *memoryFleet) restart(i *memoryInstance) {
	i.incarnation++
	i.pending = map[int]bool{}
	i.pool = &pool.Pool{Settings: pool.DefaultSettings()}
	i.pool.Settings.Instances = memoryInstances
	i.pool.Settings.LiveInstances = memoryInstances
	i.pool.Settings.HolderLoadTTL = 3 * time.Second
	i.pool.Settings.BoundMemory = true
	i.pool.Configure(map[string]traffic.Service{
		engines: {Name: engines, Engine: &traffic.Engine{BatchSlots: 640, MemoryTokens: engineMemory, AdapterSlots: 5}},
	})
	for _, name := range f.names {
		i.pool.Declare(f.time(), traffic.Upstream{ID: name, Service: engines, Address: name, StartedMillis: 1, BatchSlots: 640})
		resident(i.pool, name, "a")
	}
}

// holdAll makes instances the holders of all engines.
func (f *memoryFleet) holdAll() {
	f.tick()
	for number, name := range f.names {
		f.hold(name, number*7)
	}
}

func (f *memoryFleet) hold(engine string, holder int) {
	f.holders[engine] = holder
	f.instances[holder].pool.SetHeld(engine, true)
	for n, i := range f.instances {
		if !i.dead && !i.cut {
			i.pool.RecordNewHolder(f.time(), engine)
			f.report(n, holder)
		}
	}
}

func (f *memoryFleet) at(wait time.Duration, do func()) {
	heap.Push(&f.events, unevenEvent{at: f.now + wait, run: func(time.Duration) { do() }})
}

func (f *memoryFleet) delay() time.Duration {
	return f.minDelay + time.Duration(f.random.Int64N(int64(f.maxDelay-f.minDelay)))
}

// reaches reports whether an instance reaches another one.
func (f *memoryFleet) reaches(from, to int) bool {
	a, b := f.instances[from], f.instances[to]
	return from == to || !a.dead && !b.dead && !a.cut && !b.cut
}

// report has an instance report soon to a holder.
func (f *memoryFleet) report(from, holder int) {
	i := f.instances[from]
	if from == holder || holder < 0 || i.pending[holder] {
		return
	}
	i.pending[holder] = true
	incarnation := i.incarnation
	f.at(8*time.Millisecond, func() {
		delete(i.pending, holder)
		if i.dead || i.incarnation != incarnation {
			return
		}
		selected := func(engine string) bool { return f.holders[engine] == holder }
		loads := i.pool.Report(selected)
		statement := i.pool.MemoryStatement(f.time(), selected)
		f.at(f.delay(), func() { f.deliver(from, holder, loads, statement) })
	})
}

func (f *memoryFleet) deliver(from, holder int, loads map[string]pool.Load, statement pool.MemoryStatement) {
	if !f.reaches(from, holder) {
		return
	}
	to, i := f.instances[holder].pool, f.instances[from]
	to.RecordPeerReport(f.time(), i.name, loads)
	to.RecordMemoryReport(f.time(), i.name, statement, loads)
	for engine, by := range f.holders {
		if by == holder {
			i.pool.RecordHolderLoad(f.time(), engine, to.TotalExcluding(f.time(), engine, i.name))
		}
	}
}

// request sends one request at an instance, which tries some engines.
func (f *memoryFleet) request(from int) {
	query := pool.Query{
		Service: engines, Adapter: adapter("a"), Tokens: 200 + f.random.IntN(2500), Output: 20 + f.random.IntN(300),
		OnTime: time.Second, Objective: time.Second,
	}
	f.try(from, query, memoryEngines)
}

func (f *memoryFleet) try(from int, query pool.Query, tries int) {
	i := f.instances[from]
	if i.dead || tries == 0 {
		return
	}
	choice, err := i.pool.Choose(f.time(), query)
	if err != nil {
		return
	}
	engine := choice.Upstream.ID
	query.Exclude = append(query.Exclude, engine)
	next := func() { f.try(from, query, tries-1) }
	if !choice.MightNotFit {
		f.send(from, choice, query, next)
		return
	}
	choice.Memory = i.pool.AskMemory(f.time(), engine, query)
	holder := f.holders[engine]
	if holder < 0 || !f.reaches(from, holder) {
		f.send(from, choice, query, next)
		return
	}
	incarnation, began := i.incarnation, f.now
	asked := choice.Memory
	if from != holder {
		asked.Instance = i.name
	}
	var poll func()
	poll = func() {
		if !f.reaches(from, holder) || f.holders[engine] != holder {
			f.send(from, choice, query, next)
			return
		}
		verdict := f.instances[holder].pool.AdmitMemory(f.time(), engine, asked)
		if !verdict.Admitted && !verdict.Starting && f.now+verdict.RetryAfter-began < 60*time.Millisecond {
			f.at(verdict.RetryAfter, poll)
			return
		}
		f.at(2*time.Millisecond, func() {
			if i.dead || i.incarnation != incarnation {
				return
			}
			switch {
			case verdict.Admitted:
				i.pool.RecordMemoryGrant(f.time(), choice.Memory.Ask)
			case !verdict.Starting:
				i.pool.RecordMemoryRefusal(f.time(), engine, verdict.RetryAfter)
				i.pool.GiveUpMemory(choice.Memory.Ask)
				next()
				return
			}
			f.send(from, choice, query, next)
		})
	}
	f.at(2*time.Millisecond, poll)
}

// send sends a request that may be sent.
func (f *memoryFleet) send(from int, choice pool.Choice, query pool.Query, otherwise func()) {
	i, engine := f.instances[from], choice.Upstream.ID
	if i.dead {
		return
	}
	if !i.pool.MayUseMemory(f.time(), choice, query) {
		i.pool.GiveUpMemory(choice.Memory.Ask)
		f.report(from, f.holders[engine])
		otherwise()
		return
	}
	tokens, incarnation := query.Tokens+query.Output, i.incarnation
	attempt := i.pool.Begin(f.time(), choice, query)
	f.report(from, f.holders[engine])
	f.held[engine] += tokens
	f.peak = max(f.peak, f.held[engine])
	f.served++
	f.at(f.minTime+time.Duration(f.random.Int64N(int64(f.maxTime-f.minTime))), func() {
		if i.incarnation != incarnation || i.dead {
			return // it ended with the instance
		}
		f.held[engine] -= tokens
		attempt.RecordAnswer(f.time())
		i.pool.Finish(f.time(), attempt, pool.EndServed)
		f.report(from, f.holders[engine])
	})
}

// end ends an instance with its requests.
func (f *memoryFleet) end(from int) {
	i := f.instances[from]
	for engine, load := range i.pool.OwnLoads(func(string) bool { return true }) {
		f.held[engine] -= load.MemoryTokens
	}
	i.dead = true
	for engine, holder := range f.holders {
		if holder == from {
			f.holders[engine] = -1
		}
	}
	f.at(rosterTTL, func() { i.gone = i.dead })
}

// tick updates what the instances know of each other, and repeats reports.
func (f *memoryFleet) tick() {
	for n, i := range f.instances {
		if i.dead {
			continue
		}
		peers := make(map[string]pool.MemoryPeer)
		for m, other := range f.instances {
			if m != n && !other.gone {
				peers[other.name] = pool.MemoryPeer{Incarnation: fmt.Sprint(other.incarnation), Alive: f.reaches(n, m)}
			}
		}
		i.pool.SetMemoryPeers(f.time(), peers)
		i.pool.SetMemoryHolders(f.time(), func(engine string) bool {
			holder, known := f.holders[engine]
			return known && holder >= 0 && f.reaches(n, holder)
		})
		if f.now%time.Second == 0 {
			for engine := range i.pool.OwnLoads(func(string) bool { return true }) {
				f.report(n, f.holders[engine])
			}
		}
	}
	if f.now >= f.measuredFrom {
		used := 0
		for _, held := range f.held {
			used += held
		}
		part := float64(used) / (engineMemory * memoryEngines)
		f.usedSum += part
		f.lowest = min(f.lowest, part)
		f.ticks++
	}
}

// run runs the fleet for a time.
func (f *memoryFleet) run(length time.Duration) {
	const meanTokens = 1450 + 170
	interval := time.Duration(float64(f.minTime+f.maxTime) / 2 * meanTokens / (memoryDemand * engineMemory * memoryEngines))
	stop := f.now + length
	var arrive, tick func()
	arrive = func() {
		f.request(f.random.IntN(len(f.instances)))
		if f.now < stop {
			f.at(time.Duration(f.random.ExpFloat64()*float64(interval)), arrive)
		}
	}
	tick = func() {
		f.tick()
		if f.now < stop {
			f.at(memoryTick, tick)
		}
	}
	arrive()
	tick()
	for f.now < stop && len(f.events) > 0 {
		event := heap.Pop(&f.events).(unevenEvent)
		f.now = max(f.now, event.at)
		event.run(event.at)
	}
}

// eachTenth does something to a tenth of the instances, which hold no engine.
func (f *memoryFleet) eachTenth(do func(instance int)) {
	for n := 2; n < memoryInstances; n += 10 {
		do(n)
	}
}

// measureAfter measures the use from a wait on.
func (f *memoryFleet) measureAfter(wait time.Duration) {
	f.measuredFrom = f.now + wait
	f.usedSum, f.ticks, f.lowest = 0, 0, 1
}

func (f *memoryFleet) used() float64 { return f.usedSum / float64(f.ticks) }

// Guards against engines that end because the instances together send them more than their memory, and against memory that
// stays unused while more is asked.
func TestEnginesStayWithinTheirMemory(t *testing.T) {
	tests := []struct {
		name    string
		happens func(f *memoryFleet)
		// length is how long it goes on after that, and used the least use on average from a wait on.
		length time.Duration
		after  time.Duration
		used   float64
	}{
		{"a third of the memory that is asked", func(*memoryFleet) {}, 20 * time.Second, 0, 0.8},
		{"reports without delay", func(f *memoryFleet) { f.minDelay, f.maxDelay = 2*time.Millisecond, 10*time.Millisecond }, 20 * time.Second, 5 * time.Second, 0.85},
		{"short requests and reports without delay", func(f *memoryFleet) {
			f.minDelay, f.maxDelay = 2*time.Millisecond, 10*time.Millisecond
			f.minTime, f.maxTime = 300*time.Millisecond, time.Second
		}, 20 * time.Second, 5 * time.Second, 0.8},
		{"loss of a tenth of the instances, while they are in the roster", func(f *memoryFleet) { f.eachTenth(f.end) }, rosterTTL, 0, 0.68},
		{"loss of a tenth of the instances, afterwards", func(f *memoryFleet) { f.eachTenth(f.end) }, 25 * time.Second, rosterTTL + 3*time.Second, 0.8},
		{"a tenth of the instances cut off from the holders", func(f *memoryFleet) {
			f.eachTenth(func(n int) { f.instances[n].cut = true })
		}, 60 * time.Second, 0, 0.65},
		{"a tenth of the instances cut off and back", func(f *memoryFleet) {
			f.eachTenth(func(n int) {
				f.instances[n].cut = true
				f.at(30*time.Second, func() { f.instances[n].cut = false })
			})
		}, 50 * time.Second, 35 * time.Second, 0.8},
		{"half of the instances cut off from the holders", func(f *memoryFleet) {
			for n, i := range f.instances {
				i.cut = n%7 != 0 && n%2 == 1
			}
		}, 60 * time.Second, 0, 0.4},
		{"all instances restarted", func(f *memoryFleet) {
			for n, i := range f.instances {
				f.end(n)
				i.dead = false
				f.restart(i)
			}
			f.at(time.Second, f.holdAll)
		}, 20 * time.Second, 5 * time.Second, 0.8},
		{"a holder ends", func(f *memoryFleet) {
			f.end(0)
			f.at(1500*time.Millisecond, func() { f.hold(f.names[0], 3) })
		}, 20 * time.Second, 0, 0.75},
		{"all holders end", func(f *memoryFleet) {
			for number, name := range f.names {
				f.end(number * 7)
				f.at(2*time.Second, func() { f.hold(name, number*7+2) })
			}
		}, 25 * time.Second, rosterTTL + 3*time.Second, 0.8},
		{"all holders end and none comes", func(f *memoryFleet) {
			for number := range f.names {
				f.end(number * 7)
			}
		}, 60 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(memorySeeds) {
				f := newMemoryFleet(seed)
				f.run(10 * time.Second)
				f.measureAfter(tt.after)
				tt.happens(f)
				f.run(tt.length)
				t.Logf("seed %d: peak %.3f of the memory, %.3f used on average, %.3f at the least, %d requests",
					seed, float64(f.peak)/engineMemory, f.used(), f.lowest, f.served)
				if f.peak > engineMemory || f.used() < tt.used {
					t.Errorf("seed %d: peak %d, used %.3f, not %.2f", seed, f.peak, f.used(), tt.used)
				}
			}
		})
	}
}

// memoryPool returns an instance before two engines of 10,000 tokens.
func memoryPool(now time.Time) *pool.Pool {
	p := newPool("u", "v")
	p.Settings.BoundMemory = true
	p.Settings.Instances = 4
	p.Settings.LiveInstances = 2
	p.Configure(map[string]traffic.Service{
		engines: {Name: engines, Engine: &traffic.Engine{BatchSlots: 64, MemoryTokens: 10_000, AdapterSlots: 5}},
	})
	for _, id := range []string{"u", "v"} {
		resident(p, id, "a")
	}
	p.SetMemoryPeers(now, map[string]pool.MemoryPeer{"peer": {Incarnation: "1", Alive: true}})
	return p
}

func memoryQuery(tokens int) pool.Query {
	return pool.Query{Service: engines, Adapter: adapter("a"), Tokens: tokens - 100, Output: 100, OnTime: time.Second, Objective: time.Second}
}

// Guards against questions, refusals and messages where memory is not bounded.
func TestNothingIsAskedWhereMemoryIsNotBounded(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *pool.Pool)
		query  pool.Query
	}{
		{"switched off", func(p *pool.Pool) { p.Settings.BoundMemory = false }, memoryQuery(20_000)},
		{"no memory stated", func(p *pool.Pool) {
			p.Configure(map[string]traffic.Service{engines: {Name: engines, Engine: &traffic.Engine{BatchSlots: 64, AdapterSlots: 5}}})
		}, memoryQuery(20_000)},
		{"no generation", func(*pool.Pool) {}, pool.Query{Service: engines}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			p := memoryPool(now)
			tt.change(p)
			is.True(!p.ExceedsMemory(tt.query))
			choice, err := p.Choose(now, tt.query)
			is.NoErr(err)
			is.True(!choice.MightNotFit)
			is.True(p.MayUseMemory(now, choice, tt.query))
			p.Begin(now, choice, tt.query)
			if tt.query.Tokens > 0 {
				is.Equal(p.AskMemory(now, "u", tt.query), pool.MemoryRequest{})
				is.Equal(len(p.HeldMemory()), 0)
			}
			is.True(p.AdmitMemory(now, "u", pool.MemoryRequest{}).Admitted)
		})
	}
}

// Guards against a request that no upstream can ever run and that waits until its deadline.
func TestRequestLargerThanTheMemory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := memoryPool(now)
	is.True(p.ExceedsMemory(memoryQuery(10_001)))
	is.True(!p.ExceedsMemory(memoryQuery(10_000)))
	p.SetHeld("u", true)
	later := now.Add(5 * time.Second)
	is.True(p.AdmitMemory(later, "u", p.AskMemory(later, "u", memoryQuery(9500))).Admitted) // it is alone there
	is.True(!p.AdmitMemory(later, "u", p.AskMemory(later, "u", memoryQuery(400))).Admitted)
}

// Guards against grants that are counted twice, forgotten, or kept for requests that were not sent.
func TestHolderCountsEachRequestOnce(t *testing.T) {
	tests := []struct {
		name    string
		happens func(now time.Time, holder, peer *pool.Pool, choice pool.Choice)
		counted float64
	}{
		{"admitted", func(time.Time, *pool.Pool, *pool.Pool, pool.Choice) {}, 0.2},
		{"reported while the answer is on its way", func(now time.Time, holder, peer *pool.Pool, _ pool.Choice) { reportMemory(now, holder, peer) }, 0.2},
		{"begun and reported", func(now time.Time, holder, peer *pool.Pool, choice pool.Choice) {
			peer.RecordMemoryGrant(now, choice.Memory.Ask)
			peer.Begin(now, choice, memoryQuery(2000))
			reportMemory(now, holder, peer)
		}, 0.2},
		{"a report from before it arrives after that", func(now time.Time, holder, peer *pool.Pool, choice pool.Choice) {
			loads, statement := peer.OwnLoads(all), peer.MemoryStatement(now, all)
			peer.RecordMemoryGrant(now, choice.Memory.Ask)
			peer.Begin(now, choice, memoryQuery(2000))
			reportMemory(now, holder, peer)
			holder.RecordMemoryReport(now, "peer", statement, loads)
		}, 0.2},
		{"answer lost and given up", func(now time.Time, holder, peer *pool.Pool, choice pool.Choice) {
			peer.GiveUpMemory(choice.Memory.Ask)
			reportMemory(now, holder, peer)
		}, 0},
		{"forgotten by its request", func(now time.Time, holder, peer *pool.Pool, _ pool.Choice) {
			reportMemory(now.Add(6*time.Second), holder, peer)
		}, 0},
		{"ended and reported", func(now time.Time, holder, peer *pool.Pool, choice pool.Choice) {
			peer.RecordMemoryGrant(now, choice.Memory.Ask)
			attempt := peer.Begin(now, choice, memoryQuery(2000))
			peer.Finish(now, attempt, pool.EndServed)
			reportMemory(now, holder, peer)
		}, 0},
		{"its entry expires and comes back", func(now time.Time, holder, peer *pool.Pool, choice pool.Choice) {
			peer.RecordMemoryGrant(now, choice.Memory.Ask)
			peer.Begin(now, choice, memoryQuery(2000))
			for _, p := range []*pool.Pool{holder, peer} {
				p.Remove(now, "u")
				p.SetMemoryPeers(now, map[string]pool.MemoryPeer{"peer": {Incarnation: "1", Alive: true}})
				p.Declare(now, choice.Upstream)
			}
			reportMemory(now, holder, peer)
		}, 0.2},
		{"the instance leaves the roster", func(now time.Time, holder, _ *pool.Pool, _ pool.Choice) {
			holder.SetMemoryPeers(now, nil)
		}, 0},
		{"the instance is restarted and silent", func(now time.Time, holder, peer *pool.Pool, choice pool.Choice) {
			peer.RecordMemoryGrant(now, choice.Memory.Ask)
			peer.Begin(now, choice, memoryQuery(2000))
			reportMemory(now, holder, peer)
			for _, wait := range []time.Duration{time.Second, 5 * time.Second} {
				holder.SetMemoryPeers(now.Add(wait), map[string]pool.MemoryPeer{"peer": {Incarnation: "2", Alive: true}})
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			holder, peer := memoryPool(now), memoryPool(now)
			holder.SetHeld("u", true)
			now = now.Add(5 * time.Second)
			asked := peer.AskMemory(now, "u", memoryQuery(2000))
			asked.Instance = "peer"
			is.True(holder.AdmitMemory(now, "u", asked).Admitted)
			is.True(holder.AdmitMemory(now, "u", asked).Admitted) // asked again
			upstream, _ := peer.Upstream("u")
			tt.happens(now, holder, peer, pool.Choice{Upstream: upstream, Memory: asked})
			is.Equal(holder.HeldMemory()["u"], tt.counted)
		})
	}
}

func all(string) bool { return true }

func reportMemory(now time.Time, holder, peer *pool.Pool) {
	loads := peer.Report(all)
	holder.RecordMemoryReport(now, "peer", peer.MemoryStatement(now, all), loads)
}

// Guards against a new holder that fills the memory before it knows what is in flight there.
func TestNewHolderWaitsForReports(t *testing.T) {
	tests := []struct {
		name     string
		wait     time.Duration
		reported bool
		tokens   int
		admitted bool
		starting bool
	}{
		{"up to half", 0, false, 5000, true, false},
		{"above half", 0, false, 5001, false, true},
		{"above half with all reports", 0, true, 8000, true, false},
		{"above half after a while", 1100 * time.Millisecond, false, 8000, true, false},
		{"above the limit", 0, true, 9500, true, false}, // the upstream is empty
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			holder, peer := memoryPool(now), memoryPool(now)
			holder.SetHeld("u", true)
			peer.RecordNewHolder(now, "u")
			if tt.reported {
				reportMemory(now, holder, peer)
			}
			now = now.Add(tt.wait)
			verdict := holder.AdmitMemory(now, "u", holder.AskMemory(now, "u", memoryQuery(tt.tokens)))
			is.Equal(verdict.Admitted, tt.admitted)
			is.Equal(verdict.Starting, tt.starting)
		})
	}
}

// Guards against an instance that takes the share of the others while its holder is gone, or that never takes its own.
func TestShareWithoutHolder(t *testing.T) {
	tests := []struct {
		name   string
		lost   time.Duration
		tokens int
		may    bool
	}{
		{"its part of the rest", 0, 250, true},
		{"more at once", 0, 251, false},
		{"more while the others hold it", 20 * time.Second, 251, false},
		{"its share", 24 * time.Second, 2500, true},
		{"above its share", 24 * time.Second, 2501, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			p := memoryPool(now)
			p.SetMemoryHolders(now, func(string) bool { return false })
			now = now.Add(tt.lost)
			p.SetMemoryHolders(now, func(string) bool { return false })
			choice, err := p.Choose(now, memoryQuery(tt.tokens))
			is.NoErr(err)
			is.True(choice.MightNotFit)
			is.Equal(p.MayUseMemory(now, choice, memoryQuery(tt.tokens)), tt.may)
		})
	}
}

// Guards against a question for each request where the holder has just stated that there is room, and against a choice of
// upstreams that are known to be full.
func TestKnownMemoryIsUsed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := memoryPool(now)
	p.RecordHolderLoad(now, "u", pool.Load{MemoryTokens: 4000})
	p.RecordHolderLoad(now, "v", pool.Load{MemoryTokens: 8000})
	choice, err := p.Choose(now, memoryQuery(200))
	is.NoErr(err)
	is.Equal(choice.Upstream.ID, "u")
	is.True(!choice.MightNotFit)
	is.True(p.MayUseMemory(now, choice, memoryQuery(200)))
	choice, err = p.Choose(now, memoryQuery(1500))
	is.NoErr(err)
	is.Equal(choice.Upstream.ID, "u")
	is.True(choice.MightNotFit)
	p.RecordMemoryRefusal(now, "u", time.Second)
	_, err = p.Choose(now, memoryQuery(1500))
	is.Equal(err, pool.ErrFull)
	_, err = p.Choose(now.Add(60*time.Millisecond), memoryQuery(500))
	is.NoErr(err)
}
