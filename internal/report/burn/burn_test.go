package burn_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

func targets() []burn.Target {
	return []burn.Target{
		{Workspace: "calm", Objectives: resource.Objectives{Answered: 0.99}},
		{Workspace: "hit", Objectives: resource.Objectives{Answered: 0.99, Admitted: 0.9}},
		{Workspace: "strict", Objectives: resource.Objectives{FirstToken: 1}},
		{Workspace: "without"},
	}
}

func record(r *burn.Recorder, workspace string, objective burn.Objective, good, bad int) {
	for range good {
		r.Record(workspace, objective, true)
	}
	for range bad {
		r.Record(workspace, objective, false)
	}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// Two instances serve one workspace, and one of them had a fault that has ended. The long window must show
// the budget it consumed, the short window that it has ended, and the workspace must be listed before those
// with lower burn rates.
func TestReportOverInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := &burn.Recorder{}, &burn.Recorder{}
		record(first, "hit", burn.Answered, 50, 50)
		time.Sleep(20 * time.Minute)
		record(first, "hit", burn.Answered, 400, 0)
		record(second, "hit", burn.Answered, 500, 0)
		record(second, "calm", burn.Answered, 999, 1)
		record(second, "other", burn.Answered, 0, 9)
		counts := append(first.Counts(), second.Counts()...)
		report := burn.New(time.Now(), burn.DefaultWindows(), targets(), counts)
		is.Equal(len(report.Lines), 4)
		hit := report.Lines[0]
		is.Equal(hit.Workspace, "hit")
		is.Equal(hit.Objective, burn.Answered)
		is.True(approxEqual(hit.ShortBurn, 0))
		is.True(approxEqual(hit.LongBurn, 5)) // 50 of 1000 are bad; the target allows 1 in 100
		is.True(approxEqual(hit.BudgetLeft, -4))
		is.Equal(hit.Good, int64(950))
		is.Equal(report.Lines[1].Objective, burn.Admitted) // the same workspace
		is.Equal(report.Lines[2].Workspace, "calm")
		is.True(approxEqual(report.Lines[2].LongBurn, 0.1))
		time.Sleep(41 * time.Minute)
		report = burn.New(time.Now(), burn.DefaultWindows(), targets(), first.Counts())
		is.True(approxEqual(report.Lines[0].LongBurn, 0)) // the fault has left the window
	})
}

func TestTargetWithoutBudget(t *testing.T) {
	is := is.New(t)
	count := burn.Count{Workspace: "strict", Objective: burn.FirstToken, Start: time.Now(), Length: time.Second, Bad: 1}
	report := burn.New(time.Now(), burn.DefaultWindows(), targets(), []burn.Count{count})
	is.Equal(report.Lines[0].Workspace, "strict")
	is.True(!math.IsInf(report.Lines[0].ShortBurn, 0))
}

// More workspaces are in use than the recorder may count. Idle ones must be evicted to make room for new ones.
func TestRecorderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorder := &burn.Recorder{MaxWorkspaces: 3}
		var group sync.WaitGroup
		for n := range 50 {
			group.Go(func() { recorder.Record(fmt.Sprint(n), burn.Answered, true) })
		}
		group.Wait()
		is.Equal(len(recorder.Counts()), 3)
		time.Sleep(2 * time.Hour)
		recorder.Record("new", burn.Answered, true) // the others have had no request for longer than Retention
		is.Equal(recorder.Counts()[0].Workspace, "new")
	})
}

// The ring buffer wraps around several times and then receives nothing for an hour. Cells from an earlier
// pass must not be counted as current ones.
func TestRingWrapsAround(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorder := &burn.Recorder{Bucket: time.Second, Retention: 10 * time.Second}
		total := int64(0)
		for range 35 {
			recorder.Record("a", burn.Answered, true)
			time.Sleep(time.Second)
		}
		for _, count := range recorder.Counts() {
			total += count.Good
		}
		is.Equal(total, int64(10))
		time.Sleep(time.Hour)
		is.Equal(len(recorder.Counts()), 0)
	})
}
