package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// limitable returns a pool with upstreams of a plain service.
func limitable(ids ...string) (*pool.Pool, []traffic.Upstream) {
	p := &pool.Pool{Settings: pool.DefaultSettings()}
	p.Settings.LiveInstances = 3
	p.Configure(map[string]traffic.Service{"app": {Name: "app"}})
	var upstreams []traffic.Upstream
	for _, id := range ids {
		upstream := traffic.Upstream{ID: id, Service: "app", Address: id, BatchSlots: 6, StartedMillis: 1}
		p.Declare(time.Now(), upstream)
		upstreams = append(upstreams, upstream)
	}
	return p, upstreams
}

// Guards against a limit that is forgotten, that outlives its statement, or that belongs to another life of the upstream.
func TestLimitLastsAsLongAsItIsStated(t *testing.T) {
	tests := []struct {
		name    string
		happens func(p *pool.Pool, u traffic.Upstream)
		limited bool
	}{
		{"stated", func(p *pool.Pool, u traffic.Upstream) { p.RecordLimit(time.Now(), u, 2) }, true},
		{"stated and ended", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			time.Sleep(time.Second)
			p.RecordNoLimit(time.Now(), u, time.Now())
		}, false},
		{"a response without it to an attempt that began before", func(p *pool.Pool, u traffic.Upstream) {
			began := time.Now()
			time.Sleep(time.Second)
			p.RecordLimit(time.Now(), u, 2)
			p.RecordNoLimit(time.Now(), u, began)
		}, true},
		{"no response for long", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			time.Sleep(time.Minute)
		}, false},
		{"entry removed and back in an outage", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			p.Remove(time.Now(), u.ID)
			p.Declare(time.Now(), u)
		}, true},
		{"another life", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			u.StartedMillis++
			p.Declare(time.Now(), u)
		}, false},
		{"stated to another instance", func(p *pool.Pool, u traffic.Upstream) {
			p.MergeLimits(time.Now(), []pool.LimitStatement{{Life: u.Life(), Limited: true, PerSecond: 2}})
		}, true},
		{"ended at another instance", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			time.Sleep(time.Second)
			p.MergeLimits(time.Now(), []pool.LimitStatement{{Life: u.Life(), Age: 500 * time.Millisecond}})
		}, false},
		{"ended at another instance before it was stated here", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			p.MergeLimits(time.Now(), []pool.LimitStatement{{Life: u.Life(), Age: 500 * time.Millisecond}})
		}, true},
		{"unreadable", func(p *pool.Pool, u traffic.Upstream) { p.RecordUnreadableLimit(time.Now(), u) }, false},
		{"unreadable later", func(p *pool.Pool, u traffic.Upstream) {
			p.RecordLimit(time.Now(), u, 2)
			p.RecordUnreadableLimit(time.Now(), u)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, upstreams := limitable("u")
				tt.happens(p, upstreams[0])
				current, _ := p.Upstream("u")
				is.Equal(p.IsLimited(time.Now(), current), tt.limited)
				choice, err := p.Choose(time.Now(), pool.Query{Service: "app"})
				is.NoErr(err)
				is.Equal(choice.Limited, tt.limited)
			})
		})
	}
}

// Guards against a limited upstream that gets more than it states, or hardly any, while all instances have work for it: from
// its holder, or from instances without one.
func TestLimitedUpstreamGetsWhatItStates(t *testing.T) {
	const (
		window  = 4 * time.Second
		pressed = 30 * time.Second
	)
	for _, limit := range []float64{0, 0.01, 0.7, 1.8, 12} {
		for _, held := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var fleet []*pool.Pool
				for range 7 {
					p, upstreams := limitable("u")
					p.RecordLimit(time.Now(), upstreams[0], limit)
					fleet = append(fleet, p)
				}
				var admitted []time.Time
				for began := time.Now(); time.Since(began) < pressed; time.Sleep(20 * time.Millisecond) {
					for _, p := range fleet {
						current, _ := p.Upstream("u")
						p.RecordLimit(time.Now(), current, limit)
						ok := false
						if held {
							_, ok = fleet[0].AdmitLimited(time.Now(), "u")
						} else {
							ok = p.AdmitLimitedShare(time.Now(), "u")
						}
						if ok {
							admitted = append(admitted, time.Now())
						}
					}
				}
				allowed := int(1.5*limit*window.Seconds() + 5)
				for i, from := range admitted {
					in := 0
					for _, at := range admitted[i:] {
						if at.Sub(from) < window {
							in++
						}
					}
					is.True(in <= allowed)
				}
				if held {
					is.True(float64(len(admitted)) >= 0.7*limit*pressed.Seconds())
					is.True(len(admitted) > 0) // its answers show when the limit ends
				}
			})
		}
	}
}

// Guards against callers that are all told to come back at one time while all upstreams are limited: a few would be served,
// and the others refused again.
func TestCallersOfLimitedUpstreamsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, upstreams := limitable("u", "v")
		query := pool.Query{Service: "app"}
		p.RecordLimit(time.Now(), upstreams[0], 2)
		is.Equal(p.RetryAfterLimit(time.Now(), query), time.Duration(0)) // the other one is not limited
		p.RecordLimit(time.Now(), upstreams[1], 4)
		last := time.Duration(0)
		for range 4 {
			wait := p.RetryAfterLimit(time.Now(), query)
			is.True(wait > last)
			last = wait
		}
		is.True(last > time.Second)
	})
}

// Guards against requests that wait at a limited upstream although its holder admits none.
func TestLimitedUpstreamThatIsFullIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, upstreams := limitable("u", "v")
		p.RecordLimit(time.Now(), upstreams[0], 1)
		p.RecordLimitRefusal(time.Now(), "u", time.Second)
		for range 10 {
			choice, err := p.Choose(time.Now(), pool.Query{Service: "app"})
			is.NoErr(err)
			is.Equal(choice.Upstream.ID, "v")
		}
		p.RecordNoLimit(time.Now(), upstreams[0], time.Now())
		chosen := map[string]bool{}
		for range 10 {
			choice, err := p.Choose(time.Now(), pool.Query{Service: "app"})
			is.NoErr(err)
			chosen[choice.Upstream.ID] = true
		}
		is.True(chosen["u"]) // its share is due again at once
	})
}

const (
	// streamInterval is the time between two requests, and streamTime how long the stream of each takes.
	streamInterval = 25 * time.Millisecond
	streamTime     = 130 * time.Millisecond
)

// streams are requests for one adapter, and the engines that run them.
type streams struct {
	pool *pool.Pool
	// first is how long after a request the first event of an engine comes, however many requests it runs.
	first   map[string]time.Duration
	running []runningStream
}

type runningStream struct {
	attempt  *pool.Attempt
	began    time.Time
	first    time.Duration
	answered bool
}

// send sends requests for some time, as the holders admit them, and counts those of each engine.
func (s *streams) send(is *is.I, length time.Duration) (used map[string]int) {
	is.Helper()
	used = map[string]int{}
	query := pool.Query{Service: engines, Adapter: adapter("a")}
	for began := time.Now(); time.Since(began) < length; time.Sleep(streamInterval) {
		s.advance(time.Now())
		choice, err := s.pool.Choose(time.Now(), query)
		is.NoErr(err)
		if wait, admitted := s.pool.AdmitLimited(time.Now(), choice.Upstream.ID); !admitted {
			s.pool.RecordLimitRefusal(time.Now(), choice.Upstream.ID, wait)
			choice, err = s.pool.Choose(time.Now(), query)
			is.NoErr(err)
		}
		id := choice.Upstream.ID
		used[id]++
		s.running = append(s.running, runningStream{
			attempt: s.pool.Begin(time.Now(), choice, query), began: time.Now(), first: s.first[id],
		})
	}
	return used
}

// advance records the first events and the ends that are due.
func (s *streams) advance(now time.Time) {
	var rest []runningStream
	for _, one := range s.running {
		if at := one.began.Add(one.first); !one.answered && !at.After(now) {
			one.attempt.RecordAnswer(at)
			one.answered = true
		}
		if one.began.Add(streamTime).After(now) {
			rest = append(rest, one)
			continue
		}
		s.pool.Finish(now, one.attempt, pool.EndServed)
	}
	s.running = rest
}

// Guards against an engine that stays idle after its limit, while another one with the same adapter runs all requests: an
// engine that gets few requests responds a little later to them, or its responses are measured a little worse.
func TestEngineGetsItsShareBackAfterItsLimit(t *testing.T) {
	const (
		perSecond = 1.5
		limited   = 9 * time.Second
		// most is what a second admits: the rate, and two at once.
		most = perSecond + 2
		// least is half of an equal part of the requests of a second.
		least = int(time.Second/streamInterval) / 4
	)
	tests := []struct {
		name  string
		first map[string]time.Duration
	}{
		{"it responds as fast", map[string]time.Duration{"e1": 16 * time.Millisecond, "e2": 16 * time.Millisecond}},
		{"it responds a little later", map[string]time.Duration{"e1": 16 * time.Millisecond, "e2": 17 * time.Millisecond}},
		{"it responds a little earlier", map[string]time.Duration{"e1": 17 * time.Millisecond, "e2": 16 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool()
				for _, name := range []string{"e1", "e2"} {
					declare(p, name, func(u *traffic.Upstream) { u.BatchSlots = 16 })
					resident(p, name, "a")
				}
				s := &streams{pool: p, first: tt.first}
				s.send(is, 2*time.Second)
				stating, _ := p.Upstream("e2")
				for began := time.Now(); time.Since(began) < limited; {
					p.RecordLimit(time.Now(), stating, perSecond)
					used := s.send(is, time.Second)
					is.True(float64(used["e2"]) <= most)
				}
				p.RecordNoLimit(time.Now(), stating, time.Now())
				s.send(is, 2*time.Second)
				used := s.send(is, time.Second)
				t.Logf("in the third second: %v", used)
				for _, name := range []string{"e1", "e2"} {
					is.True(used[name] >= least)
				}
			})
		})
	}
}
