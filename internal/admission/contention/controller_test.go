package contention_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// largeController knows some workspaces, and the ledger of an instance with many peers.
func largeController(instances, workspaces int) (*contention.Controller, *quota.Ledger) {
	configuration := traffic.Configuration{Version: 1}
	limits := map[string]quota.Limit{}
	for i := range 3 {
		configuration.Routes = append(configuration.Routes, traffic.Route{
			Priority: i, Objective: time.Second, Targets: []traffic.Target{{Service: service, Weight: 1}},
		})
	}
	for i := range workspaces {
		name := fmt.Sprint("w", i)
		configuration.Workspaces = append(configuration.Workspaces, traffic.Workspace{Name: name, Rate: 1000})
		limits[name] = quota.Limit{Rate: 1000, Burst: 1000}
	}
	c := &contention.Controller{}
	c.Configure(&configuration)
	now := time.Now()
	ledger := &quota.Ledger{}
	var peers []string
	for i := range instances - 1 {
		peers = append(peers, fmt.Sprint("i", i))
	}
	ledger.SetPeers(now, peers)
	ledger.SetLimits(now, limits)
	for round := range 2 {
		for _, name := range peers {
			totals := quota.Totals{}
			for workspace := range limits {
				totals[workspace] = float64(100 * round)
			}
			ledger.MergeTotals(now, name, "1", totals)
		}
		c.RecordUse(now.Add(time.Duration(round)*time.Second), ledger.FleetTotals(now))
	}
	return c, ledger
}

func overloaded(i int) contention.Request {
	return contention.Request{
		Service: service, Workspace: "w3", Priority: i % 3, Cost: 1000, Queue: 600 * time.Millisecond, Limit: 500 * time.Millisecond,
		Objective: time.Second, Remaining: 5 * time.Second, Allowed: 5 * time.Second, Route: "r",
	}
}

// BenchmarkDecide measures one decision while the service is contended.
func BenchmarkDecide(b *testing.B) {
	for _, instances := range []int{60, 330} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			c, _ := largeController(instances, 16)
			now := time.Now()
			i := 0
			for b.Loop() {
				c.Decide(now.Add(time.Duration(i)*time.Millisecond), overloaded(i))
				i++
			}
		})
	}
}

// BenchmarkRecordUse measures what is done ten times a second.
func BenchmarkRecordUse(b *testing.B) {
	for _, instances := range []int{60, 330} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			c, ledger := largeController(instances, 16)
			now := time.Now()
			for b.Loop() {
				c.RecordUse(now, ledger.FleetTotals(now))
			}
		})
	}
}

// Guards against a use that is counted although it is old: the totals of a peer that was not heard for more than three
// seconds, or never before, must not look as if they had been admitted just now.
func TestOldAndMissingTotalsOfPeersAreNoUse(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ledger := &quota.Ledger{Self: "a"}
	ledger.SetPeers(now, []string{"b", "c"})
	ledger.SetLimits(now, map[string]quota.Limit{"w": {Rate: 1000, Burst: 1000}})
	ledger.MergeTotals(now, "b", "1", quota.Totals{"w": 500})
	fleet := ledger.FleetTotals(now)
	is.Equal(fleet.Totals["w"], 0.0) // when it was admitted is not known
	is.Equal(fleet.Silent, 1)        // nothing was heard of c
	now = now.Add(time.Second)
	ledger.MergeTotals(now, "b", "1", quota.Totals{"w": 700})
	is.Equal(ledger.FleetTotals(now).Totals["w"], 200.0)
	now = now.Add(4 * time.Second)
	is.Equal(ledger.FleetTotals(now).Silent, 2)
	ledger.MergeTotals(now, "b", "1", quota.Totals{"w": 5000})
	is.Equal(ledger.FleetTotals(now).Totals["w"], 200.0)
	now = now.Add(time.Second)
	ledger.MergeTotals(now, "b", "2", quota.Totals{"w": 50}) // it has restarted and counts from zero
	is.Equal(ledger.FleetTotals(now).Totals["w"], 250.0)
}

// Guards against workspaces that get over their share where nobody competes, and against those that alternate between over
// and within it.
func TestShareIsExceededOnlyUnderContentionAndWithHysteresis(t *testing.T) {
	is := is.New(t)
	c := &contention.Controller{}
	c.Configure(&traffic.Configuration{Version: 1, Workspaces: []traffic.Workspace{{Name: "a", Rate: 100}, {Name: "b", Rate: 100}}})
	now := time.Now()
	total := quota.Totals{"a": 0, "b": 0}
	pass := func(seconds int, a, b float64, contended bool) {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			total["a"] += a / 10
			total["b"] += b / 10
			if contended {
				c.RecordRefusal(now, service)
			}
			c.RecordUse(now, quota.FleetTotals{Totals: total})
		}
	}
	over := func(workspace string) bool { _, _, is := c.Share(workspace); return is }
	pass(5, 90, 10, false)
	is.True(!over("a"))
	pass(1, 90, 10, true)
	is.True(over("a"))
	is.True(!over("b"))
	pass(8, 55, 45, true) // above its share, but not by a quarter
	is.True(over("a"))
	is.Equal(c.ClassOf(now, service, "a", 0), contention.Class{Level: 1, Over: true})
	is.Equal(c.ClassOf(now, "another", "a", 0), contention.Class{}) // which is not contended
	pass(8, 45, 55, true)
	is.True(!over("a"))
	pass(4, 0, 55, true)
	share, _, _ := c.Share("b")
	is.Equal(share, 1.0) // nobody else is active
}

// Guards against callers with minutes of time that are told to come back long after the load has ended.
func TestCallersWithMuchTimeComeBackSoon(t *testing.T) {
	is := is.New(t)
	c, _ := largeController(2, 4)
	now := time.Now()
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		request := overloaded(i)
		request.Remaining, request.Allowed = 10*time.Minute, 10*time.Minute
		request.Verdict = contention.TooLong
		if refused, ok := c.Decide(now, request).(contention.Refuse); ok {
			is.True(refused.RetryAfter > 0 && refused.RetryAfter <= 10*time.Second)
		}
	}
}

// Guards against callers that take turns for which nobody was told to come back: turns are given for at most 1.5 s ahead,
// whatever time a caller has.
func TestCallersThatComeBackAfterTheLastTurnHaveNone(t *testing.T) {
	is := is.New(t)
	c, _ := largeController(2, 4)
	now := time.Now()
	request := overloaded(0)
	request.Verdict = contention.TooLong
	request.Remaining, request.Allowed = time.Minute, time.Minute
	_, refused := c.Decide(now, request).(contention.Refuse)
	is.True(refused)
	for _, tt := range []struct {
		waited time.Duration
		turn   bool
	}{
		{time.Second, true},
		{10 * time.Second, false},
	} {
		request.Remaining, request.Allowed = time.Minute-tt.waited, time.Minute-tt.waited
		admitted, _ := c.Decide(now.Add(tt.waited), request).(contention.Admit)
		is.Equal(admitted.Returned, tt.turn)
	}
}

// Guards against a service with one priority whose callers are refused by class although there is no other class.
func TestOnePriorityIsOneClass(t *testing.T) {
	is := is.New(t)
	c := &contention.Controller{}
	to := func(service string, priority int) traffic.Route {
		return traffic.Route{Priority: priority, Targets: []traffic.Target{{Service: service, Weight: 1}}}
	}
	c.Configure(&traffic.Configuration{Version: 1, Routes: []traffic.Route{to("one", 2), to("one", 2), to("two", 0), to("two", 2)}})
	is.True(!c.HasClasses("one"))
	is.True(c.HasClasses("two"))
	is.True(!c.HasClasses("none"))
}
