package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// Guards against requests to a data centre that is evacuated: chosen before or after the evacuation began, with the
// adapter loaded or not, and to upstreams that start there meanwhile.
func TestNothingIsSentToAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		there := func(u *traffic.Upstream) { u.DataCentre = "there" }
		declare(p, "e1", there)
		resident(p, "e1", "a")
		choice, err := p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		p.SetEvacuated(time.Now(), "there", true)
		is.True(!p.IsChoiceValid(time.Now(), choice.Upstream)) // chosen before, sent after its adapter was loaded
		declare(p, "e2", there)
		_, err = p.Choose(time.Now(), generation("a"))
		is.Equal(err, pool.ErrNoUpstream)
		declare(p, "e3", func(*traffic.Upstream) {})
		choice, err = p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e3")
		p.SetEvacuated(time.Now(), "there", false)
		choice, err = p.Choose(time.Now(), generation("a"))
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e1") // its adapter is still loaded
	})
}

// Guards against evacuations that affect each other, and against an end without a beginning that changes the state
// of any data centre.
func TestEvacuationsAreIndependent(t *testing.T) {
	is := is.New(t)
	p := newPool("e1")
	declare(p, "e2", func(u *traffic.Upstream) { u.DataCentre = "there" })
	accepts := func(id string) bool {
		upstream, _ := p.Upstream(id)
		return p.AcceptsRequests(upstream)
	}
	p.SetEvacuated(time.Now(), "nowhere", true)
	p.SetEvacuated(time.Now(), "there", true)
	p.SetEvacuated(time.Now(), "there", true)
	is.True(accepts("e1") && !accepts("e2"))
	p.SetEvacuated(time.Now(), "here", true)
	is.True(!accepts("e1") && !accepts("e2"))
	p.SetEvacuated(time.Now(), "there", false)
	p.SetEvacuated(time.Now(), "there", false)
	is.True(!accepts("e1") && accepts("e2"))
}
