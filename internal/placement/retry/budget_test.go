package retry_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/placement/retry"
)

// Guards against a retry storm in an outage, when every request fails and would be retried. In any order of first
// attempts and retries, the retries stay at a tenth of the first attempts.
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
				t.Fatalf("%d retries for %d first attempts", retries, first)
			}
		}
	})
}

// Guards against retries that accumulate over an hour of low traffic and hit an upstream in one burst when it
// recovers.
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

// Guards against instances that keep their old share of a limit when the fleet grows from a few instances to eighty.
// The fleet would send eight times as many retries as allowed while an upstream is down.
func TestBudgetShareFollowsFleetSize(t *testing.T) {
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

// Guards against a new instance that cannot retry its first request. The limit allows some retries beyond its ratio,
// but with an empty budget the caller would get the failure.
func TestFilledBudgetAllowsRetriesFromTheStart(t *testing.T) {
	is := is.New(t)
	budget := retry.NewHalfFull(0.1, 6)
	allowed := 0
	for budget.Allow() {
		allowed++
	}
	is.Equal(allowed, 3)
}

// Guards against one budget for several services. A fleet serves thousands of generations, and a bookings service
// whose calls all fail for some seconds. If the generations paid for its retries, each booking would be retried and
// the failing service would get twice its load.
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
	is.True(retries <= 16+1) // the ratio, and the half of the maximum that a new budget starts with
	is.True(budgets.For("generations").Allow())
	budgets.SetMax(0)
	is.True(!budgets.For("generations").Allow())
	is.True(!budgets.For("another").Allow())
}
