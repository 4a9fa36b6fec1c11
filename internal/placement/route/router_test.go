package route_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/route"
)

const baseModel = "base"

func newRouter(upstreams int) *route.Router {
	r := &route.Router{Settings: route.DefaultSettings()}
	var declared []resource.Upstream
	for i := range upstreams {
		declared = append(declared, resource.Upstream{
			Meta: resource.Meta{Name: fmt.Sprint("u", i)}, BaseModel: baseModel, Slots: 8, Batch: 8,
		})
	}
	r.SetUpstreams(declared)
	return r
}

func ref(i int) model.Reference { return model.Reference{Adapter: fmt.Sprint("a", i), Version: "v1"} }

func query(i int) route.Query {
	return route.Query{Model: ref(i), BaseModel: baseModel, Cost: 200, Deadline: time.Now().Add(10 * time.Second)}
}

func updateSummary(r *route.Router, upstream string, free int, backlog time.Duration, resident ...model.Reference) {
	r.UpdateSummary(time.Now(), route.Summary{
		Upstream: upstream, Epoch: 1, FreePlaces: free, Backlog: backlog,
		Resident: resident, Healthy: true, At: time.Now(),
	})
}

// Instances without summaries choose the same upstream for an adapter, so that requests for it meet there and one
// load serves them all.
func TestInstancesAgreeOnTheHome(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 900 {
		first, err := sharedRouter.Choose(time.Now(), query(i))
		is.NoErr(err)
		second, err := newRouter(9).Choose(time.Now(), query(i))
		is.NoErr(err)
		is.Equal(first.Upstream, second.Upstream)
		counts[first.Upstream]++
	}
	for _, n := range counts {
		is.True(n > 50 && n < 170)
	}
	is.Equal(len(counts), 9)
}

var sharedRouter = newRouter(9)

// Heartbeats arrive twice a second. If the requests sent since the last one did not count, all of them would go to
// the one upstream that was idle then.
func TestRequestsSinceTheSummaryCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(2)
		updateSummary(r, "u0", 4, 0, ref(1))
		updateSummary(r, "u1", 4, 0, ref(1))
		counts := map[string]int{}
		for range 8 {
			choice, err := r.Choose(time.Now(), query(1))
			is.NoErr(err)
			is.Equal(choice.Reason, route.ReasonResident)
			counts[choice.Upstream]++
		}
		is.Equal(counts["u0"], 4)
		is.Equal(counts["u1"], 4)
	})
}

// A hot adapter is loaded on one upstream. Behind a long queue there, callers would wait while another upstream is
// idle. While the weight store is busy, a load delays the loads of others.
func TestChoiceBetweenQueueAndLoad(t *testing.T) {
	tests := []struct {
		name      string
		backlog   time.Duration
		loads     int
		needsLoad bool
	}{
		{"short queue", 400 * time.Millisecond, 0, false},
		{"queue, idle store", 2 * time.Second, 0, true},
		{"queue, busy store", 2 * time.Second, 40, false},
		{"long queue, busy store", 30 * time.Second, 40, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRouter(3)
				for i := range 3 {
					updateSummary(r, fmt.Sprint("u", i), 8, 0)
				}
				for i := range tt.loads {
					time.Sleep(500 * time.Millisecond)
					updateSummary(r, "u0", 8, 0, ref(100+i))
					updateSummary(r, "u2", 8, 0)
				}
				time.Sleep(time.Second)
				updateSummary(r, "u1", 0, tt.backlog, ref(1))
				choice, err := r.Choose(time.Now(), query(1))
				is.NoErr(err)
				is.Equal(choice.NeedsLoad, tt.needsLoad)
				is.Equal(choice.Upstream == "u1", !tt.needsLoad)
			})
		})
	}
}

// An upstream is three times slower than the others, and callers sent there would wait three times as long for each
// token. After it recovers it must get its share again.
func TestSlowUpstreamGetsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(2)
		updateSummary(r, "u0", 8, 0, ref(1))
		updateSummary(r, "u1", 8, 0, ref(1))
		for range 20 {
			r.RecordOutcome(time.Now(), route.Outcome{Upstream: "u0", Tokens: 100, Took: 6 * time.Second})
			r.RecordOutcome(time.Now(), route.Outcome{Upstream: "u1", Tokens: 100, Took: 2 * time.Second})
		}
		for range 8 {
			choice, err := r.Choose(time.Now(), query(1))
			is.NoErr(err)
			is.Equal(choice.Upstream, "u1")
		}
		time.Sleep(time.Minute)
		updateSummary(r, "u0", 8, 0, ref(1))
		updateSummary(r, "u1", 0, 5*time.Second, ref(1))
		choice, err := r.Choose(time.Now(), query(1))
		is.NoErr(err)
		is.Equal(choice.Upstream, "u0")
	})
}

// An upstream fails every request. It gets one probe every two seconds, so that its recovery is noticed and other
// requests do not fail.
func TestFailingUpstreamGetsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(2)
		updateSummary(r, "u0", 8, 0, ref(1))
		updateSummary(r, "u1", 0, 2*time.Second, ref(1))
		sent := 0
		for range 100 {
			choice, err := r.Choose(time.Now(), query(1))
			is.NoErr(err)
			if choice.Upstream == "u0" {
				sent++
				r.RecordOutcome(time.Now(), route.Outcome{Upstream: "u0", Failed: true})
			}
			time.Sleep(100 * time.Millisecond)
			updateSummary(r, "u0", 8, 0, ref(1))
			updateSummary(r, "u1", 0, 2*time.Second, ref(1))
		}
		is.True(sent >= 4 && sent <= 7) // two failures to detect it, then one probe every two seconds
	})
}

// No request goes to an upstream that is leaving, that its holder reports unhealthy, or that the same request has
// already tried.
func TestUnavailableUpstreamsGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(3)
		updateSummary(r, "u0", 8, 0, ref(1))
		r.SetLeaving([]string{"u0"})
		r.UpdateSummary(time.Now(), route.Summary{Upstream: "u1", Epoch: 1, Resident: []model.Reference{ref(1)}, At: time.Now()})
		choice, err := r.Choose(time.Now(), query(1))
		is.NoErr(err)
		is.Equal(choice.Upstream, "u2")
		retried := query(1)
		retried.Exclude = []string{"u2"}
		_, err = r.Choose(time.Now(), retried)
		is.True(errors.Is(err, route.ErrNoUpstream))
	})
}
