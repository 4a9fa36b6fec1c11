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
