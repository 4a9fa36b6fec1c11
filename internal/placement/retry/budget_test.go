package retry_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/placement/retry"
)

// In an outage every request fails and would be tried again. However first tries and retries follow
// each other, the retries stay at a tenth of the first tries.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.New(retry.DefaultRatio, retry.DefaultMaxUnused)
		first, retries := 0, 0
		for _, isFirst := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "steps") {
			if isFirst {
				budget.CountFirstTry()
				first++
			} else if budget.Allow() {
				retries++
			}
			if float64(retries) > retry.DefaultRatio*float64(first)+1e-9 {
				t.Fatalf("%d retries for %d first tries", retries, first)
			}
		}
	})
}

// A quiet hour must not save up retries for a burst that hits an upstream just as it comes back.
func TestUnusedRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	budget := retry.New(retry.DefaultRatio, retry.DefaultMaxUnused)
	for range 100_000 {
		budget.CountFirstTry()
	}
	allowed := 0
	for budget.Allow() {
		allowed++
	}
	is.Equal(allowed, retry.DefaultMaxUnused)
}

// A fleet grows from a few instances to eighty, which share one limit. An instance that kept its old part would
// have the fleet send eight times as many retries as were allowed, just when an upstream is down.
func TestPartOfTheLimitFollowsTheFleet(t *testing.T) {
	is := is.New(t)
	budget := retry.NewHalfFull(0.1, 20)
	budget.SetMax(2)
	allowed := 0
	for budget.Allow() {
		allowed++
	}
	is.Equal(allowed, 2)
	for range 1000 {
		budget.CountFirstTry()
	}
	for budget.Allow() {
		allowed++
	}
	is.Equal(allowed, 4)
}

// An instance has just started, and the first request fails at its upstream. The limit allows some retries
// beside its ratio; with an empty budget the caller would get the failure all the same.
func TestFilledBudgetAllowsRetriesFromTheStart(t *testing.T) {
	is := is.New(t)
	budget := retry.NewHalfFull(0.1, 6)
	allowed := 0
	for budget.Allow() {
		allowed++
	}
	is.Equal(allowed, 3)
}

// A fleet serves thousands of generations, and a service of bookings beside them, where every call fails for some
// seconds. Paid for by the generations, each of these calls would be tried again, and the service gets twice its load
// while it is failing. What bookings may add to their service's load follows from the bookings.
func TestRetriesOfAServiceArePaidByItsOwnCalls(t *testing.T) {
	is := is.New(t)
	budgets := &retry.Budgets{Ratio: 0.16, MaxUnused: 2}
	retries := 0
	for range 100 {
		for range 20 {
			budgets.For("generations").CountFirstTry()
		}
		budgets.For("bookings").CountFirstTry()
		if budgets.For("bookings").Allow() {
			retries++
		}
	}
	is.True(retries <= 16+1) // the ratio, and the half of Most that is there at the beginning
	is.True(budgets.For("generations").Allow())
	budgets.SetMax(0)
	is.True(!budgets.For("generations").Allow())
	is.True(!budgets.For("another").Allow())
}
