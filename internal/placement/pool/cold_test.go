package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

const (
	coldRate  = 8.0
	coldStart = 3 * time.Second
)

// newColdPool has plain upstreams s1 and s2, which bear little while they are cold.
func newColdPool() *pool.Pool {
	p := newPool()
	p.Configure(map[string]traffic.Service{
		services: {Name: services, MaxConnections: 100, ColdRate: coldRate, ColdStart: coldStart},
	})
	declareCold(p, "s1", 0)
	declareCold(p, "s2", 0)
	return p
}

func declareCold(p *pool.Pool, name string, left time.Duration) {
	declare(p, name, func(u *traffic.Upstream) {
		u.ColdFor = left
		u.DataCentre = name
	})
}

// admitted counts how many of the requests that come each millisecond are admitted.
func admitted(p *pool.Pool, id string, length time.Duration) (count int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, ok := p.AdmitCold(time.Now(), id); ok {
			count++
		}
	}
	return count
}

// Guards against an upstream that crashes again and again as the whole fleet sends it its usual share while it is cold.
func TestColdUpstreamGetsWhatItBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newColdPool()
		declareCold(p, "s1", 20*time.Second)
		p.AdmitCold(time.Now(), "s1")
		for range 10 {
			count := admitted(p, "s1", time.Second)
			is.True(float64(count) <= coldRate)
			is.True(float64(count) >= 0.9*coldRate-1)
		}
		time.Sleep(5 * time.Second)
		is.True(float64(admitted(p, "s1", time.Second)) <= coldRate+1) // what was not used is not saved up
		time.Sleep(5 * time.Second)
		is.Equal(admitted(p, "s1", 100*time.Millisecond), 100) // it is warm
	})
}

// Guards against a cold upstream that is chosen for being idle while another has room, and against one that is left
// out where it is all there is.
func TestColdUpstreamIsTheLastChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newColdPool()
		declareCold(p, "s1", 3*time.Second)
		for range 8 {
			choice, _ := place(is, p, plain())
			is.Equal(choice.Upstream.ID, "s2")
			is.True(!choice.Cold)
		}
		query := plain()
		query.Exclude = []string{"s2"}
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.Cold)
		p.RefusedCold(time.Now(), "s1", 100*time.Millisecond)
		_, err = p.Choose(time.Now(), query)
		is.Equal(err, pool.ErrNone)
		time.Sleep(100 * time.Millisecond)
		_, err = p.Choose(time.Now(), query)
		is.NoErr(err)
	})
}

// Guards against a data centre that is taken back and gets everything at once: its upstreams were restarted meanwhile,
// and their entries do not say so yet.
func TestDataCentreTakenBackCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newColdPool()
		p.SetEvacuated(time.Now(), "s1", true)
		time.Sleep(8 * time.Second)
		p.SetEvacuated(time.Now(), "s1", false)
		declareCold(p, "s1", 0) // written before it was restarted
		query := plain()
		query.Exclude = []string{"s2"}
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.Cold)
		time.Sleep(coldStart)
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(!choice.Cold)
		p.SetEvacuated(time.Now(), "s2", false) // it was not evacuated
		choice, err = p.Choose(time.Now(), plain())
		is.NoErr(err)
		is.True(!choice.Cold)
	})
}

// Guards against an upstream that was away for a moment under the same name, came back cold, and is sent its usual
// share until its entry is written again.
func TestUpstreamThatWasAwayCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newColdPool()
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "s1", Fence: 1, Version: 1, Away: true})
		time.Sleep(100 * time.Millisecond)
		p.LearnResidency(time.Now(), pool.Residency{Upstream: "s1", Fence: 1, Version: 2})
		query := plain()
		query.Exclude = []string{"s2"}
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.Cold)
	})
}
