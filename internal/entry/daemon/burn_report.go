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

// burn_report.go collects the burn counts of all members into one report.

// burnCountsTimeout bounds the collection of the members' counts. Members that have not answered by then are left
// out: during an incident a report must not wait for a frozen instance.
const burnCountsTimeout = 2 * time.Second

// BurnReport returns the report over all members that answer.
func (b operatorBackend) BurnReport(ctx context.Context) (operatorapi.Report, error) {
	d := b.daemon
	collector := &burnCountCollector{counts: d.burn.Counts()}
	ctx, cancel := context.WithTimeout(ctx, burnCountsTimeout)
	defer cancel()
	for _, member := range d.otherMembers() {
		collector.group.Go(func() { collector.collect(ctx, d, member) })
	}
	collector.group.Wait()
	report := burn.New(time.Now(), burn.DefaultWindows(), d.burnTargets(), collector.counts)
	summary := operatorapi.Report{ShortWindow: report.Windows.Short, LongWindow: report.Windows.Long}
	for _, line := range report.Lines {
		summary.Lines = append(summary.Lines, operatorapi.BurnLine{
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
	return summary, nil
}

// burnTargets returns the objectives of the workspaces.
func (d *Daemon) burnTargets() (targets []burn.Target) {
	for _, declared := range d.repository.Current().Configuration.Resources(resource.KindWorkspace) {
		if workspace, ok := declared.(resource.Workspace); ok {
			targets = append(targets, burn.Target{Workspace: workspace.Meta.Name, Objectives: workspace.Objectives})
		}
	}
	return targets
}

// burnCountCollector adds up the counts that members return.
type burnCountCollector struct {
	group  sync.WaitGroup
	mutex  sync.Mutex
	counts []burn.Count
}

func (c *burnCountCollector) collect(ctx context.Context, d *Daemon, member head.Member) {
	counts, err := d.peerRPC.BurnCounts(ctx, member.Address)
	if err != nil {
		d.Log.Warn().Str("Member", member.Name).Err(err).Msg("BurnCountsMissing")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts = append(c.counts, counts...)
}
