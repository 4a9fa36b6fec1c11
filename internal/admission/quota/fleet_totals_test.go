package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
)

// Guards against totals of a peer's whole life that count as admitted just now: an instance that has just started hears of the
// workspaces of a peer one after the other, and of all of them only some seconds later.
func TestTotalsOfAWorkspaceThatAreHeardForTheFirstTimeAreNotCounted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ledger := &quota.Ledger{Self: "a"}
	ledger.SetPeers(now, []string{"b"})
	ledger.SetLimits(now, map[string]quota.Limit{"v": {Rate: 1000, Burst: 1000}, "w": {Rate: 1000, Burst: 1000}, "x": {Rate: 1000, Burst: 1000}})
	next := func(merge func()) quota.Totals {
		now = now.Add(250 * time.Millisecond)
		merge()
		return ledger.FleetTotals(now).Totals
	}
	partial := func(totals quota.Totals) func() {
		return func() { ledger.MergePartialTotals(now, "b", "1", totals) }
	}
	is.Equal(next(partial(quota.Totals{"v": 500}))["v"], 0.0)
	totals := next(partial(quota.Totals{"v": 600, "w": 700_000}))
	is.Equal(totals["v"], 100.0)
	is.Equal(totals["w"], 0.0)
	totals = next(func() { ledger.MergeTotals(now, "b", "1", quota.Totals{"v": 610, "w": 700_020, "x": 900_000}) })
	is.Equal(totals["v"], 110.0)
	is.Equal(totals["w"], 20.0)
	is.Equal(totals["x"], 0.0)
	totals = next(partial(quota.Totals{"x": 900_005}))
	is.Equal(totals["x"], 5.0)
	totals = next(partial(quota.Totals{"y": 7})) // after all totals, one that was missing was 0
	is.Equal(totals["y"], 7.0)
	totals = next(func() { ledger.MergeTotals(now, "b", "2", quota.Totals{"v": 3}) }) // it has restarted
	is.Equal(totals["v"], 113.0)
}
