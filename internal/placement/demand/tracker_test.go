package demand_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/demand"
)

func key(name string) demand.Key {
	return demand.Key{Service: "s", Adapter: traffic.Adapter{Model: "m", Name: name}}
}

// request records requests at equal intervals.
func request(t *demand.Tracker, name string, count int, interval time.Duration) {
	for range count {
		t.Record(time.Now(), key(name), 1000, 1)
		time.Sleep(interval)
	}
}

// Guards against estimates that are far off: too few replicas are ordered, or many more than needed. A few requests that
// arrive together must not look like a flood.
func TestRateIsEstimatedOverTheFleet(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		interval time.Duration
		least    float64
		most     float64
	}{
		{"two requests", 2, time.Millisecond, 0, 0},
		{"four at once", 4, time.Millisecond, 50, 60},
		{"ten a second for a second", 10, 100 * time.Millisecond, 85, 115},
		{"ten a second for long", 300, 100 * time.Millisecond, 90, 110},
		{"one a second for long", 30, time.Second, 0, 12},
		{"two a second for long", 60, 500 * time.Millisecond, 15, 25},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tracker := &demand.Tracker{Instances: 10}
				request(tracker, "a", c.requests, c.interval)
				rate := tracker.Rate(time.Now(), key("a"))
				is.True(rate >= c.least)
				is.True(rate <= c.most)
				for _, popular := range tracker.Popular(time.Now()) {
					is.True(popular.Certain < popular.Rate*1.1)
					is.Equal(popular.Tokens, 1000)
				}
			})
		})
	}
}

// Guards against replicas of an adapter that is not requested any more. Its rate must be zero soon after, although the
// requests before still count.
func TestAdapterThatGetsNoRequestsIsNotPopular(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		after    time.Duration
	}{{10 * time.Millisecond, 600 * time.Millisecond}, {100 * time.Millisecond, 600 * time.Millisecond}, {300 * time.Millisecond, 1500 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.interval), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tracker := &demand.Tracker{Instances: 10}
				request(tracker, "a", 40, c.interval)
				is.Equal(len(tracker.Popular(time.Now())), 1)
				time.Sleep(c.after)
				is.Equal(len(tracker.Popular(time.Now())), 0)
				is.Equal(tracker.Rate(time.Now(), key("a")), 0.0)
			})
		})
	}
}

// Guards against a new popular adapter that waits for its replicas until those of earlier ones have been ordered.
func TestNewestDemandComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &demand.Tracker{Instances: 10}
		for range 30 {
			request(tracker, "old", 1, 50*time.Millisecond)
		}
		for range 6 {
			request(tracker, "old", 1, 50*time.Millisecond)
			request(tracker, "new", 1, 50*time.Millisecond)
		}
		popular := tracker.Popular(time.Now())
		is.Equal(len(popular), 2)
		is.Equal(popular[0].Key, key("new"))
		is.Equal(popular[1].Key, key("old"))
	})
}

// Guards against memory that grows with the number of adapters, of which there are ten thousand. The adapters with the
// most requests are kept.
func TestTrackedAdaptersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &demand.Tracker{Instances: 10}
		for number := range 2000 {
			request(tracker, fmt.Sprint("a", number), 1, time.Millisecond)
			if number%20 == 0 {
				request(tracker, "popular", 1, 0)
			}
		}
		is.True(tracker.Len() <= 512)
		popular := tracker.Popular(time.Now())
		is.Equal(len(popular), 1)
		is.Equal(popular[0].Key, key("popular"))
		time.Sleep(time.Minute)
		tracker.Record(time.Now(), key("next"), 10, 0)
		is.Equal(tracker.Len(), 1) // old ones are dropped
	})
}

// Guards against too few replicas for long streams, whose duration is known only once some have ended.
func TestStreamDurationIsAveraged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &demand.Tracker{Instances: 10}
		tracker.RecordEnd(key("unknown"), time.Second)
		request(tracker, "a", 10, 50*time.Millisecond)
		is.Equal(tracker.Popular(time.Now())[0].Duration, time.Duration(0))
		for range 50 {
			tracker.RecordEnd(key("a"), time.Second)
			tracker.RecordEnd(key("a"), 3*time.Second)
		}
		mean := tracker.Popular(time.Now())[0].Duration
		is.True(mean > 1500*time.Millisecond && mean < 2500*time.Millisecond)
	})
}

// Guards against estimates that are multiplied by the number of instances although the load balancer sends this instance
// a larger part of the requests, and against one that is off after a restart of another instance.
func TestShareOfAnInstance(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    float64
		others float64
		least  float64
		most   float64
	}{
		{"equal", 10, 10, 9.9, 10},
		{"five times the others", 50, 10, 2.7, 2.9},
		{"less than the others", 2, 10, 10, 10},
		{"nothing of its own", 0, 10, 10, 10},
		{"nothing at all", 0, 0, 10, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var share demand.Share
				is.Equal(share.Factor(time.Now(), 10), 10.0)
				for second := range 20 {
					totals := map[string]float64{"self": float64(second) * c.own}
					for number := range 9 {
						totals[fmt.Sprint("other", number)] = float64(second) * c.others
					}
					if second == 10 {
						totals["other0"] = 0 // restarted
					}
					share.Record(time.Now(), "self", totals)
					if second > 15 {
						factor := share.Factor(time.Now(), 10)
						is.True(factor >= c.least)
						is.True(factor <= c.most+1.5) // the restarted instance shows its total at once
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}
