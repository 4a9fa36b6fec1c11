package burn

import (
	"cmp"
	"slices"
	"time"
)

// Line holds the burn rates of one objective of one workspace. A burn rate of 1 uses up the window's error
// budget exactly at its end. BudgetLeft is the remaining share of the long window's error budget, negative
// when it is overspent. Good and Bad count the requests of the long window.
type Line struct {
	Workspace  string
	Objective  Objective
	Target     float64
	ShortBurn  float64
	LongBurn   float64
	BudgetLeft float64
	Good       int64
	Bad        int64
}

// maxBurn returns the larger burn rate. A fault that has just begun shows in the short window. One that has
// ended but has spent the budget shows in the long window. Neither may hide the other.
func (l Line) maxBurn() float64 {
	return max(l.ShortBurn, l.LongBurn)
}

// Report holds the burn rates of all workspaces, the worst workspace first, and the worst objective first
// within a workspace.
type Report struct {
	Windows Windows
	Lines   []Line
}

// maxBurnRate is the maximum burn rate, reported for any failure against a target without an error budget (a
// share of 1). Wire formats have no infinity.
const maxBurnRate = 1e6

// New makes the report as of now from the counts of all instances, in any order. It lists only objectives
// with a target, including those without requests.
func New(now time.Time, windows Windows, targets []Target, counts []Count) Report {
	sums := sumCounts(now, windows, counts)
	byWorkspace := make([][]Line, 0, len(targets))
	for _, target := range targets {
		if lines := target.lines(sums); len(lines) > 0 {
			byWorkspace = append(byWorkspace, lines)
		}
	}
	slices.SortStableFunc(byWorkspace, func(a, b []Line) int {
		return cmp.Or(cmp.Compare(b[0].maxBurn(), a[0].maxBurn()), cmp.Compare(a[0].Workspace, b[0].Workspace))
	})
	return Report{Windows: windows, Lines: slices.Concat(byWorkspace...)}
}

// lines returns a line for each objective of the target, the worst first.
func (t Target) lines(sums map[seriesKey]windowCounts) (lines []Line) {
	for _, objective := range Objectives() {
		share := t.share(objective)
		if share <= 0 {
			continue
		}
		s := sums[seriesKey{t.Workspace, objective}]
		long := burnRate(s.long, share)
		lines = append(lines, Line{
			Workspace:  t.Workspace,
			Objective:  objective,
			Target:     share,
			ShortBurn:  burnRate(s.short, share),
			LongBurn:   long,
			BudgetLeft: 1 - long,
			Good:       s.long.good,
			Bad:        s.long.bad,
		})
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(b.maxBurn(), a.maxBurn()) })
	return lines
}

// ---------------------------------------------------------------------------------------------

type seriesKey struct {
	workspace string
	objective Objective
}

type totals struct{ good, bad int64 }

type windowCounts struct{ short, long totals }

func sumCounts(now time.Time, windows Windows, counts []Count) map[seriesKey]windowCounts {
	sums := map[seriesKey]windowCounts{}
	for _, count := range counts {
		key := seriesKey{count.Workspace, count.Objective}
		s := sums[key]
		// A bucket is counted in full if any part of it lies in the window. One that starts in the
		// future comes from an instance whose clock is ahead, and is counted too.
		end := count.Start.Add(count.Length)
		if end.After(now.Add(-windows.Short)) {
			s.short = s.short.plus(count)
		}
		if end.After(now.Add(-windows.Long)) {
			s.long = s.long.plus(count)
		}
		sums[key] = s
	}
	return sums
}

func (t totals) plus(count Count) totals {
	return totals{good: t.good + count.Good, bad: t.bad + count.Bad}
}

// burnRate returns the share of bad requests divided by the share that the target allows.
func burnRate(t totals, target float64) float64 {
	total := t.good + t.bad
	if total == 0 || t.bad == 0 {
		return 0
	}
	bad := float64(t.bad) / float64(total)
	return min(bad/max(1-target, 1/maxBurnRate), maxBurnRate)
}
