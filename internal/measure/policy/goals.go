package policy

import (
	"fmt"
	"math"
	"strings"
)

// goals.go compares the results with the project's goals. A goal is met only if it is met in every case to
// which it applies.

// The limits of the goals, as set by the users.
const (
	maxStallRatio       = 0.25
	maxWrongful         = 0.001
	minWorstShare       = 0.9
	maxRetryShare       = 0.1
	maxCrashesPerPoison = 3
	efficiencyTolerance = 0.005
	minStallBaseline    = 1
)

// Goal is one goal and whether the run met it. Measured gives the result and names the cases that missed the goal.
type Goal struct {
	Name     string
	Policy   string
	Measured string
	Met      bool
}

// evaluateGoals evaluates all goals on the results, for the settings of both deployments.
func evaluateGoals(report Report) (goals []Goal) {
	for _, policy := range []string{nameBlueMountain, nameHellenic} {
		goals = append(
			goals,
			stallGoal(report, policy, "load stalls, count", func(r Result) float64 { return r.Stalls }),
			stallGoal(report, policy, "load stalls, seconds", func(r Result) float64 { return r.StallSeconds }),
			atMost(report, policy, "no wrongful refusal below capacity", 0, isBelowCapacity, wrongful),
			atMost(report, policy, "wrongful refusals under faults and skew at most 1 in 1,000", maxWrongful, fitsCapacity, wrongful),
			floodGoal(report, policy),
			efficiencyGoal(report, policy),
			atMost(report, policy, "dispatched after the deadline: 0", 0, allCases, func(r Result) float64 { return r.LateDispatches }),
			atMost(report, policy, "evicted while serving: 0", 0, allCases, func(r Result) float64 { return r.EvictedServing }),
			atMost(report, policy, "retries add at most 10%", maxRetryShare, allCases, func(r Result) float64 { return r.Retries }),
			atMost(report, policy, "crashes for each poisonous request at most 3", maxCrashesPerPoison, isPoison, func(r Result) float64 { return r.Crashes / 3 }),
		)
	}
	return goals
}

func wrongful(r Result) float64 { return r.Wrongful }

func allCases(Case) bool { return true }

func isPoison(c Case) bool { return c.Poison > 0 }

func isBelowCapacity(c Case) bool { return c.BelowCapacity }

// fitsCapacity returns whether the offered work fits the capacity when there are no faults.
func fitsCapacity(c Case) bool { return c.Load < 1 && c.Flood == 0 }

// atMost requires a value of at most limit in all cases to which the goal applies.
func atMost(report Report, policy, name string, limit float64, applies func(Case) bool, value func(Result) float64) Goal {
	worst := 0.0
	var missed []string
	for _, load := range Cases() {
		if !applies(load) {
			continue
		}
		v := value(report.find(load.Name, policy))
		worst = max(worst, v)
		if v > limit {
			missed = append(missed, load.Name)
		}
	}
	return newGoal(name, policy, fmt.Sprintf("worst %.4f", worst), missed)
}

// stallGoal requires at most a quarter of the stalls of the least-loaded baseline, which evicts by LRU.
func stallGoal(report Report, policy, name string, value func(Result) float64) Goal {
	worst := 0.0
	sum, base := 0.0, 0.0
	var missed []string
	for _, load := range Cases() {
		ours := value(report.find(load.Name, policy))
		theirs := value(report.find(load.Name, nameLeastLoaded))
		sum += ours
		base += theirs
		ratio := ours / math.Max(theirs, minStallBaseline)
		worst = max(worst, ratio)
		if ratio > maxStallRatio {
			missed = append(missed, load.Name)
		}
	}
	name += " at most a quarter of least-loaded"
	return newGoal(name, policy, fmt.Sprintf("%.2f over all cases, worst %.2f", sum/base, worst), missed)
}

func floodGoal(report Report, policy string) Goal {
	share := report.find("flood", policy).WorstShare
	var missed []string
	if share < minWorstShare {
		missed = append(missed, "flood")
	}
	return newGoal("worst-served workspace at 90% of its fair share in a flood", policy, fmt.Sprintf("%.3f", share), missed)
}

// efficiencyGoal requires at least the efficiency of every baseline; differences below half a percent count
// as equal.
func efficiencyGoal(report Report, policy string) Goal {
	worst := math.Inf(1)
	var missed []string
	for _, load := range Cases() {
		ours := report.find(load.Name, policy).Efficiency
		best := 0.0
		for _, v := range variants() {
			if !isOwnPolicy(v.name) {
				best = max(best, report.find(load.Name, v.name).Efficiency)
			}
		}
		worst = min(worst, ours/best)
		if ours < best-efficiencyTolerance {
			missed = append(missed, load.Name)
		}
	}
	return newGoal("batch efficiency at least every baseline's", policy, fmt.Sprintf("worst ratio %.3f", worst), missed)
}

func newGoal(name, policy, measured string, missed []string) Goal {
	if len(missed) > 0 {
		measured += "; missed in " + strings.Join(missed, ", ")
	}
	return Goal{Name: name, Policy: policy, Measured: measured, Met: len(missed) == 0}
}
