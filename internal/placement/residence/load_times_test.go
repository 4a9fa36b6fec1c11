package residence_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// An engine takes much longer, or much less, to load an adapter than others do. By their figures its loads are looked
// at thirty times each, or requests wait for adapters that have long been there.
func TestLoadsOfAnotherEngineAreLearnt(t *testing.T) {
	for _, took := range []time.Duration{60 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &residence.Planner{Engine: traffic.Engine{AdapterPlaces: 100}}
				p.Learn(time.Now(), residence.Report{Models: []traffic.LoadedModel{{Name: model}}})
				time.Sleep(time.Second)
				p.Learn(time.Now(), residence.Report{Models: []traffic.LoadedModel{{Name: model}}})
				looks, late := 0, time.Duration(0)
				const loads = 30
				for i := range loads {
					more, after := loadOne(is, p, adapter(string(rune('A'+i))), took)
					if i >= loads/2 {
						looks += more
						late += after
					}
				}
				is.True(late/(loads/2) <= max(took/4, 20*time.Millisecond))
				is.True(looks <= 4*loads/2)
				full, _, seen := p.LoadTimes()
				is.True(seen)
				ratio := float64(full) / float64(took)
				is.True(ratio > 0.75 && ratio < 1.3)
			})
		})
	}
}

// loadOne has one adapter loaded, and tells how often it was looked at and how late it was found.
func loadOne(is *is.I, p *residence.Planner, wanted traffic.Adapter, took time.Duration) (looks int, late time.Duration) {
	is.Helper()
	p.Want(time.Now(), wanted, 0, 0, time.Now().Add(time.Minute))
	defer p.Unwant(wanted)
	var done time.Time
	sequence := int64(0)
	for {
		switch step := p.Next(time.Now()).(type) {
		case residence.Give:
			if done.IsZero() {
				done = time.Now().Add(took)
				sequence = step.Order.Sequence + 1
				p.Ordered(time.Now(), step.Order, residence.Accepted)
				continue
			}
			looks++
			if !time.Now().Before(done) {
				p.Ordered(time.Now(), step.Order, residence.Holds)
				return looks, time.Since(done)
			}
			p.Ordered(time.Now(), step.Order, residence.Accepted)
		case residence.Inspect:
			p.Learn(time.Now(), residence.Report{Sequence: sequence, Models: []traffic.LoadedModel{{Name: model}}})
		case residence.Rest:
			time.Sleep(max(time.Until(step.Until), time.Millisecond))
		}
	}
}
