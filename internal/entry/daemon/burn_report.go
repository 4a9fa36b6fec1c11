package daemon

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/report/burn"

	operatorapi "lacewingrock.example/lacewingrock/internal/operator/api"
)

// burn_report.go gathers the counts of all members into one report.

// countsWithin bounds how long a member may take to tell its counts. One that takes longer is left out:
// a report that waits for a frozen instance is of no use when something is wrong.
const countsWithin = 2 * time.Second

// BurnReport makes the report over all members that answer.
func (v views) BurnReport(ctx context.Context) (operatorapi.Report, error) {
	d := v.daemon
	gathered := &countsOfMembers{counts: d.burn.Counts()}
	ctx, cancel := context.WithTimeout(ctx, countsWithin)
	defer cancel()
	for _, member := range d.others() {
		gathered.group.Go(func() { gathered.run(ctx, d, member) })
	}
	gathered.group.Wait()
	report := burn.New(time.Now(), burn.DefaultWindows(), d.targets(), gathered.counts)
	answer := operatorapi.Report{ShortWindow: report.Windows.Short, LongWindow: report.Windows.Long}
	for _, line := range report.Lines {
		answer.Lines = append(answer.Lines, operatorapi.BurnLine{
			Workspace:  line.Workspace,
			Objective:  string(line.Objective),
			Target:     line.Target,
			ShortBurn:  line.ShortBurn,
			LongBurn:   line.LongBurn,
			BudgetLeft: line.BudgetLeft,
			Good:       line.Good,
			Bad:        line.Bad,
		})
	}
	return answer, nil
}

// targets are what the workspaces were promised.
func (d *Daemon) targets() (targets []burn.Target) {
	for _, one := range d.repository.Current().Configuration.Resources(resource.KindWorkspace) {
		if workspace, ok := one.(resource.Workspace); ok {
			targets = append(targets, burn.Target{Workspace: workspace.Meta.Name, Objectives: workspace.Objectives})
		}
	}
	return targets
}

// countsOfMembers adds up what members tell.
type countsOfMembers struct {
	group  sync.WaitGroup
	mutex  sync.Mutex
	counts []burn.Count
}

func (c *countsOfMembers) run(ctx context.Context, d *Daemon, member head.Member) {
	counts, err := d.directory.BurnCounts(ctx, member.Address)
	if err != nil {
		d.Log.Warn().Str("Member", member.Name).Err(err).Msg("BurnCountsMissing")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts = append(c.counts, counts...)
}
