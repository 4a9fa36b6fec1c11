package residence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// contention_sim_test.go simulates one holder whose adapter slots are scarce.

// requests is a kind of requests in a simulation.
type requests struct {
	kind     string
	rate     float64 // in a second
	priority int
	over     bool
	// hold is how long a request uses its adapter, and patience how long it waits for it.
	hold     time.Duration
	patience time.Duration
	// adapter is the only adapter; empty for one of its own for each request.
	adapter string
	demand  float64
	replica bool
	// from and to are when the requests arrive; to is 0 for the whole simulation.
	from, to time.Duration
}

// outcomes is what became of the requests of a kind.
type outcomes struct {
	arrived, served, refused int
	wait                     time.Duration
	// told counts the requests that were told a time while they waited, and kept those that got a slot within it and
	// 200 ms more.
	told, kept int
	// loads counts the loads that were granted.
	loads int
}

func (o *outcomes) share() float64 { return float64(o.served) / float64(max(o.arrived, 1)) }

type simRequest struct {
	kind    *requests
	request residence.Request
	since   time.Time
	until   time.Time
	told    time.Duration
}

type simulation struct {
	planner *residence.Planner
	engine  *engine
	random  *rand.Rand
	waiting []*simRequest
	ends    map[string][]time.Time
	results map[string]*outcomes
	count   int
	// inUse is the kind that uses each adapter, and peak the most adapter slots that each kind has had in use at once.
	inUse map[string]string
	peak  map[string]int
}

const tick = 5 * time.Millisecond

// simulate runs a simulation for the duration d.
func simulate(t *testing.T, contention bool, slots int, d time.Duration, kinds ...requests) (s *simulation) {
	synctest.Test(t, func(*testing.T) {
		s = &simulation{
			planner: newPlanner(slots), engine: newEngine(slots), random: rand.New(rand.NewPCG(1, 2)),
			ends: map[string][]time.Time{}, results: map[string]*outcomes{}, inUse: map[string]string{}, peak: map[string]int{},
		}
		s.planner.Contention = contention
		for i := range kinds {
			s.results[kinds[i].kind] = &outcomes{}
		}
		drive(s.planner, s.engine, startUpTime, noFaults)
		start := time.Now()
		last := start
		for time.Since(start) < d {
			elapsed := time.Since(last)
			last = time.Now()
			for i := range kinds {
				s.arrive(&kinds[i], time.Since(start), elapsed)
			}
			s.settle()
			drive(s.planner, s.engine, tick, noFaults)
		}
	})
	for _, fault := range s.engine.faults {
		t.Error(fault)
	}
	for i := range kinds {
		o := s.results[kinds[i].kind]
		t.Logf("%s: arrived %d, served %d, refused %d, loads %d, mean wait %v, told %d, kept %d, most in use %d", kinds[i].kind,
			o.arrived, o.served, o.refused, o.loads, o.wait/time.Duration(max(o.served, 1)), o.told, o.kept, s.peak[kinds[i].kind])
	}
	return s
}

func (s *simulation) arrive(kind *requests, at, elapsed time.Duration) {
	if at < kind.from || kind.to > 0 && at > kind.to {
		return
	}
	for mean := kind.rate * elapsed.Seconds(); mean > 0; mean-- {
		if s.random.Float64() >= mean {
			continue
		}
		s.count++
		name := kind.adapter
		if name == "" {
			name = fmt.Sprint(kind.kind, s.count)
		}
		now := time.Now()
		r := &simRequest{
			kind: kind, since: now, until: now.Add(kind.patience),
			request: residence.Request{
				Adapter: adapter(name), Priority: kind.priority, OverShare: kind.over, Demand: kind.demand,
				Replica: kind.replica, OnTimeUntil: now.Add(3 * kind.patience),
			},
		}
		s.results[kind.kind].arrived++
		s.planner.RecordRequest(now, r.request)
		if isLoaded(s.planner, name) {
			s.begin(r)
			continue
		}
		wait, late := s.planner.WouldBeLate(now, r.request, r.until)
		if late {
			s.results[kind.kind].refused++
			continue
		}
		r.told = wait
		s.planner.AddWaiter(now, r.request)
		s.waiting = append(s.waiting, r)
	}
}

func (s *simulation) begin(r *simRequest) {
	o := s.results[r.kind.kind]
	o.served++
	o.wait += time.Since(r.since)
	name := r.request.Adapter.Name
	if !r.kind.replica {
		s.ends[name] = append(s.ends[name], time.Now().Add(r.kind.hold))
		s.engine.inUse[name] = true
		s.inUse[name] = r.kind.kind
	}
}

// settle ends uses, and serves or refuses the requests that wait.
func (s *simulation) settle() {
	now := time.Now()
	for name, ends := range s.ends {
		kept := ends[:0]
		for _, end := range ends {
			if now.Before(end) {
				kept = append(kept, end)
			}
		}
		s.ends[name] = kept
		if len(kept) == 0 {
			delete(s.ends, name)
			delete(s.engine.inUse, name)
			delete(s.inUse, name)
		}
	}
	s.countGrant()
	var still []*simRequest
	for _, r := range s.waiting {
		o := s.results[r.kind.kind]
		if _, loaded := s.planner.LoadedVersion(r.request.Adapter, 0); loaded {
			s.recordTold(r, true)
			s.planner.Reserve(now, r.request.Adapter, 0)
			s.begin(r)
			s.planner.RemoveWaiter(r.request)
			continue
		}
		if _, late := s.planner.WouldBeLate(now, r.request, r.until); late {
			s.recordTold(r, false)
			o.refused++
			s.planner.RemoveWaiter(r.request)
			continue
		}
		still = append(still, r)
	}
	s.waiting = still
	held := map[string]int{}
	for _, kind := range s.inUse {
		held[kind]++
		s.peak[kind] = max(s.peak[kind], held[kind])
	}
}

// recordTold compares the stated wait with the time until the load began.
func (s *simulation) recordTold(r *simRequest, granted bool) {
	if r.told == 0 {
		return
	}
	o := s.results[r.kind.kind]
	o.told++
	if granted && time.Since(r.since) <= r.told+loadTime+200*time.Millisecond {
		o.kept++
	}
}

func (s *simulation) countGrant() {
	if grant, found := s.planner.TakeGrant(); found {
		for _, r := range s.waiting {
			if r.request.Adapter == grant.Adapter {
				s.results[r.kind.kind].loads++
				return
			}
		}
	}
}
