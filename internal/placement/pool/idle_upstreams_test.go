package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

func declareMany(p *pool.Pool, now time.Time, upstreams int) {
	for i := range upstreams {
		p.Declare(now, traffic.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i)})
	}
}

// TestIdleUpstreamsAreNotLookedAt guards against reports whose cost grows with the number of upstreams. With them a
// large fleet starts too slowly to serve.
func TestIdleUpstreamsAreNotLookedAt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := &pool.Pool{Settings: pool.DefaultSettings()}
	declareMany(p, now, 1000)
	upstream, _ := p.Upstream("u7")
	attempt := p.Begin(now, pool.Choice{Upstream: upstream}, pool.Query{Service: "s"})
	visited := 0
	all := func(string) bool {
		visited++
		return true
	}
	is.Equal(len(p.Report(all)), 1)
	is.True(p.HasOwnLoad("u7"))
	is.True(!p.HasOwnLoad("u8"))
	is.Equal(visited, 2) // once to record what is reported, once to report it
	p.Finish(now, attempt, pool.EndServed)
	is.Equal(len(p.Report(all)), 0)
	is.True(!p.HasOwnLoad("u7"))
	visited = 0
	is.Equal(len(p.Report(all)), 0)
	is.Equal(visited, 0)
}

// TestNamesAreListedAfterChangesOnly guards against listing all upstreams of a large service several times a second.
func TestNamesAreListedAfterChangesOnly(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := &pool.Pool{Settings: pool.DefaultSettings()}
	declareMany(p, now, 3)
	names, changes := p.NamesSince(0)
	is.Equal(names, map[string]bool{"u0": true, "u1": true, "u2": true})
	declareMany(p, now, 3) // no change
	names, changes = p.NamesSince(changes)
	is.Equal(len(names), 0)
	p.Remove(time.Now(), "u1")
	names, _ = p.NamesSince(changes)
	is.Equal(names, map[string]bool{"u0": true, "u2": true})
}
