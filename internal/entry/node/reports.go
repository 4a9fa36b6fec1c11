package node

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// reports.go reports to the holders of upstreams what this instance has in flight there, and takes such reports. Sent
// to all instances, the loads would be most of the bytes between them; the holder adds them up and passes on the sum.

const (
	// reportPause gathers what begins and ends within a few milliseconds into one report.
	reportPause = 8 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// reportAgainEvery is how often requests that go on are reported again. A report may be lost, and a holder
	// forgets those of an instance that has fallen silent.
	reportAgainEvery = time.Second
)

// reports keeps one goroutine for each holder that is to get a report.
type reports struct {
	mutex sync.Mutex
	due   map[string]*report
}

// report is what is due to one holder.
type report struct {
	node   *Node
	holder string
	// again: something has changed since the last report was made.
	again bool
}

// report has a report sent to a holder.
func (n *Node) report(holder string) {
	n.reports.mutex.Lock()
	defer n.reports.mutex.Unlock()
	if one := n.reports.due[holder]; one != nil {
		one.again = true
		return
	}
	if n.reports.due == nil {
		n.reports.due = make(map[string]*report)
	}
	one := &report{node: n, holder: holder, again: true}
	n.reports.due[holder] = one
	go one.run()
}

// run sends reports until nothing changes any more.
func (r *report) run() {
	for r.isDue() {
		time.Sleep(reportPause)
		r.begin()
		r.send()
	}
}

// isDue tells whether another report is due, and if not takes this one off.
func (r *report) isDue() bool {
	r.node.reports.mutex.Lock()
	defer r.node.reports.mutex.Unlock()
	if !r.again {
		delete(r.node.reports.due, r.holder)
	}
	return r.again
}

// begin takes it that the report that is made now has all changes so far.
func (r *report) begin() {
	r.node.reports.mutex.Lock()
	defer r.node.reports.mutex.Unlock()
	r.again = false
}

func (r *report) send() {
	n := r.node
	n.knowledge.mutex.Lock()
	instance, found := n.knowledge.roster.Instance(r.holder)
	n.knowledge.mutex.Unlock()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	held, err := n.peers.Report(ctx, instance.Address, n.loadReport(r.holder))
	if err != nil {
		n.Log.Debug().Err(err).Str("Holder", r.holder).Msg("ReportFailed")
		return
	}
	n.learnHeld(held)
}

// loadReport is what is in flight at the upstreams of a holder.
func (n *Node) loadReport(holder string) mesh.LoadReport {
	holders := n.knowledge.liveHolders()
	report := mesh.LoadReport{Instance: n.self.Name}
	n.advice.With(func(a *serve.Advice) {
		report.Loads = a.Pool.Report(func(upstream string) bool { return holders[upstream] == holder })
	})
	return report
}

// learnHeld takes over a holder's answer.
func (n *Node) learnHeld(held mesh.HeldReport) {
	now := time.Now()
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range held.Residencies {
			a.Pool.LearnResidency(now, residency)
		}
		for id, load := range held.Held {
			a.Pool.LearnHeld(now, id, load)
		}
	})
}

// Report takes what another instance has in flight at the upstreams that this one holds.
func (n *Node) Report(report mesh.LoadReport) (held mesh.HeldReport) {
	now := time.Now()
	n.overlay.heard(report.Instance, now)
	held = mesh.HeldReport{Residencies: n.holdings.residencies(now), Held: make(map[string]pool.Load)}
	n.advice.With(func(a *serve.Advice) {
		a.Pool.LearnReport(now, report.Instance, report.Loads)
		for _, residency := range held.Residencies {
			held.Held[residency.Upstream] = a.Pool.Beside(now, residency.Upstream, report.Instance)
		}
	})
	n.holdings.look()
	return held
}

// runReports reports again what goes on.
func (n *Node) runReports(ctx context.Context) error {
	for pause.For(ctx, reportAgainEvery) {
		n.reportAgain()
	}
	return nil
}

func (n *Node) reportAgain() {
	holders := n.knowledge.liveHolders()
	var loads map[string]pool.Load
	n.advice.With(func(a *serve.Advice) {
		loads = a.Pool.Own(func(upstream string) bool { return holders[upstream] != "" })
	})
	for upstream := range loads {
		if holder := holders[upstream]; holder != n.self.Name {
			n.report(holder)
		}
	}
}

// reportToNewHolder reports at once what is in flight at an upstream to an instance that has just begun to hold it;
// the knowledge is locked. Until then it would take adapters that are in use for idle, and evict them.
func (n *Node) reportToNewHolder(key string) {
	upstream, found := roster.HeldUpstream(key)
	holder, held := n.knowledge.roster.Holder(upstream)
	if !found || !held || holder.Instance == n.self.Name {
		return
	}
	inFlight := false
	n.advice.With(func(a *serve.Advice) { inFlight = a.Pool.HasOwn(upstream) })
	if inFlight {
		n.report(holder.Instance)
	}
}
