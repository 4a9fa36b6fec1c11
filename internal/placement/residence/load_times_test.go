package residence_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// An engine loads adapters much more slowly or quickly than the other engines. With their load times, each load would
// be polled thirty times, or requests would wait for adapters that were loaded long before.
func TestLoadTimesOfSlowAndFastEnginesAreLearned(t *testing.T) {
	for _, took := range []time.Duration{60 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &residence.Planner{Engine: traffic.Engine{AdapterSlots: 100}}
				p.ApplyReport(time.Now(), residence.Report{Models: []traffic.LoadedModel{{Name: model}}})
				time.Sleep(time.Second)
				p.ApplyReport(time.Now(), residence.Report{Models: []traffic.LoadedModel{{Name: model}}})
				polls, delay := 0, time.Duration(0)
				const loads = 30
				for i := range loads {
					loadPolls, loadDelay := loadOne(is, p, adapter(string(rune('A'+i))), took)
					if i >= loads/2 {
						polls += loadPolls
						delay += loadDelay
					}
				}
				is.True(delay/(loads/2) <= max(took/4, 20*time.Millisecond))
				is.True(polls <= 4*loads/2)
				full, _, measured := p.LoadTimes()
				is.True(measured)
				ratio := float64(full) / float64(took)
				is.True(ratio > 0.75 && ratio < 1.3)
			})
		})
	}
}

// loadOne loads one adapter and returns how often the load was polled and how late its completion was detected.
func loadOne(is *is.I, p *residence.Planner, requested traffic.Adapter, took time.Duration) (polls int, delay time.Duration) {
	is.Helper()
	p.AddWaiter(time.Now(), residence.Request{Adapter: requested, OnTimeUntil: time.Now().Add(time.Minute)})
	defer p.RemoveWaiter(residence.Request{Adapter: requested})
	var done time.Time
	sequence := int64(0)
	for {
		switch step := p.NextStep(time.Now()).(type) {
		case residence.SendOrder:
			if done.IsZero() {
				done = time.Now().Add(took)
				sequence = step.Order.Sequence + 1
				p.RecordOutcome(time.Now(), step.Order, residence.Accepted)
				continue
			}
			polls++
			if !time.Now().Before(done) {
				p.RecordOutcome(time.Now(), step.Order, residence.AlreadyDone)
				return polls, time.Since(done)
			}
			p.RecordOutcome(time.Now(), step.Order, residence.Accepted)
		case residence.FetchReport:
			p.ApplyReport(time.Now(), residence.Report{Sequence: sequence, Models: []traffic.LoadedModel{{Name: model}}})
		case residence.Idle:
			time.Sleep(max(time.Until(step.Until), time.Millisecond))
		}
	}
}
