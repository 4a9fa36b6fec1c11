package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// withSoftware declares an upstream with a software version.
func withSoftware(p *pool.Pool, name, software string) {
	declare(p, name, func(u *traffic.Upstream) { u.Software = software })
}

// resumed is a query for the rest of a stream.
func resumed(software string) pool.Query {
	query := generation("a")
	query.Software = software
	return query
}

// Guards against a stream that goes on at another software version because its own is busy, lacks the adapter, is leaving or
// is gone.
func TestResumedStreamIsPlacedWithinItsSoftware(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *pool.Pool)
		// chosen is the upstream of the version v1 that is chosen, empty for none.
		chosen string
	}{
		{"both idle", func(*pool.Pool) {}, "e1"},
		{"the adapter is loaded at the other version", func(p *pool.Pool) { resident(p, "e2", "a") }, "e1"},
		{"one of two is leaving", func(p *pool.Pool) {
			withSoftware(p, "e3", "v1")
			declare(p, "e3", func(u *traffic.Upstream) { u.Software, u.Draining = "v1", true })
		}, "e1"},
		{"all of the version are gone", func(p *pool.Pool) { p.Remove("e1") }, ""},
		{"only one of unknown version is left", func(p *pool.Pool) {
			p.Remove("e1")
			withSoftware(p, "e3", "")
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool()
				withSoftware(p, "e1", "v1")
				withSoftware(p, "e2", "v2")
				c.change(p)
				choice, err := p.Choose(time.Now(), resumed("v1"))
				is.Equal(err != nil, c.chosen == "")
				is.Equal(choice.Upstream.ID, c.chosen)
			})
		})
	}
}

// Guards against a request that is sent to an upstream whose entry has another software version since it was chosen.
func TestChoiceIsInvalidAfterAChangeOfSoftware(t *testing.T) {
	is := is.New(t)
	p := newPool()
	withSoftware(p, "e1", "v1")
	choice, err := p.Choose(time.Now(), resumed("v1"))
	is.NoErr(err)
	is.True(p.IsChoiceValid(time.Now(), choice.Upstream))
	withSoftware(p, "e1", "v2")
	is.True(!p.IsChoiceValid(time.Now(), choice.Upstream))
}

// Guards against the caller of a stream that is told to come back at once, because upstreams of another version take
// requests while those of its own have asked for a pause.
func TestPauseCountsWithinTheSoftware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		withSoftware(p, "e1", "v1")
		withSoftware(p, "e2", "v2")
		p.RecordBackpressure(time.Now(), upstreamOf(is, p, "e1"), 2*time.Second)
		is.Equal(p.RetryAfterBackpressure(time.Now(), resumed("v2")), time.Duration(0))
		is.True(p.RetryAfterBackpressure(time.Now(), resumed("v1")) >= 2*time.Second)
	})
}
