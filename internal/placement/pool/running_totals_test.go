package pool_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// plainSums recomputes from scratch what a pool keeps as running totals.
type plainSums struct {
	pool     *pool.Pool
	now      time.Time
	attempts map[*pool.Attempt]*sent
	reports  map[string]report
}

type sent struct {
	upstream string
	load     pool.Load
}

type report struct {
	at    time.Time
	loads map[string]pool.Load
}

func add(to *pool.Load, load pool.Load) {
	to.Running += load.Running
	to.PromptTokens += load.PromptTokens
	to.MemoryTokens += load.MemoryTokens
}

// expected is what all instances have in flight at an upstream.
func (s *plainSums) expected(upstream string) (total pool.Load) {
	for _, one := range s.attempts {
		if one.upstream == upstream {
			add(&total, one.load)
		}
	}
	for _, peer := range s.reports {
		if s.now.Sub(peer.at) <= s.pool.Settings.PeerLoadTTL {
			add(&total, peer.loads[upstream])
		}
	}
	return total
}

var (
	sumUpstreams = []string{"e1", "e2", "e3"}
	sumPeers     = []string{"i1", "i2", "i3", "i4"}
)

func (s *plainSums) step(rt *rapid.T) {
	upstream := rapid.SampledFrom(sumUpstreams).Draw(rt, "upstream")
	peer := rapid.SampledFrom(sumPeers).Draw(rt, "peer")
	switch rapid.IntRange(0, 6).Draw(rt, "action") {
	case 0:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "millis")) * time.Millisecond)
	case 1:
		s.report(rt, peer)
	case 2:
		s.send()
	case 3, 4:
		s.end(rt)
	case 5:
		s.forget(upstream)
	case 6:
		declare(s.pool, upstream, func(*traffic.Upstream) {})
	}
}

func (s *plainSums) report(rt *rapid.T, peer string) {
	loads := make(map[string]pool.Load)
	for _, upstream := range sumUpstreams {
		if running := rapid.IntRange(0, 3).Draw(rt, "running"); running > 0 {
			loads[upstream] = pool.Load{Running: running, PromptTokens: 10 * running, MemoryTokens: 100 * running}
		}
	}
	s.pool.RecordPeerLoads(s.now, peer, loads)
	s.reports[peer] = report{at: s.now, loads: loads}
}

func (s *plainSums) send() {
	query := generation("a")
	choice, err := s.pool.Choose(s.now, query)
	if err != nil {
		return
	}
	attempt := s.pool.Begin(s.now, choice, query)
	s.attempts[attempt] = &sent{
		upstream: choice.Upstream.ID,
		load:     pool.Load{Running: 1, PromptTokens: query.Tokens, MemoryTokens: query.Tokens + query.Output},
	}
}

// end has a request answered, or finished with or without an answer.
func (s *plainSums) end(rt *rapid.T) {
	for attempt, one := range s.attempts {
		if rapid.Bool().Draw(rt, "answered") {
			attempt.RecordAnswer(s.now)
			one.load.PromptTokens = 0
		}
		if rapid.Bool().Draw(rt, "ended") {
			s.pool.Finish(s.now, attempt, pool.EndServed)
			delete(s.attempts, attempt)
		}
		return
	}
}

func (s *plainSums) forget(upstream string) {
	s.pool.Remove(time.Now(), upstream)
	for attempt, one := range s.attempts {
		if one.upstream == upstream {
			delete(s.attempts, attempt) // an upstream that is declared again starts without them
			s.pool.Finish(s.now, attempt, pool.EndOther)
		}
	}
}

// Guards against running totals that drift. The pool keeps totals, so that a choice among hundreds of upstreams
// does not add up the reports of dozens of instances on each. If a load is subtracted twice or never, as instances
// fall silent, upstreams are removed and declared again and requests end, an upstream looks idle or full forever,
// and gets all requests or none.
func TestTotalsAreWhatWasTold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &plainSums{
			pool: newPool(sumUpstreams...), now: time.Now(),
			attempts: make(map[*pool.Attempt]*sent), reports: make(map[string]report),
		}
		for range 60 {
			s.step(rt)
			for _, upstream := range sumUpstreams {
				if _, declared := s.pool.Upstream(upstream); !declared {
					continue
				}
				got, want := s.pool.TotalExcluding(s.now, upstream, "nobody"), s.expected(upstream)
				if fmt.Sprint(got) != fmt.Sprint(want) {
					rt.Fatalf("%s has %+v, not %+v", upstream, got, want)
				}
			}
		}
	})
}
