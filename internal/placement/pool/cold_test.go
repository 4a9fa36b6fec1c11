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

// newColdPool returns a pool with the plain upstreams s1 and s2, which can handle few requests while they are cold.
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
		u.ColdRemaining = left
		u.DataCentre = name
	})
}

// admitted requests admission each millisecond, and counts how often it is granted.
func admitted(p *pool.Pool, id string, length time.Duration) (count int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, ok := p.AdmitCold(time.Now(), id); ok {
			count++
		}
	}
	return count
}

// Guards against an upstream that crashes repeatedly, as the whole fleet sends it its usual share while it is cold.
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
		is.True(float64(admitted(p, "s1", time.Second)) <= coldRate+1) // unused requests do not accumulate
		time.Sleep(5 * time.Second)
		is.Equal(admitted(p, "s1", 100*time.Millisecond), 100) // no longer cold
	})
}

// Guards against choosing a cold upstream because it is idle while another one has capacity, and against excluding
// it when there is no other.
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
		p.RecordColdRefusal(time.Now(), "s1", 100*time.Millisecond)
		_, err = p.Choose(time.Now(), query)
		is.Equal(err, pool.ErrNoUpstream)
		time.Sleep(100 * time.Millisecond)
		_, err = p.Choose(time.Now(), query)
		is.NoErr(err)
	})
}

// Guards against full load on a data centre as soon as its evacuation ends: its upstreams were restarted meanwhile,
// and their entries do not show it yet.
func TestDataCentreTakenBackCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newColdPool()
		p.SetEvacuated(time.Now(), "s1", true)
		time.Sleep(8 * time.Second)
		p.SetEvacuated(time.Now(), "s1", false)
		declareCold(p, "s1", 0) // written before the restart
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

// Guards against an upstream that was unreachable for a moment, came back cold under the same name, and gets its
// usual share until its entry is written again.
func TestUpstreamThatWasAwayCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newColdPool()
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "s1", Fence: 1, Version: 1, Unreachable: true})
		time.Sleep(100 * time.Millisecond)
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "s1", Fence: 1, Version: 2})
		query := plain()
		query.Exclude = []string{"s2"}
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.Cold)
	})
}
