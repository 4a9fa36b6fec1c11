package burn

import (
	"cmp"
	"slices"
	"time"
)

// Line is one objective of one workspace. A burn of 1 uses the window's budget up exactly at its end;
// BudgetLeft is the share of the long window's budget that is left, negative when it is overspent. Good
// and Bad are the requests of the long window.
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

// worst is the larger burn: a fault that began a moment ago shows in the short window, one that is over
// but has spent the budget in the long one, and neither may hide the other.
func (l Line) worst() float64 {
	return max(l.ShortBurn, l.LongBurn)
}

// Report is the burn of all workspaces, the worst workspace first, and the worst objective first within
// a workspace.
type Report struct {
	Windows Windows
	Lines   []Line
}

// mostBurn stands for any failure against a target without a budget (a share of 1). Wire formats have
// no infinity.
const mostBurn = 1e6

// New makes the report as of now from the counts of all instances, in any order. Only objectives that a
// target promises appear, also those without requests.
func New(now time.Time, windows Windows, targets []Target, counts []Count) Report {
	sums := add(now, windows, counts)
	byWorkspace := make([][]Line, 0, len(targets))
	for _, target := range targets {
		if lines := target.lines(sums); len(lines) > 0 {
			byWorkspace = append(byWorkspace, lines)
		}
	}
	slices.SortStableFunc(byWorkspace, func(a, b []Line) int {
		return cmp.Or(cmp.Compare(b[0].worst(), a[0].worst()), cmp.Compare(a[0].Workspace, b[0].Workspace))
	})
	return Report{Windows: windows, Lines: slices.Concat(byWorkspace...)}
}

// lines are the target's objectives, the worst first.
func (t Target) lines(sums map[series]sum) (lines []Line) {
	for _, objective := range Objectives() {
		share := t.share(objective)
		if share <= 0 {
			continue
		}
		s := sums[series{t.Workspace, objective}]
		long := rate(s.long, share)
		lines = append(lines, Line{
			Workspace:  t.Workspace,
			Objective:  objective,
			Target:     share,
			ShortBurn:  rate(s.short, share),
			LongBurn:   long,
			BudgetLeft: 1 - long,
			Good:       s.long.good,
			Bad:        s.long.bad,
		})
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(b.worst(), a.worst()) })
	return lines
}

// ---------------------------------------------------------------------------------------------

type series struct {
	workspace string
	objective Objective
}

type tally struct{ good, bad int64 }

type sum struct{ short, long tally }

func add(now time.Time, windows Windows, counts []Count) map[series]sum {
	sums := map[series]sum{}
	for _, count := range counts {
		key := series{count.Workspace, count.Objective}
		s := sums[key]
		// A bucket counts whole if any part of it lies in the window. One that begins in the future
		// comes from an instance whose clock is ahead, and counts too.
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

func (t tally) plus(count Count) tally {
	return tally{good: t.good + count.Good, bad: t.bad + count.Bad}
}

// rate is the share of bad requests over the share that the target allows.
func rate(t tally, target float64) float64 {
	total := t.good + t.bad
	if total == 0 || t.bad == 0 {
		return 0
	}
	bad := float64(t.bad) / float64(total)
	return min(bad/max(1-target, 1/mostBurn), mostBurn)
}
