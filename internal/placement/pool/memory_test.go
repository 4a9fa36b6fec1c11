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
	memoryEngines   = 6
	engineMemory    = 60_000
	// memoryDemand is how much more memory is asked for than the engines have.
	memoryDemand = 3.0
	memoryTick   = 200 * time.Millisecond
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
	minDelay     time.Duration
	maxDelay     time.Duration
}

func newMemoryFleet(seed uint64) *memoryFleet {
	f := &memoryFleet{
		random: rand.New(rand.NewPCG(seed, 1)), began: time.Unix(1_700_000_000, 0), holders: map[string]int{}, held: map[string]int{},
		minDelay: 250 * time.Millisecond, maxDelay: time.Second, measuredFrom: 3 * time.Second, lowest: 1,
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
	f.try(from, query, 3)
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
	choice.MemoryAsk = i.pool.AskMemory(f.time(), engine, query)
	holder := f.holders[engine]
	if holder < 0 || !f.reaches(from, holder) {
		f.send(from, choice, query, next)
		return
	}
	incarnation, began := i.incarnation, f.now
	asked := pool.MemoryRequest{Ask: choice.MemoryAsk, Tokens: query.Tokens + query.Output}
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
				i.pool.RecordMemoryGrant(f.time(), choice.MemoryAsk)
			case !verdict.Starting:
				i.pool.RecordMemoryRefusal(f.time(), engine, verdict.RetryAfter)
				i.pool.GiveUpMemory(choice.MemoryAsk)
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
		i.pool.GiveUpMemory(choice.MemoryAsk)
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
	f.at(300*time.Millisecond+time.Duration(f.random.Int64N(int64(2*time.Second))), func() {
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
	const meanTokens, meanTime = 1450 + 170, 1.3
	interval := time.Duration(float64(time.Second) * meanTokens * meanTime / (memoryDemand * engineMemory * memoryEngines))
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

func (f *memoryFleet) used() float64 { return f.usedSum / float64(f.ticks) }

// Guards against engines that end because the instances together send them more than their memory, and against memory that
// stays unused while more is asked.
func TestEnginesStayWithinTheirMemory(t *testing.T) {
	tests := []struct {
		name    string
		happens func(f *memoryFleet)
		// length is how long it goes on after that.
		length time.Duration
		used   float64
	}{
		{"a third of the memory that is asked", func(*memoryFleet) {}, 20 * time.Second, 0.8},
		{"loss of a tenth of the instances", func(f *memoryFleet) {
			for n := 1; n < memoryInstances; n += 10 {
				f.end(n)
			}
		}, 20 * time.Second, 0.8},
		{"a tenth of the instances cut off from the holders", func(f *memoryFleet) {
			for n := 1; n < memoryInstances; n += 10 {
				f.instances[n].cut = true
			}
		}, 45 * time.Second, 0.8},
		{"a tenth of the instances cut off and back", func(f *memoryFleet) {
			for n := 1; n < memoryInstances; n += 10 {
				i := f.instances[n]
				i.cut = true
				f.at(30*time.Second, func() { i.cut = false })
			}
		}, 45 * time.Second, 0.8},
		{"all instances restarted", func(f *memoryFleet) {
			for n, i := range f.instances {
				f.end(n)
				i.dead = false
				f.restart(i)
			}
			f.at(time.Second, f.holdAll)
		}, 20 * time.Second, 0.8},
		{"a holder ends", func(f *memoryFleet) {
			f.end(0)
			f.at(1500*time.Millisecond, func() { f.hold(f.names[0], 3) })
		}, 20 * time.Second, 0.8},
		{"all holders end", func(f *memoryFleet) {
			for number, name := range f.names {
				f.end(number * 7)
				f.at(2*time.Second, func() { f.hold(name, number*7+2) })
			}
		}, 20 * time.Second, 0.7},
		{"all holders end and none comes", func(f *memoryFleet) {
			for number := range f.names {
				f.end(number * 7)
			}
		}, 45 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				is := is.New(t)
				f := newMemoryFleet(seed)
				f.run(6 * time.Second)
				tt.happens(f)
				f.run(tt.length)
				t.Logf("seed %d: peak %.3f of the memory, %.3f used on average, %.3f at the least, %d requests",
					seed, float64(f.peak)/engineMemory, f.used(), f.lowest, f.served)
				is.True(f.peak <= engineMemory)
				is.True(f.used() >= tt.used)
			}
		})
	}
}
