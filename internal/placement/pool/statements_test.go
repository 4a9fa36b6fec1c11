package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

func upstreamOf(is *is.I, p *pool.Pool, id string) traffic.Upstream {
	is.Helper()
	u, declared := p.Upstream(id)
	is.True(declared)
	return u
}

// Guards against requests to an upstream that asked for none, because of what happens between its statement and the end of
// the time that it asked for.
func TestBackpressureLastsAsLongAsStated(t *testing.T) {
	const asked = 3 * time.Second
	tests := []struct {
		name string
		// meanwhile happens right after the statement.
		meanwhile func(p *pool.Pool, u traffic.Upstream)
		lasts     time.Duration
	}{
		{name: "nothing", meanwhile: func(*pool.Pool, traffic.Upstream) {}, lasts: asked},
		{
			name:      "a shorter statement",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) { p.RecordBackpressure(time.Now(), u, time.Second) },
			lasts:     asked,
		},
		{
			name:      "a longer statement",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) { p.RecordBackpressure(time.Now(), u, 2*asked) },
			lasts:     2 * asked,
		},
		{
			name:      "a statement of days",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) { p.RecordBackpressure(time.Now(), u, 72*time.Hour) },
			lasts:     pool.DefaultSettings().MaxBackpressure,
		},
		{
			name:      "the store repeats the entry",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) { p.Declare(time.Now(), u) },
			lasts:     asked,
		},
		{
			name: "the entry expires and comes back",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) {
				p.Remove(time.Now(), u.ID)
				p.Declare(time.Now(), u)
			},
			lasts: asked,
		},
		{
			name: "it starts again under its id",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) {
				u.StartedMillis++
				p.Declare(time.Now(), u)
			},
		},
		{
			name: "a request that was sent before is served",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) {
				attempt := p.Begin(time.Now(), pool.Choice{Upstream: u}, plain())
				attempt.RecordAnswer(time.Now())
				p.Finish(time.Now(), attempt, pool.EndServed)
			},
			lasts: asked,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool("s1")
				stated := upstreamOf(is, p, "s1")
				is.True(p.RecordBackpressure(time.Now(), stated, asked))
				tt.meanwhile(p, stated)
				began := time.Now()
				for time.Since(began) < tt.lasts {
					_, err := p.Choose(time.Now(), plain())
					is.True(err != nil)
					is.True(!p.IsChoiceValid(time.Now(), upstreamOf(is, p, "s1"))) // chosen before, sent now
					time.Sleep(tt.lasts / 50)
				}
				choice, err := p.Choose(time.Now(), plain())
				is.NoErr(err)
				is.True(p.IsChoiceValid(time.Now(), choice.Upstream))
			})
		})
	}
}

// Guards against a burst of callers that were refused while all upstreams had asked for no requests, at the moment when the
// first takes some again, and against callers who are sent away though one takes requests.
func TestCallersReturnAfterBackpressureInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1", "s2")
		is.Equal(p.RetryAfterBackpressure(time.Now(), plain()), time.Duration(0))
		p.RecordBackpressure(time.Now(), upstreamOf(is, p, "s1"), time.Second)
		is.Equal(p.RetryAfterBackpressure(time.Now(), plain()), time.Duration(0)) // s2 takes requests
		p.RecordBackpressure(time.Now(), upstreamOf(is, p, "s2"), 2*time.Second)
		first := p.RetryAfterBackpressure(time.Now(), plain())
		second := p.RetryAfterBackpressure(time.Now(), plain())
		is.Equal(first, time.Second)
		is.True(second > first)
		for range 1000 {
			is.True(p.RetryAfterBackpressure(time.Now(), plain()) <= 1500*time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(p.RetryAfterBackpressure(time.Now(), plain()), time.Duration(0))
	})
}

// Guards against an upstream that counts as failing after the pause that it asked for: the pause was the consequence.
func TestBackpressureIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("s1")
		_, attempt := place(is, p, plain())
		p.RecordBackpressure(time.Now(), upstreamOf(is, p, "s1"), time.Second)
		p.Finish(time.Now(), attempt, pool.EndBackpressure)
		time.Sleep(time.Second)
		choice, err := p.Choose(time.Now(), plain())
		is.NoErr(err)
		is.Equal(choice.FailureRate, 0.0)
	})
}

// Guards against requests to an upstream that is leaving, because of what the store says of it meanwhile, and against an
// upstream that gets none although it has started again.
func TestLeavingUpstreamIsLeftForItsLife(t *testing.T) {
	tests := []struct {
		name      string
		meanwhile func(p *pool.Pool, u traffic.Upstream)
		accepted  bool
	}{
		{name: "nothing", meanwhile: func(*pool.Pool, traffic.Upstream) {}},
		{name: "the store says it is ready", meanwhile: func(p *pool.Pool, u traffic.Upstream) { p.Declare(time.Now(), u) }},
		{
			name: "its entry expires and comes back",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) {
				p.Remove(time.Now(), u.ID)
				p.Declare(time.Now(), u)
			},
		},
		{name: "time passes", meanwhile: func(*pool.Pool, traffic.Upstream) { time.Sleep(time.Hour) }},
		{
			name: "it starts again under its id",
			meanwhile: func(p *pool.Pool, u traffic.Upstream) {
				u.StartedMillis++
				p.Declare(time.Now(), u)
			},
			accepted: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool("s1")
				stated := upstreamOf(is, p, "s1")
				is.True(p.RecordLeaving(time.Now(), stated))
				is.True(!p.RecordLeaving(time.Now(), stated))
				tt.meanwhile(p, stated)
				_, err := p.Choose(time.Now(), plain())
				is.Equal(err == nil, tt.accepted)
				is.Equal(p.AcceptsRequests(upstreamOf(is, p, "s1")), tt.accepted)
				is.True(!p.AcceptsRequests(stated))
				is.Equal(p.RetryAfterBackpressure(time.Now(), plain()), time.Duration(0))
			})
		})
	}
}
