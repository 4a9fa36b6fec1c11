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

func about(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// Two instances serve one workspace, and a fault that is over by now hit one of them. The long window
// shows what it cost, the short one that it is over, and the workspace comes before the calm ones.
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
		is.True(about(hit.ShortBurn, 0))
		is.True(about(hit.LongBurn, 5)) // 50 of 1000 against one in a hundred
		is.True(about(hit.BudgetLeft, -4))
		is.Equal(hit.Good, int64(950))
		is.Equal(report.Lines[1].Objective, burn.Admitted) // of the same workspace
		is.Equal(report.Lines[2].Workspace, "calm")
		is.True(about(report.Lines[2].LongBurn, 0.1))
		time.Sleep(41 * time.Minute)
		report = burn.New(time.Now(), burn.DefaultWindows(), targets(), first.Counts())
		is.True(about(report.Lines[0].LongBurn, 0)) // the fault is out of the window
	})
}

func TestTargetWithoutBudget(t *testing.T) {
	is := is.New(t)
	count := burn.Count{Workspace: "strict", Objective: burn.FirstToken, Start: time.Now(), Length: time.Second, Bad: 1}
	report := burn.New(time.Now(), burn.DefaultWindows(), targets(), []burn.Count{count})
	is.Equal(report.Lines[0].Workspace, "strict")
	is.True(!math.IsInf(report.Lines[0].ShortBurn, 0))
}

// More workspaces are declared than an instance has memory to count, and they come and go.
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
		recorder.Record("new", burn.Answered, true) // the others have been quiet for longer than Keep
		is.Equal(recorder.Counts()[0].Workspace, "new")
	})
}

// The ring has turned several times, and an instance slept meanwhile. Old cells must not pass for new
// ones.
func TestRingTurns(t *testing.T) {
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
